// The record of what callers and operators observed. Promises are checked only against it
// and the records of targets.

package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// Journal records what callers and operators observed. The zero value is
	// empty.
	Journal struct {
		lock          sync.Mutex
		sentRequests  []SentRequest
		domainOutages []DomainOutage
		changes       []ChangeRecord
		stops         []Stop
	}

	// SentRequest is one request that a caller sent to one entry, with its outcome.
	SentRequest struct {
		Request caller.Request
		// Entry is the IP:port of the entry.
		Entry string
		Sent  time.Time
		// Received is when the caller got the outcome.
		Received time.Time
		// Answer is nil if the caller got none.
		Answer *caller.Answer
		// Err is a *caller.Refusal if the entry refused the request.
		Err error
	}

	// DomainOutage is a period in which a failure domain was out: from the acceptance of
	// the change that took it out until the change that put it back in was sent.
	DomainOutage struct {
		FailureDomain string
		From, Until   time.Time
	}

	// ChangeRecord is an accepted change of the tables, which moves the route of
	// ProbeKind to Pool.
	ChangeRecord struct {
		ID string
		// Base is the version of the tables that the change replaced, and Version the one
		// that it created.
		Base     uint64
		Version  uint64
		Sent     time.Time
		Accepted time.Time
		Pool     string
	}

	// Stop is a planned stop of an entry.
	Stop struct {
		Entry       string
		From, Until time.Time
	}
)

// Send sends a request through the client, records it with its outcome, and returns that record.
func (journal *Journal) Send(ctx context.Context, client *caller.EntryClient, entry string, request *caller.Request) *SentRequest {
	sent := SentRequest{Request: *request, Entry: entry, Sent: time.Now()}
	sent.Answer, sent.Err = client.Send(ctx, request)
	sent.Received = time.Now()
	journal.Record(sent)
	return &sent
}

// Record records a sent request.
func (journal *Journal) Record(sent SentRequest) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.sentRequests = append(journal.sentRequests, sent)
}

// SentRequests returns the sent requests in the order in which they were recorded.
func (journal *Journal) SentRequests() []SentRequest {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	return slices.Clone(journal.sentRequests)
}

// RecordDomainOutage records that a failure domain was taken out.
func (journal *Journal) RecordDomainOutage(outage DomainOutage) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.domainOutages = append(journal.domainOutages, outage)
}

// RecordChange records an accepted change of the tables.
func (journal *Journal) RecordChange(change ChangeRecord) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.changes = append(journal.changes, change)
}

// RecordStop records a planned stop of an entry.
func (journal *Journal) RecordStop(stop Stop) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.stops = append(journal.stops, stop)
}

// Refusal returns the entry's refusal, or nil if the entry did not refuse the request.
func (sentRequest *SentRequest) Refusal() *caller.Refusal {
	var refusal *caller.Refusal
	if errors.As(sentRequest.Err, &refusal) {
		return refusal
	}
	return nil
}

// AtMostOnce reports whether each shard may run the request at most once.
func (sentRequest *SentRequest) AtMostOnce() bool {
	return !sentRequest.Request.Idempotent
}
