package httptarget

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	clusterDelay = 10 * time.Millisecond
	// clusterSettleSpan is how long a cluster without faults takes until all know the same.
	clusterSettleSpan = 3 * time.Second
	// coldRate is the rate of cold targets in these tests, in requests a second.
	coldRate = 4
	// learnSpan is how long after the acknowledgement of an announcement entries know it.
	learnSpan = 100 * time.Millisecond
	// warmSlack is how long after its cold start has ended a target may still get requests at the rate of cold ones.
	warmSlack = 300 * time.Millisecond
)

type (
	// cluster is a group of registries with the entries that watch them, on a network in memory. It must be
	// used in a bubble.
	cluster struct {
		t       *testing.T
		network standin.Network
		nodes   []*clusterNode

		lock    sync.Mutex
		entries []*clusterEntry
	}

	// clusterNode is a machine with a registry. Its process may be down.
	clusterNode struct {
		cluster *cluster
		ip      string
		disk    *standin.Disk
		starts  uint64

		lock sync.Mutex
		// api and stop are those of the running process; nil while it is down.
		api  *AnnouncementAPI
		stop func()
	}

	// clusterEntry is an entry's directory.
	clusterEntry struct {
		directory *Directory
		stop      func()
	}
)

// newCluster starts registries and an entry.
func newCluster(t *testing.T, registries int) *cluster {
	cluster := &cluster{t: t}
	cluster.network.SetLatency(func(string, string) time.Duration { return clusterDelay })
	for number := range registries {
		cluster.nodes = append(cluster.nodes, &clusterNode{cluster: cluster, ip: fmt.Sprintf("10.0.0.%d", number+1), disk: &standin.Disk{}})
	}
	for _, node := range cluster.nodes {
		node.start()
	}
	cluster.startEntry()
	// Registries refuse ends in doubt only for some time after their start.
	time.Sleep(unreachableSpan)
	return cluster
}

// close stops everything and waits until it has ended.
func (cluster *cluster) close() {
	for _, node := range cluster.nodes {
		node.kill()
	}
	for _, entry := range cluster.entries {
		entry.stop()
	}
	time.Sleep(10 * time.Minute)
}

func (cluster *cluster) addresses() []string {
	var addresses []string
	for _, node := range cluster.nodes {
		addresses = append(addresses, node.ip+":90")
	}
	return addresses
}

// startEntry starts an entry that knows nothing yet.
func (cluster *cluster) startEntry() *clusterEntry {
	ctx, cancel := context.WithCancel(context.Background())
	entry := &clusterEntry{directory: NewDirectory(zap.NewNop()), stop: cancel}
	ip := fmt.Sprintf("10.0.1.%d", len(cluster.entries)+1)
	go NewWatcher(entry.directory, cluster.addresses, cluster.network.Dialer(ip), zap.NewNop()).Run(ctx)
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	cluster.entries = append(cluster.entries, entry)
	return entry
}

// runningEntries returns all entries, in the order of their start.
func (cluster *cluster) runningEntries() []*clusterEntry {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	return slices.Clone(cluster.entries)
}

// start starts the process of a node with what is on its disk.
func (node *clusterNode) start() {
	node.starts++
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := node.cluster.network.Listen(node.ip + ":90")
	if err != nil {
		node.cluster.t.Fatal(err)
	}
	registry := NewRegistry(node.starts, zap.NewNop())
	group := NewGroup(registry, func() []string {
		var others []string
		for _, other := range node.cluster.nodes {
			if other != node {
				others = append(others, other.ip+":90")
			}
		}
		return others
	}, node.cluster.network.Dialer(node.ip), zap.NewNop())
	server := new(frame.Server)
	registry.Register(server)
	store := NewStore("registry", node.disk)
	registry.Load(store)
	go registry.Run(ctx)
	go group.Run(ctx)
	go registry.Save(ctx, store)
	go func() { _ = server.Serve(listener) }()
	node.lock.Lock()
	defer node.lock.Unlock()
	node.api = NewAnnouncementAPI(registry, group, func() bool { return true }, nil)
	node.stop = func() {
		cancel()
		group.Close()
		server.Stop()
	}
}

// runningAPI returns the interface of the running process, or nil while it is down.
func (node *clusterNode) runningAPI() *AnnouncementAPI {
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.api
}

// kill ends the process of a node, if it runs.
func (node *clusterNode) kill() {
	node.lock.Lock()
	stop := node.stop
	node.api, node.stop = nil, nil
	node.lock.Unlock()
	if stop != nil {
		stop()
	}
}

// restart ends the process of a node and starts it again.
func (node *clusterNode) restart() {
	node.kill()
	time.Sleep(300 * time.Millisecond)
	node.start()
}

// wipe replaces the disk of a node that is down by an empty one.
func (node *clusterNode) wipe() {
	node.disk = &standin.Disk{}
}

// uses reports whether an entry may use a start of a target.
func (entry *clusterEntry) uses(id string, startedAt int64) bool {
	return entry.directory.Find(id, startedAt) != nil
}
