package entry_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/entry"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	targetapi "gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	replicaIP = "10.0.0.1"
	entryIP   = "10.1.0.1"
	peerPort  = ":9080"

	// inForceLimit is the time after its acknowledgement in which a change is in force.
	inForceLimit = 4 * time.Second
	// changeBytes is what a replica may send to an entry for one change: 2 KB a second for 15 s.
	changeBytes = 2000 * 15
	manyRoutes  = 2800
)

type (
	// singleReplica is a log of one replica that always leads.
	singleReplica struct {
		state *control.State
		since time.Time
	}

	// idleHome is the home of no targets.
	idleHome struct{}

	// deployment is a control replica and the leaseholder of an entry.
	deployment struct {
		network *standin.Network
		client  *control.Client
		board   *blackboard.Board
		// sentBytes counts the bytes that the replica has sent.
		sentBytes atomic.Int64
	}
)

func (singleReplica *singleReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	return singleReplica.state.Apply(1, command), nil
}
func (singleReplica *singleReplica) Confirm(context.Context) error { return nil }
func (singleReplica *singleReplica) Term() (uint64, bool)          { return 1, true }
func (singleReplica *singleReplica) LeadingSince() time.Time       { return singleReplica.since }
func (singleReplica *singleReplica) FeatureLevel() int             { return replica.BuildLevel }
func (singleReplica *singleReplica) AwaitLeader(context.Context) string {
	return replicaIP + peerPort
}
func (singleReplica *singleReplica) Status() replica.Status { return replica.Status{} }
func (singleReplica *singleReplica) AddReplica(context.Context, string, string) error {
	return nil
}
func (singleReplica *singleReplica) RemoveReplica(context.Context, string) error { return nil }

func (idleHome) RecordNoTargetUsed()                   {}
func (idleHome) CancelAll()                            {}
func (idleHome) ClaimUsable() []targetapi.Announcement { return nil }
func (idleHome) ReleaseMoved(context.Context, []targetapi.Announcement, target.Releaser) uint64 {
	return 0
}

// tablesOf returns tables with distinct HTTP routes.
func tablesOf(routes int) operator.Tables {
	tables := operator.Tables{Pools: []operator.Pool{{Name: "web", Connections: 62, HTTP: &operator.HTTPPool{}}}}
	for number := range routes {
		tables.Routes = append(tables.Routes, operator.Route{Kind: fmt.Sprintf("route-%d", number*7919), Pool: "web", HTTP: &operator.HTTPRoute{
			Host: fmt.Sprintf("host-%d.example", number%40), PathPrefix: fmt.Sprintf("/path-%x/", number*104729), Timeout: duration.Of(time.Second), MaxAttempts: 2,
		}})
	}
	return tables
}

// withDeployment runs the body with a deployment whose entry renews its lease.
func withDeployment(t *testing.T, body func(t *testing.T, deployment *deployment)) {
	bubble.Test(t, func(t *testing.T) {
		// Goroutines that wait for a timeout end before the bubble does.
		defer time.Sleep(time.Minute)
		state := &control.State{}
		server := &frame.Server{}
		control.NewService(&singleReplica{state: state, since: time.Now()}, state).Register(server)
		deployment := &deployment{network: &standin.Network{}, board: &blackboard.Board{}}
		deployment.network.Watch(func(traffic standin.Traffic) {
			if traffic.From == replicaIP {
				deployment.sentBytes.Add(int64(traffic.Bytes))
			}
		})
		listener, err := deployment.network.Listen(replicaIP + peerPort)
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
		defer server.Stop()
		deployment.client = control.NewClient([]string{replicaIP + peerPort}, deployment.network.Dialer("10.2.0.1"))
		defer deployment.client.Close()
		client := control.NewClient([]string{replicaIP + peerPort}, deployment.network.Dialer(entryIP))
		defer client.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		leaseholder := entry.NewLeaseholder(membership.Member{ID: "entry", Incarnation: 1}, deployment.board, client, idleHome{}, nil, zap.NewNop(), metrics.New())
		go leaseholder.Run(ctx)
		body(t, deployment)
	})
}

// change changes the tables and returns how long it takes from the acknowledgement until they are in force at the entry.
func (deployment *deployment) change(t *testing.T, id string, tables operator.Tables) time.Duration {
	_, base := deployment.board.InForce().Tables()
	reply, err := deployment.client.Change(context.Background(), &operator.Change{ID: id, Base: base, Tables: tables})
	if err != nil {
		t.Fatal(err)
	}
	acknowledgedAt := time.Now()
	for time.Since(acknowledgedAt) < inForceLimit {
		if _, version := deployment.board.InForce().Tables(); version == reply.Version {
			return time.Since(acknowledgedAt)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("change %q isn't in force %v after its acknowledgement", id, inForceLimit)
	return 0
}

// TestTablesArriveOverSeveralAttempts guards against an entry that never gets tables whose transfer takes longer than one
// attempt, because each attempt begins from the start.
func TestTablesArriveOverSeveralAttempts(t *testing.T) {
	withDeployment(t, func(t *testing.T, deployment *deployment) {
		deployment.change(t, "first", tablesOf(1))
		deployment.network.SetBandwidth(func(from string) int {
			if from == replicaIP {
				return 25_000
			}
			return 0
		})
		elapsed := deployment.change(t, "many routes", tablesOf(manyRoutes))
		if elapsed < time.Second {
			t.Errorf("in force after %v; the transfer is meant to outlast an attempt", elapsed)
		}
	})
}

// TestChangeOfOneRouteCostsLittle guards against tables that are sent whole to each entry after each change, which keeps the
// leader too busy to hold its lead.
func TestChangeOfOneRouteCostsLittle(t *testing.T) {
	withDeployment(t, func(t *testing.T, deployment *deployment) {
		deployment.change(t, "many routes", tablesOf(manyRoutes))
		time.Sleep(time.Second)
		changed := tablesOf(manyRoutes)
		changed.Routes[manyRoutes/2].HTTP.MaxAttempts++
		before := deployment.sentBytes.Load()
		deployment.change(t, "one route", changed)
		if sent := deployment.sentBytes.Load() - before; sent > changeBytes {
			t.Errorf("the replica sent %d bytes, at most %d are allowed", sent, changeBytes)
		}
	})
}
