package entry

import (
	"context"
	"flag"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	meshLatency = 12 * time.Millisecond
	meshPort    = ":90"
	// controlBudget is the maximum for all control traffic, in bytes per entry and
	// second.
	controlBudget = 2000
	// segmentBytes is the size of an IP and a TCP header with time stamps.
	segmentBytes = 52
	// usableSpan is the maximum time from an announcement until the target must be
	// usable.
	usableSpan = 2 * time.Second
)

type (
	// mesh is a group of entries that replicate their directories over an
	// in-memory network. It counts the bytes and writes.
	mesh struct {
		network       standin.Network
		nodes         []*meshNode
		bytes, writes atomic.Int64
		cancel        context.CancelFunc
	}

	meshNode struct {
		directoryReplicator *DirectoryReplicator
		server              frame.Server
		peers               *Peers
	}

	countedConnection struct {
		net.Conn
		mesh *mesh
	}

	countedListener struct {
		net.Listener
		mesh *mesh
	}
)

var measureMesh = flag.Bool("measure-mesh", false, "measure the cost of the links between entries and print the figures")

func (connection *countedConnection) Write(data []byte) (int, error) {
	connection.mesh.bytes.Add(int64(len(data)))
	connection.mesh.writes.Add(1)
	return connection.Conn.Write(data)
}

func (listener *countedListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConnection{Conn: connection, mesh: listener.mesh}, nil
}

func startMesh(entries int) *mesh {
	mesh := &mesh{}
	mesh.network.SetLatency(func(_, _ string) time.Duration { return meshLatency })
	ctx, cancel := context.WithCancel(context.Background())
	mesh.cancel = cancel
	view := membership.View{Number: 1}
	for number := range entries {
		view.Members = append(view.Members, membership.Member{
			ID: fmt.Sprintf("entry-%d", number), PeerAddress: meshAddress(number) + meshPort, FailureDomain: fmt.Sprintf("domain-%d", number%costDomains),
		})
	}
	for number := range view.Members {
		mesh.startNode(ctx, number, view)
	}
	return mesh
}

func meshAddress(number int) string {
	return fmt.Sprintf("10.0.%d.%d", number/250, 1+number%250)
}

// startNode starts the entry with the given index in the view.
func (mesh *mesh) startNode(ctx context.Context, number int, view membership.View) {
	dial := mesh.network.Dialer(meshAddress(number))
	node := &meshNode{peers: NewPeers(func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConnection{Conn: connection, mesh: mesh}, nil
	})}
	board := new(blackboard.Board)
	board.Membership().Update(&view, view.Number)
	node.directoryReplicator = NewDirectoryReplicator(view.Members[number].ID, board, node.peers, metrics.New())
	node.directoryReplicator.Register(&node.server)
	listener, _ := mesh.network.Listen(view.Members[number].PeerAddress)
	go func() { _ = node.server.Serve(&countedListener{Listener: listener, mesh: mesh}) }()
	go node.directoryReplicator.Run(ctx)
	mesh.nodes = append(mesh.nodes, node)
}

func (mesh *mesh) stop() {
	mesh.cancel()
	for _, node := range mesh.nodes {
		node.peers.Close()
		node.server.Stop()
	}
	// The simulated clock stops when the body of the bubble returns, so let
	// pending timers run out first.
	time.Sleep(convergeLimit)
}

// announce announces a target at one entry and returns the time until all
// directories are equal, at most about convergeLimit.
func (mesh *mesh) announce(number int, state target.State, incarnation uint64) time.Duration {
	announcement := costAnnouncement(number, state, incarnation)
	_, _ = mesh.nodes[number%len(mesh.nodes)].directoryReplicator.board.Directory().Put(announcement)
	startedAt := time.Now()
	for !mesh.equal() && time.Since(startedAt) < convergeLimit {
		time.Sleep(time.Millisecond)
	}
	return time.Since(startedAt)
}

func (mesh *mesh) equal() bool {
	digest := mesh.nodes[0].directoryReplicator.board.Directory().Digest()
	for _, node := range mesh.nodes {
		if node.directoryReplicator.board.Directory().Digest() != digest {
			return false
		}
	}
	return true
}

// rate calls during, waits until the span is over, and returns the bytes sent per entry
// and second, without and with TCP/IP headers. Each write counts as one segment.
func (mesh *mesh) rate(span time.Duration, during func()) (payload, withHeaders float64) {
	mesh.bytes.Store(0)
	mesh.writes.Store(0)
	startedAt := time.Now()
	during()
	time.Sleep(span - time.Since(startedAt))
	seconds := span.Seconds() * float64(len(mesh.nodes))
	return float64(mesh.bytes.Load()) / seconds, float64(mesh.bytes.Load()+segmentBytes*mesh.writes.Load()) / seconds
}

// churn announces restarts of targets at a rate of 1,700 a day, with three
// changes each. It returns the longest time until all directories were equal.
func (mesh *mesh) churn() time.Duration {
	slowest := time.Duration(0)
	for restart := range int(churnSpan / restartInterval) {
		for stage, state := range []target.State{target.Leaving, target.Cold, target.Warm} {
			slowest = max(slowest, mesh.announce(restart*7, state, uint64(2+stage)))
			time.Sleep(time.Second)
		}
		time.Sleep(restartInterval - 4*time.Second)
	}
	return slowest
}

// TestIdleMesh guards against traffic on idle links, because the number of links at
// each entry grows with the number of entries. It also checks that changes still
// spread after idle links were closed.
func TestIdleMesh(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		mesh := startMesh(40)
		defer mesh.stop()
		if span := mesh.announce(0, target.Warm, 1); span > usableSpan {
			t.Errorf("directories equal after %s, want at most 2 s", span)
		}
		if _, withHeaders := mesh.rate(quietSpan, func() {}); withHeaders > controlBudget {
			t.Errorf("%.0f B/s per entry with all links idle, want at most 2000", withHeaders)
		}
		time.Sleep(10 * time.Minute)
		if span := mesh.announce(1, target.Warm, 1); span > usableSpan {
			t.Errorf("directories equal after %s when idle links had been closed, want at most 2 s", span)
		}
	})
}

// TestMeasureMesh prints the second table of docs/design/directory.md.
func TestMeasureMesh(t *testing.T) {
	if !*measureMesh {
		t.Skip("only prints figures; run make directory")
	}
	fmt.Println("| Entries | Quiet, B/s, without and with TCP/IP headers | Churn, the same | Churn, slowest to be equal | Heap, KB a link |")
	for _, entries := range []int{6, 60, 300} {
		bubble.Test(t, func(*testing.T) {
			mesh := startMesh(entries)
			defer mesh.stop()
			mesh.announce(0, target.Warm, 1)
			quiet, quietWithHeaders := mesh.rate(quietSpan, func() {})
			slowest := time.Duration(0)
			churn, churnWithHeaders := mesh.rate(churnSpan, func() { slowest = mesh.churn() })
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			links := float64(entries * (entries - 1))
			fmt.Printf("| %d | %.0f, %.0f | %.0f, %.0f | %s | %.0f |\n", entries, quiet, quietWithHeaders, churn, churnWithHeaders, slowest, float64(memory.HeapAlloc+memory.StackInuse)/links/1000)
		})
	}
}
