// This file exists so that Go programs reach the system without a balancer:
// the client asks entries which entries to use, and keeps to it.

package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// avoidance is how long an entry that failed is tried last.
	avoidance = 2 * time.Second
	// addressTimeout bounds one question for addresses.
	addressTimeout = time.Second
	// addressHedge is how long an entry may be silent on a question for
	// addresses before another one is asked too.
	addressHedge = 100 * time.Millisecond
	// wayShare is the share of a request's time, one in so many, that is kept
	// for the ways to an entry and back.
	wayShare = 20
	// maximumSendings bounds the entries that one request is sent to.
	maximumSendings = 4
)

type (
	// Dialer opens a connection; net.Dialer.DialContext is one.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)

	// Client sends requests to the entries that the system names. Construct
	// it with NewClient. It may be used by many goroutines.
	Client struct {
		dial  Dialer
		seeds []string

		lock    sync.Mutex
		entries map[string]*entryState
		// current lists the addresses to use until validUntil; they are asked
		// for anew from renewAt on.
		current             []string
		renewAt, validUntil time.Time
		renewing            chan struct{}
	}

	// sending is the way of one request over entries.
	sending struct {
		client  *Client
		request *Request
		tried   map[string]bool
		pending int
		// newest is the entry that got the request last.
		newest  *entryState
		results chan result
	}

	result struct {
		answer *Answer
		err    error
	}

	// listing is an entry's answer to a question for addresses, and when it
	// was asked. The addresses are nil where there was none.
	listing struct {
		addresses *Addresses
		asked     time.Time
	}

	entryState struct {
		*EntryClient
		inFlight     int
		avoidedUntil time.Time
	}
)

// NewClient returns a client that asks the entries at the seeds, IP:port each,
// for its first addresses. A nil dialer uses the HTTP library's own.
func NewClient(seeds []string, dial Dialer) *Client {
	return &Client{dial: dial, seeds: slices.Clone(seeds), entries: map[string]*entryState{}}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.lock.Lock()
	defer client.lock.Unlock()
	for _, entry := range client.entries {
		entry.Close()
	}
}

// Send sends a request and returns its answer, within the request's timeout.
// The error is a *Refusal where an entry refused, and ErrNotSent where none
// could be reached.
//
// A request that is idempotent goes to another entry where one is dead, and to
// another one besides where one has been silent for half of the time that was
// left; the first answer or refusal counts. One that isn't idempotent is sent
// again only if the first entry's refusal proves that it wasn't run, or if no
// byte of it was sent. After any other error it may have run; send it again
// with the same ID to be told.
func (client *Client) Send(ctx context.Context, request *Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout.Std())
	defer cancel()
	sending := &sending{client: client, request: request, tried: map[string]bool{}, results: make(chan result, maximumSendings)}
	last := errors.Wrap(ErrNotSent, "no entry is known")
	sending.next(ctx)
	for sending.pending > 0 {
		select {
		case result := <-sending.results:
			sending.pending--
			if result.err == nil {
				return result.answer, nil
			}
			last = result.err
			if !client.mayTryNext(ctx, last, request) {
				return nil, last
			}
			sending.next(ctx)
		case <-sending.silence(ctx):
			client.avoid(sending.newest)
			sending.next(ctx)
		}
	}
	return nil, last
}

// Addresses returns the entries that the client uses at present.
func (client *Client) Addresses(ctx context.Context) []string {
	client.refresh(ctx)
	client.lock.Lock()
	defer client.lock.Unlock()
	return slices.Clone(client.current)
}

// next sends the request to one more entry, where there is one.
func (sending *sending) next(ctx context.Context) {
	if len(sending.tried) == maximumSendings {
		return
	}
	entry := sending.client.choose(ctx, sending.tried)
	if entry == nil {
		return
	}
	sending.tried[entry.address] = true
	sending.newest = entry
	sending.pending++
	go func() {
		answer, err := sending.client.sendOnce(ctx, entry, sending.request)
		sending.results <- result{answer: answer, err: err}
	}()
}

// silence returns a channel that tells when the newest entry has been silent
// for so long that another one is to be asked besides. It is nil where none may.
func (sending *sending) silence(ctx context.Context) <-chan time.Time {
	if !sending.request.Idempotent || len(sending.tried) == maximumSendings || timeLeft(ctx) <= 0 {
		return nil
	}
	return time.After(timeLeft(ctx) / 2)
}

func (client *Client) sendOnce(ctx context.Context, entry *entryState, request *Request) (*Answer, error) {
	// An entry counts from when it gets the request, and may answer at the
	// last moment: the ways there and back must fit in too.
	left := timeLeft(ctx)
	shortened := *request
	shortened.Timeout = duration.Of(left - left/wayShare)
	answer, err := entry.sendConnecting(ctx, left/2, &shortened)
	client.lock.Lock()
	defer client.lock.Unlock()
	entry.inFlight--
	var refusal *Refusal
	switch {
	case err == nil:
		entry.avoidedUntil = time.Time{}
	case ctx.Err() != context.Canceled && (!errors.As(err, &refusal) || leavesEntry(refusal)):
		entry.avoidedUntil = time.Now().Add(avoidance)
	}
	return answer, err
}

// avoid has an entry tried last for a while.
func (client *Client) avoid(entry *entryState) {
	client.lock.Lock()
	defer client.lock.Unlock()
	entry.avoidedUntil = time.Now().Add(avoidance)
}

// mayTryNext reports whether another entry may get the request after an error.
func (client *Client) mayTryNext(ctx context.Context, err error, request *Request) bool {
	if ctx.Err() != nil {
		return false
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		client.learn(refusal.Entries)
		return leavesEntry(refusal)
	}
	return request.Idempotent || errors.Is(err, ErrNotSent)
}

// leavesEntry reports whether a refusal proves that the request wasn't run and
// says that this entry, not the system, can't serve it.
func leavesEntry(refusal *Refusal) bool {
	return refusal.Run == NotRun && (refusal.Kind == RefusedFenced || refusal.Kind == RefusedStopping)
}

// learn puts addresses from a refusal before the known ones.
func (client *Client) learn(addresses []string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	for _, address := range addresses {
		if !slices.Contains(client.current, address) {
			client.current = append(client.current, address)
		}
	}
	// The list named an entry that refuses, so it is out of date.
	client.renewAt = time.Time{}
}

// choose returns the least busy of two random entries that weren't tried and
// aren't avoided; avoided ones come last.
func (client *Client) choose(ctx context.Context, tried map[string]bool) *entryState {
	client.refresh(ctx)
	client.lock.Lock()
	defer client.lock.Unlock()
	var best *entryState
	for _, address := range shuffled(append(slices.Clone(client.current), client.seedsIfNone()...)) {
		entry := client.entry(address)
		if tried[address] {
			continue
		}
		if best == nil || entry.isAvoided() != best.isAvoided() && best.isAvoided() ||
			entry.isAvoided() == best.isAvoided() && entry.inFlight < best.inFlight {
			best = entry
		}
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

// seedsIfNone returns the seeds where no address is known. The lock is held.
func (client *Client) seedsIfNone() []string {
	if len(client.current) > 0 {
		return nil
	}
	return client.seeds
}

// entry returns the state of an entry. The lock is held.
func (client *Client) entry(address string) *entryState {
	entry, known := client.entries[address]
	if !known {
		entry = &entryState{EntryClient: NewEntryClient(address, client.dial)}
		client.entries[address] = entry
	}
	return entry
}

func (entryState *entryState) isAvoided() bool {
	return time.Now().Before(entryState.avoidedUntil)
}

// refresh asks for addresses anew before the present ones are too old. Only
// once they are does a request wait for it.
func (client *Client) refresh(ctx context.Context) {
	client.lock.Lock()
	now := time.Now()
	if now.Before(client.renewAt) {
		client.lock.Unlock()
		return
	}
	if client.renewing == nil {
		client.renewing = make(chan struct{})
		go client.renew(context.WithoutCancel(ctx), client.renewing)
	}
	renewing, isValid, isKnown := client.renewing, now.Before(client.validUntil), len(client.current) > 0
	client.lock.Unlock()
	if isValid {
		return
	}
	if isKnown {
		// An old list is better than none: its entries serve or name others.
		wait, cancel := context.WithTimeout(ctx, timeLeft(ctx)/4)
		defer cancel()
		ctx = wait
	}
	select {
	case <-renewing:
	case <-ctx.Done():
	}
}

func (client *Client) renew(ctx context.Context, done chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() {
		client.lock.Lock()
		client.renewing = nil
		client.lock.Unlock()
		close(done)
	}()
	entries := client.askable()
	answers := make(chan listing, len(entries))
	asked, pending := 0, 0
	for asked < len(entries) || pending > 0 {
		// Once none is left to ask, each question ends by itself.
		wait := addressTimeout
		if asked < len(entries) {
			entry := entries[asked]
			go func() { answers <- entry.ask(ctx) }()
			asked, pending, wait = asked+1, pending+1, addressHedge
		}
		select {
		case answer := <-answers:
			pending--
			if answer.addresses != nil {
				client.take(&answer)
				return
			}
		case <-time.After(wait):
		}
	}
}

// askable returns all known entries in the order in which to ask them.
func (client *Client) askable() []*entryState {
	client.lock.Lock()
	defer client.lock.Unlock()
	var entries []*entryState
	for _, address := range append(shuffled(client.current), shuffled(client.seeds)...) {
		entries = append(entries, client.entry(address))
	}
	slices.SortStableFunc(entries, func(a, b *entryState) int { return boolOrder(a.isAvoided(), b.isAvoided()) })
	return slices.Compact(entries)
}

// ask asks the entry for addresses.
func (entryState *entryState) ask(ctx context.Context) listing {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	asked := time.Now()
	addresses, err := entryState.Addresses(ctx)
	if err != nil || len(addresses.Entries) == 0 {
		return listing{}
	}
	return listing{addresses: addresses, asked: asked}
}

// take replaces the addresses. Their age counts from before the question.
func (client *Client) take(answer *listing) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.current = answer.addresses.Entries
	client.renewAt = answer.asked.Add(answer.addresses.MaxAge.Std() / 2)
	client.validUntil = answer.asked.Add(answer.addresses.MaxAge.Std())
	for address, entry := range client.entries {
		if entry.inFlight == 0 && !slices.Contains(client.current, address) {
			entry.Close()
			delete(client.entries, address)
		}
	}
}

// timeLeft returns the time until a request's deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, known := ctx.Deadline()
	if !known {
		return MaximumTimeout
	}
	return time.Until(deadline)
}

func shuffled(addresses []string) []string {
	shuffled := slices.Clone(addresses)
	rand.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
	return shuffled
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
