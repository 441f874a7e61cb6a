// This file exists so that attempts reach a target's home alike whether it is
// this entry or another one.

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// Peers holds a client for each other entry.
	Peers struct {
		dial    tcp.Dialer
		lock    sync.Mutex
		clients map[string]*frame.Client
	}

	// Homes sends batches to the homes of their targets.
	Homes struct {
		self  string
		home  *target.Home
		peers *Peers
	}
)

// NewPeers returns clients that use the given dialer.
func NewPeers(dial tcp.Dialer) *Peers {
	return &Peers{dial: dial, clients: map[string]*frame.Client{}}
}

// Client returns the client for the peer at an IP:port.
func (peers *Peers) Client(address string) *frame.Client {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	client, known := peers.clients[address]
	if !known {
		client = frame.NewClient(address, peers.dial)
		peers.clients[address] = client
	}
	return client
}

// Close closes all clients.
func (peers *Peers) Close() {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	for _, client := range peers.clients {
		client.Close()
	}
}

// NewHomes returns the sender of the entry with the given ID.
func NewHomes(self string, home *target.Home, peers *Peers) *Homes {
	return &Homes{self: self, home: home, peers: peers}
}

// Register offers this entry's home role to other entries.
func (homes *Homes) Register(server *frame.Server) {
	frame.HandleStream(server, MethodRun, func(ctx context.Context, batch *Batch, send func(*Report) error) error {
		homes.runHere(ctx, batch, func(report *Report) { _ = send(report) })
		return nil
	})
}

// Run sends a batch to a home and hands on a report for each attempt. It
// returns when there has been a report for each.
func (homes *Homes) Run(ctx context.Context, home membership.Member, batch *Batch, receive func(*Report)) {
	if home.ID == homes.self {
		homes.runHere(ctx, batch, receive)
		return
	}
	waiting := map[string]bool{}
	for _, item := range batch.Attempts {
		waiting[item.AttemptID] = true
	}
	err := frame.Stream(ctx, homes.peers.Client(home.PeerAddress), MethodRun, batch, func(report *Report) {
		if waiting[report.AttemptID] {
			delete(waiting, report.AttemptID)
			receive(report)
		}
	})
	for attemptID := range waiting {
		receive(newReport(attemptID, unreported(err)))
	}
}

// unreported says what became of an attempt whose home sent no report.
func unreported(err error) target.Outcome {
	if errors.Is(err, frame.ErrNotSent) {
		return target.NotRun{Reason: caller.MissingNoReplica}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return target.Lost{Reason: caller.MissingDeadline}
	}
	return target.Lost{Reason: caller.MissingLost}
}

func (homes *Homes) runHere(ctx context.Context, batch *Batch, receive func(*Report)) {
	deadline := time.Now().Add(batch.Timeout)
	var lock sync.Mutex
	var running sync.WaitGroup
	for index := range batch.Attempts {
		item := &batch.Attempts[index]
		running.Go(func() {
			outcome := homes.home.Run(ctx, batch.attempt(item, deadline))
			lock.Lock()
			defer lock.Unlock()
			receive(newReport(item.AttemptID, outcome))
		})
	}
	running.Wait()
}
