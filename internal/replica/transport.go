// The delivery of messages between replicas: in order, and without blocking the sender.

package replica

import (
	"context"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

const (
	// MethodDeliver delivers a batch of messages between replicas.
	MethodDeliver = "replica.deliver"

	// maximumQueued bounds the messages queued for one peer. Further ones are dropped, because any
	// message may get lost anyway.
	maximumQueued = 256
	// maximumCalls bounds the calls in flight to one peer.
	maximumCalls = 32
	// maximumBatchBytes bounds the commands in one call, unless a single message holds more.
	maximumBatchBytes = 2 << 20
	deliveryTimeout   = time.Second
)

type (
	// transport sends messages to peers.
	transport struct {
		dial tcp.Dialer

		lock    sync.Mutex
		peers   map[string]*peer
		stopped bool
		running sync.WaitGroup
	}

	// peer is the connection and the queue to one address. calls holds a token for each call in
	// flight.
	peer struct {
		client *frame.Client
		queue  chan envelope
		calls  chan struct{}
		closed chan struct{}
	}
)

func (transport *transport) send(envelopes []envelope) {
	for _, sent := range envelopes {
		peer := transport.peer(sent.toAddress)
		if peer == nil {
			return
		}
		select {
		case peer.queue <- sent:
		default:
		}
	}
}

func (transport *transport) peer(address string) *peer {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	if transport.stopped {
		return nil
	}
	known := transport.peers[address]
	if known != nil {
		return known
	}
	added := &peer{
		client: frame.NewClient(address, transport.dial),
		queue:  make(chan envelope, maximumQueued), calls: make(chan struct{}, maximumCalls), closed: make(chan struct{}),
	}
	if transport.peers == nil {
		transport.peers = map[string]*peer{}
	}
	transport.peers[address] = added
	transport.running.Go(func() { transport.run(added) })
	return added
}

// recordHeard records that a peer at an address has sent a message. It is up, so that messages to it don't wait
// after an earlier dial that failed.
func (transport *transport) recordHeard(address string) {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	if peer := transport.peers[address]; peer != nil {
		peer.client.RetryDial()
	}
}

// stop closes all connections and waits for calls to end. Later messages are dropped.
func (transport *transport) stop() {
	transport.lock.Lock()
	transport.stopped = true
	for _, peer := range transport.peers {
		close(peer.closed)
		peer.client.Close()
	}
	transport.lock.Unlock()
	transport.running.Wait()
}

func (transport *transport) run(peer *peer) {
	for {
		select {
		case <-peer.closed:
			return
		case first := <-peer.queue:
			transport.call(peer, collectBatch(peer.queue, first))
		}
	}
}

// collectBatch returns a batch of a message and those queued behind it, up to maximumBatchBytes.
func collectBatch(queue chan envelope, first envelope) *batch {
	collected := &batch{Envelopes: []wireEnvelope{first.wire()}}
	size := sizeOf(&first)
	for size < maximumBatchBytes {
		select {
		case next := <-queue:
			collected.Envelopes = append(collected.Envelopes, next.wire())
			size += sizeOf(&next)
		default:
			return collected
		}
	}
	return collected
}

// sizeOf returns the size of the commands or the snapshot data in a message.
func sizeOf(envelope *envelope) int {
	switch message := envelope.message.(type) {
	case appendRequest:
		size := 0
		for _, entry := range message.Entries {
			size += len(entry.Data)
		}
		return size
	case installRequest:
		return len(message.Snapshot.Data)
	default:
		return 0
	}
}

// call sends a batch and doesn't wait for its receipt. While maximumCalls calls are in flight, it
// waits before it sends the batch; once the peer is closed, it drops the batch.
func (transport *transport) call(peer *peer, sent *batch) {
	select {
	case peer.calls <- struct{}{}:
	case <-peer.closed:
		return
	}
	transport.running.Go(func() {
		defer func() { <-peer.calls }()
		ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
		defer cancel()
		// The core recovers from a lost batch.
		_, _ = frame.Call[batch, receipt](ctx, peer.client, MethodDeliver, sent)
	})
}
