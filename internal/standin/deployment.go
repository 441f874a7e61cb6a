// The users' deployments, so that demo, tests and measurements run at their sizes.

package standin

import (
	"fmt"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	targetTTL = 3 * time.Second
)

var (
	// Atelier is the deployment of Atelier Solidaire du Cuir Maurice.
	Atelier = Deployment{
		Name:           "atelier",
		FailureDomains: []string{"nord", "sud", "ouest"},
		Pools: []PoolShape{
			{Name: "buyer-desk", Shards: 10, Targets: 30, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond},
			{Name: "coord-board", Shards: 15, Targets: 45, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond},
			{Name: "atelier-app", Shards: 3, Targets: 9, Slots: 3, Connections: 100, ConnectTime: time.Millisecond},
			{Name: "delivery-log", Shards: 2, Targets: 4, Slots: 3, Connections: 100, ConnectTime: time.Millisecond},
		},
		BetweenFailureDomains: 1500 * time.Microsecond,
		BetweenRegions:        12 * time.Millisecond,
		ToClients:             3 * time.Millisecond,
	}

	// Banaag is the deployment of Banaag Gearworks.
	Banaag = Deployment{
		Name:           "banaag",
		FailureDomains: []string{"luzon", "visayas", "mindanao"},
		Pools: []PoolShape{
			{Name: "counter-app", Shards: 10, Targets: 30, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond},
			{Name: "supplier-feed", Shards: 15, Targets: 45, Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond},
			{Name: "bay-log", Shards: 3, Targets: 9, Slots: 3, Connections: 40, ConnectTime: time.Millisecond},
			{Name: "warranty-desk", Shards: 2, Targets: 4, Slots: 3, Connections: 40, ConnectTime: time.Millisecond},
		},
		BetweenFailureDomains: 500 * time.Microsecond,
		BetweenRegions:        12 * time.Millisecond,
		ToClients:             3 * time.Millisecond,
	}
)

type (
	// Deployment describes the size and the latencies of one user's system. Latencies are
	// one-way.
	Deployment struct {
		Name                  string
		FailureDomains        []string
		Pools                 []PoolShape
		BetweenFailureDomains time.Duration
		BetweenRegions        time.Duration
		ToClients             time.Duration
	}

	// PoolShape describes the size and the limits of one pool. Its targets are
	// spread evenly over shards and failure domains.
	PoolShape struct {
		Name        string
		Shards      int
		Targets     int
		Slots       int
		Connections int
		// ConnectTime is the time to open a new connection.
		ConnectTime time.Duration
	}
)

// DeploymentOf returns the deployment with the given name.
func DeploymentOf(name string) (Deployment, bool) {
	for _, deployment := range []Deployment{Atelier, Banaag} {
		if deployment.Name == name {
			return deployment, true
		}
	}
	return Deployment{}, false
}

// Tables returns tables for the deployment. Each pool has two kinds of requests: POOL.search,
// which may be repeated, and POOL.file, which may not.
func (deployment Deployment) Tables() operator.Tables {
	var tables operator.Tables
	for _, pool := range deployment.Pools {
		tables.Pools = append(tables.Pools, operator.Pool{
			Name: pool.Name, Slots: pool.Slots, Connections: pool.Connections,
			Cold: operator.Cold{Slots: 1, RunsPerSecond: 200, WarmAfterRuns: 20},
		})
		tables.Routes = append(tables.Routes,
			operator.Route{Kind: pool.Name + ".search", Pool: pool.Name},
			operator.Route{Kind: pool.Name + ".file", Pool: pool.Name, NeverRepeat: true},
		)
	}
	return tables
}

// Announcements returns the announcements of the pool's targets, without addresses.
func (deployment Deployment) Announcements(pool PoolShape) []target.Announcement {
	var announcements []target.Announcement
	for index := range pool.Targets {
		shard, replica := index%pool.Shards, index/pool.Shards
		announcements = append(announcements, target.Announcement{
			ID:            fmt.Sprintf("%s-%d-%d", pool.Name, shard, replica),
			Pool:          pool.Name,
			FailureDomain: deployment.FailureDomains[(shard+replica)%len(deployment.FailureDomains)],
			Layout:        "layout-1",
			Shards:        pool.Shards,
			Shard:         shard,
			Incarnation:   1,
			Revision:      1,
			State:         target.Warm,
			IndexVersions: []uint64{1},
			TTL:           duration.Of(targetTTL),
		})
	}
	return announcements
}
