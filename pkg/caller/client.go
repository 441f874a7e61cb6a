// Client balances load on the client side, so that Go programs need no load
// balancer: it fetches the list of entries from the entries themselves.

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
	// avoidDuration is how long an entry that failed or didn't reply in time is
	// avoided, that is used only if no other is left.
	avoidDuration = 2 * time.Second
	// addressTimeout bounds one request for addresses.
	addressTimeout = time.Second
	// addressHedgeDelay is the delay after which an unanswered request for
	// addresses is also sent to another entry.
	addressHedgeDelay = 100 * time.Millisecond
	// networkTimeDivisor reserves 1/networkTimeDivisor of a request's remaining
	// time for the network round trip to an entry.
	networkTimeDivisor = 20
	// maximumAttempts is the maximum number of entries that one request is sent to.
	maximumAttempts = 4
)

type (
	// Dialer opens a connection, as net.Dialer.DialContext does.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)

	// Client sends requests to the entries that the system lists. Construct
	// it with NewClient. It is safe for concurrent use.
	Client struct {
		dial  Dialer
		seeds []string

		lock    sync.Mutex
		entries map[string]*entryState
		// entryAddresses are valid until validUntil and are refreshed in the
		// background from refreshAt on. refreshing is closed at the end of a
		// refresh, and nil while there is none.
		entryAddresses        []string
		refreshAt, validUntil time.Time
		refreshing            chan struct{}
	}

	// requestAttempts tracks the attempts to send one request to entries.
	requestAttempts struct {
		client  *Client
		request *Request
		// tried holds the addresses of the entries that the request was sent to.
		tried map[string]bool
		// pendingCount is the number of attempts whose result is outstanding.
		pendingCount int
		// lastEntry is the entry of the most recent attempt.
		lastEntry *entryState
		results   chan result
	}

	result struct {
		answer *Answer
		err    error
	}

	// addressesReply is an entry's reply to a request for addresses, with the
	// time of the request. The addresses are nil if the request failed.
	addressesReply struct {
		addresses   *Addresses
		requestedAt time.Time
	}

	// entryState is the client's state of one entry.
	entryState struct {
		*EntryClient
		inFlight     int
		avoidedUntil time.Time
	}
)

// NewClient returns a client that fetches its first list of entries from the
// seeds, each an IP:port. If dial is nil, the default dialer is used.
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

// Send sends a request and returns its answer within the request's timeout.
// The error is a *Refusal if an entry refused the request, and ErrNotSent if no
// entry could be reached.
//
// An idempotent request is retried at another entry if an entry fails. It is
// also sent to one more entry if the last one has not replied within half of
// the remaining time; the first answer or final refusal is returned. A request
// that isn't idempotent is sent again only if the entry's refusal proves that
// it wasn't run, or if no byte of it was sent. After any other error it may
// have run; send it again with the same ID to learn the outcome.
func (client *Client) Send(ctx context.Context, request *Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout.Std())
	defer cancel()
	requestAttempts := &requestAttempts{client: client, request: request, tried: map[string]bool{}, results: make(chan result, maximumAttempts)}
	lastErr := errors.Wrap(ErrNotSent, "no entry is known")
	requestAttempts.sendToNextEntry(ctx)
	for requestAttempts.pendingCount > 0 {
		select {
		case result := <-requestAttempts.results:
			requestAttempts.pendingCount--
			if result.err == nil {
				return result.answer, nil
			}
			lastErr = result.err
			if !client.mayRetry(ctx, lastErr, request) {
				return nil, lastErr
			}
			requestAttempts.sendToNextEntry(ctx)
		case <-requestAttempts.hedgeTimer(ctx):
			client.avoid(requestAttempts.lastEntry)
			requestAttempts.sendToNextEntry(ctx)
		}
	}
	return nil, lastErr
}

// Addresses returns the addresses of the entries that the client currently
// uses.
func (client *Client) Addresses(ctx context.Context) []string {
	client.ensureAddresses(ctx)
	client.lock.Lock()
	defer client.lock.Unlock()
	return slices.Clone(client.entryAddresses)
}

// sendToNextEntry sends the request to one more entry, if there is one left and
// maximumAttempts isn't reached.
func (requestAttempts *requestAttempts) sendToNextEntry(ctx context.Context) {
	if len(requestAttempts.tried) == maximumAttempts {
		return
	}
	entry := requestAttempts.client.selectEntry(ctx, requestAttempts.tried)
	if entry == nil {
		return
	}
	requestAttempts.tried[entry.address] = true
	requestAttempts.lastEntry = entry
	requestAttempts.pendingCount++
	go func() {
		answer, err := requestAttempts.client.sendOnce(ctx, entry, requestAttempts.request)
		requestAttempts.results <- result{answer: answer, err: err}
	}()
}

// hedgeTimer returns a channel that fires when the last entry has not replied
// for so long that the request is to be hedged. It returns nil if the request
// isn't idempotent, has been sent to maximumAttempts entries, or has no time left.
func (requestAttempts *requestAttempts) hedgeTimer(ctx context.Context) <-chan time.Time {
	if !requestAttempts.request.Idempotent || len(requestAttempts.tried) == maximumAttempts || remainingTime(ctx) <= 0 {
		return nil
	}
	return time.After(remainingTime(ctx) / 2)
}

// sendOnce sends the request to an entry that selectEntry returned, and no longer counts it as in
// flight afterwards. If the entry failed, or didn't run the request because it is fenced or stopping,
// the client avoids it for avoidDuration. After an answer, the client no longer avoids it. Any other
// refusal, or a cancellation of ctx, leaves this as it was.
func (client *Client) sendOnce(ctx context.Context, entry *entryState, request *Request) (*Answer, error) {
	// The entry measures the timeout from when it receives the request, and
	// may reply just before it elapses. The round trip must fit in as well.
	remaining := remainingTime(ctx)
	shortened := *request
	shortened.Timeout = duration.Of(remaining - remaining/networkTimeDivisor)
	answer, err := entry.sendWithConnectTimeout(ctx, remaining/2, &shortened)
	client.lock.Lock()
	defer client.lock.Unlock()
	entry.inFlight--
	var refusal *Refusal
	switch {
	case err == nil:
		entry.avoidedUntil = time.Time{}
	case ctx.Err() != context.Canceled && (!errors.As(err, &refusal) || isRetryableElsewhere(refusal)):
		entry.avoidedUntil = time.Now().Add(avoidDuration)
	}
	return answer, err
}

// avoid makes the client use an entry only if no other is left, for avoidDuration.
func (client *Client) avoid(entry *entryState) {
	client.lock.Lock()
	defer client.lock.Unlock()
	entry.avoidedUntil = time.Now().Add(avoidDuration)
}

// mayRetry reports whether the request may be sent to another entry after an
// error. It also adds the addresses that a refusal lists to the client's own.
func (client *Client) mayRetry(ctx context.Context, err error, request *Request) bool {
	if ctx.Err() != nil {
		return false
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		client.addAddresses(refusal.Entries)
		return isRetryableElsewhere(refusal)
	}
	return request.Idempotent || errors.Is(err, ErrNotSent)
}

// isRetryableElsewhere reports whether a refusal proves that the request wasn't
// run, and is specific to the entry rather than the whole system.
func isRetryableElsewhere(refusal *Refusal) bool {
	return refusal.Run == NotRun && (refusal.Kind == RefusedFenced || refusal.Kind == RefusedStopping)
}

// addAddresses adds the addresses from a refusal to the client's own, and makes
// the next call of ensureAddresses refresh them.
func (client *Client) addAddresses(addresses []string) {
	client.lock.Lock()
	defer client.lock.Unlock()
	for _, address := range addresses {
		if !slices.Contains(client.entryAddresses, address) {
			client.entryAddresses = append(client.entryAddresses, address)
		}
	}
	// The list contains an entry that refuses requests, so it is stale.
	client.refreshAt = time.Time{}
}

// selectEntry returns the entry with the fewest requests in flight among those
// not tried yet, and breaks ties at random. Avoided entries are used only if no
// other is left. It counts the new request as in flight at the entry, and
// returns nil if all entries were tried.
func (client *Client) selectEntry(ctx context.Context, tried map[string]bool) *entryState {
	client.ensureAddresses(ctx)
	client.lock.Lock()
	defer client.lock.Unlock()
	var best *entryState
	for _, address := range shuffled(append(slices.Clone(client.entryAddresses), client.fallbackSeeds()...)) {
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

// fallbackSeeds returns the seeds if no address is known, and nil otherwise. The
// lock must be held.
func (client *Client) fallbackSeeds() []string {
	if len(client.entryAddresses) > 0 {
		return nil
	}
	return client.seeds
}

// entry returns the state of an entry, and creates it if needed. The lock must
// be held.
func (client *Client) entry(address string) *entryState {
	entry, found := client.entries[address]
	if !found {
		entry = &entryState{EntryClient: NewEntryClient(address, client.dial)}
		client.entries[address] = entry
	}
	return entry
}

func (entryState *entryState) isAvoided() bool {
	return time.Now().Before(entryState.avoidedUntil)
}

// ensureAddresses starts a refresh of the addresses in the background if
// refreshAt has passed. It waits for the refresh only if there are no valid
// addresses: for at most a quarter of the remaining time if there are expired
// ones, and otherwise until ctx ends.
func (client *Client) ensureAddresses(ctx context.Context) {
	client.lock.Lock()
	now := time.Now()
	if now.Before(client.refreshAt) {
		client.lock.Unlock()
		return
	}
	if client.refreshing == nil {
		client.refreshing = make(chan struct{})
		go client.fetchAddresses(context.WithoutCancel(ctx), client.refreshing)
	}
	refreshing, isValid, hasAddresses := client.refreshing, now.Before(client.validUntil), len(client.entryAddresses) > 0
	client.lock.Unlock()
	if isValid {
		return
	}
	if hasAddresses {
		// Don't wait for long: the entries of an expired list either serve the
		// request or list others.
		waitCtx, cancel := context.WithTimeout(ctx, remainingTime(ctx)/4)
		defer cancel()
		ctx = waitCtx
	}
	select {
	case <-refreshing:
	case <-ctx.Done():
	}
}

// fetchAddresses requests addresses from one entry after another until one lists
// some or all have failed. It asks the next entry when a request fails, or after
// addressHedgeDelay. It closes done at the end.
func (client *Client) fetchAddresses(ctx context.Context, done chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() {
		client.lock.Lock()
		client.refreshing = nil
		client.lock.Unlock()
		close(done)
	}()
	entries := client.refreshCandidates()
	replies := make(chan addressesReply, len(entries))
	startedCount, pendingCount := 0, 0
	for startedCount < len(entries) || pendingCount > 0 {
		// After the last entry, the requests in flight end by their own timeout.
		wait := addressTimeout
		if startedCount < len(entries) {
			entry := entries[startedCount]
			go func() { replies <- entry.requestAddresses(ctx) }()
			startedCount, pendingCount, wait = startedCount+1, pendingCount+1, addressHedgeDelay
		}
		select {
		case reply := <-replies:
			pendingCount--
			if reply.addresses != nil {
				client.storeAddresses(&reply)
				return
			}
		case <-time.After(wait):
		}
	}
}

// refreshCandidates returns all known entries and seeds in the order in which
// to request addresses from them, avoided ones last.
func (client *Client) refreshCandidates() []*entryState {
	client.lock.Lock()
	defer client.lock.Unlock()
	var entries []*entryState
	for _, address := range append(shuffled(client.entryAddresses), shuffled(client.seeds)...) {
		entries = append(entries, client.entry(address))
	}
	slices.SortStableFunc(entries, func(a, b *entryState) int { return compareBools(a.isAvoided(), b.isAvoided()) })
	return slices.Compact(entries)
}

func (entryState *entryState) requestAddresses(ctx context.Context) addressesReply {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	requestedAt := time.Now()
	addresses, err := entryState.Addresses(ctx)
	if err != nil || len(addresses.Entries) == 0 {
		return addressesReply{}
	}
	return addressesReply{addresses: addresses, requestedAt: requestedAt}
}

// storeAddresses replaces the addresses and drops the state of idle entries
// that are no longer listed. The age of the addresses counts from before the
// request, so that they never outlive the maximum age that the entry set.
func (client *Client) storeAddresses(reply *addressesReply) {
	client.lock.Lock()
	defer client.lock.Unlock()
	client.entryAddresses = reply.addresses.Entries
	client.refreshAt = reply.requestedAt.Add(reply.addresses.MaxAge.Std() / 2)
	client.validUntil = reply.requestedAt.Add(reply.addresses.MaxAge.Std())
	for address, entry := range client.entries {
		if entry.inFlight == 0 && !slices.Contains(client.entryAddresses, address) {
			entry.Close()
			delete(client.entries, address)
		}
	}
}

// remainingTime returns the time until the context's deadline, or
// MaximumTimeout if there is none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return MaximumTimeout
	}
	return time.Until(deadline)
}

func shuffled(addresses []string) []string {
	shuffled := slices.Clone(addresses)
	rand.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
	return shuffled
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
