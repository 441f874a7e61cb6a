// Transport of attempts to the homes of their targets. The coordinator uses
// it in the same way for this entry and for other entries.

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// cancelTimeout bounds the call that sends a cancellation.
	cancelTimeout = time.Second
)

type (
	// Peers holds one client for each other entry.
	Peers struct {
		dial    tcp.Dialer
		lock    sync.Mutex
		clients map[string]*frame.Client
	}

	// Homes sends batches of attempts to the homes of their targets.
	Homes struct {
		self  string
		board *blackboard.Board
		// home runs the attempts at targets whose home is this entry.
		home     *target.Home
		peers    *Peers
		inFlight inFlight
		// verdictQueues holds the crash verdicts for the other entries.
		verdictQueues verdictQueues
	}
)

// NewPeers returns clients that connect through the given dialer.
func NewPeers(dial tcp.Dialer) *Peers {
	return &Peers{dial: dial, clients: map[string]*frame.Client{}}
}

// Client returns the client for the peer at address, an IP:port.
func (peers *Peers) Client(address string) *frame.Client {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	client, known := peers.clients[address]
	if !known {
		client = frame.NewOnDemandClient(address, peers.dial)
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

// NewHomes returns the Homes of the entry with the given ID.
func NewHomes(self string, board *blackboard.Board, home *target.Home, peers *Peers) *Homes {
	return &Homes{self: self, board: board, home: home, peers: peers}
}

// Register serves this entry's home role to other entries, and exchanges crash
// verdicts with them.
func (homes *Homes) Register(server *frame.Server) {
	frame.HandleStream(server, MethodRun, func(ctx context.Context, batch *Batch, send func(*Report) error) error {
		homes.runLocally(ctx, batch, func(report *Report) { _ = send(report) })
		return nil
	})
	frame.Handle(server, MethodCancel, func(_ context.Context, cancellation *Cancellation) (*Empty, error) {
		homes.cancelLocally(cancellation)
		return &Empty{}, nil
	})
	homes.registerVerdicts(server)
}

// Reachable reports whether a batch can be sent to a home without waiting for a
// connection that has failed.
func (homes *Homes) Reachable(home *membership.Member) bool {
	return home.ID == homes.self || homes.peers.Client(home.PeerAddress).Reachable()
}

// Run sends a batch to a home and passes a report for each attempt to receive. It
// returns after the last report.
func (homes *Homes) Run(ctx context.Context, home membership.Member, batch *Batch, receive func(*Report)) {
	if home.ID == homes.self {
		homes.runLocally(ctx, batch, receive)
		return
	}
	unreported := make(map[string]bool, len(batch.Attempts))
	for _, item := range batch.Attempts {
		unreported[item.AttemptID] = true
	}
	err := frame.Stream(ctx, homes.peers.Client(home.PeerAddress), MethodRun, batch, func(report *Report) {
		if unreported[report.AttemptID] {
			delete(unreported, report.AttemptID)
			receive(report)
		}
	})
	for attemptID := range unreported {
		report := newReport(attemptID, unreportedOutcome(err))
		report.unreachable = true
		receive(report)
	}
}

// Cancel cancels attempts at a home. It doesn't wait for the home.
func (homes *Homes) Cancel(home membership.Member, cancellation *Cancellation) {
	if home.ID == homes.self {
		homes.cancelLocally(cancellation)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_, _ = frame.Call[Cancellation, Empty](ctx, homes.peers.Client(home.PeerAddress), MethodCancel, cancellation)
	}()
}

// unreportedOutcome returns the outcome of an attempt whose home sent no report.
// If the batch wasn't sent, or the home refused it with a fault, the attempt didn't run.
func unreportedOutcome(err error) target.Outcome {
	var refused *fault.Error
	if errors.Is(err, frame.ErrNotSent) || errors.As(err, &refused) {
		return target.NotRun{Reason: caller.MissingNoReplica}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return target.Lost{Reason: caller.MissingDeadline}
	}
	return target.Lost{Reason: caller.MissingLost}
}

func (homes *Homes) cancelLocally(cancellation *Cancellation) {
	for _, attemptID := range cancellation.AttemptIDs {
		homes.inFlight.cancel(attemptID)
	}
}

// runLocally runs a batch at targets whose home is this entry. It passes one report at
// a time to receive.
func (homes *Homes) runLocally(ctx context.Context, batch *Batch, receive func(*Report)) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, "home batch", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.Int("comfreythread.attempts", len(batch.Attempts))))
	defer span.End()
	deadline := time.Now().Add(batch.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var lock sync.Mutex
	var running sync.WaitGroup
	for index := range batch.Attempts {
		running.Go(func() {
			report := homes.runAttempt(ctx, batch, &batch.Attempts[index], deadline)
			lock.Lock()
			defer lock.Unlock()
			receive(report)
		})
	}
	running.Wait()
}

// runAttempt runs one attempt. One whose ID was received or cancelled before is
// reported as lost, which leaves open whether it ran.
func (homes *Homes) runAttempt(ctx context.Context, batch *Batch, item *BatchItem, deadline time.Time) *Report {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !homes.inFlight.begin(item.AttemptID, deadline, cancel) {
		return newReport(item.AttemptID, target.Lost{Reason: caller.MissingLost})
	}
	start := time.Now()
	report := newReport(item.AttemptID, homes.home.Run(ctx, batch.attempt(item, deadline)))
	report.Elapsed = time.Since(start)
	report.Load = homes.home.Load(item.TargetID)
	return report
}
