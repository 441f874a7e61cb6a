// This file exists so that what callers and operators saw is kept beside what
// targets bore, and promises are checked against these records alone.

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
	// Journal is the record of callers and operators. The zero value is
	// empty.
	Journal struct {
		lock     sync.Mutex
		sendings []Sending
		outs     []Out
		changes  []ChangeRecord
		stops    []Stop
	}

	// Sending is one request that a caller sent to one entry, and what came
	// back.
	Sending struct {
		Request  caller.Request
		Entry    string
		Sent     time.Time
		Received time.Time
		Answer   *caller.Answer
		// Err is a *caller.Refusal where the entry refused.
		Err error
	}

	// Out is the time for which operators took a failure domain out, from
	// the acceptance of the one change to the sending of the other.
	Out struct {
		FailureDomain string
		From, Until   time.Time
	}

	// ChangeRecord is an accepted change of the tables. It moves the kind
	// ProbeKind to a pool.
	ChangeRecord struct {
		ID       string
		Base     uint64
		Version  uint64
		Sent     time.Time
		Accepted time.Time
		Pool     string
	}

	// Stop is the planned stop of an entry.
	Stop struct {
		Entry       string
		From, Until time.Time
	}
)

// Send sends a request by the client and records what came of it.
func (journal *Journal) Send(ctx context.Context, client *caller.EntryClient, entry string, request *caller.Request) *Sending {
	sending := Sending{Request: *request, Entry: entry, Sent: time.Now()}
	sending.Answer, sending.Err = client.Send(ctx, request)
	sending.Received = time.Now()
	journal.Record(sending)
	return &sending
}

// Record records a sending.
func (journal *Journal) Record(sending Sending) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.sendings = append(journal.sendings, sending)
}

// Sendings returns the sendings in the order in which they ended.
func (journal *Journal) Sendings() []Sending {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	return slices.Clone(journal.sendings)
}

// TakeOut records that a failure domain was taken out.
func (journal *Journal) TakeOut(out Out) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.outs = append(journal.outs, out)
}

// Change records an accepted change of the tables.
func (journal *Journal) Change(change ChangeRecord) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.changes = append(journal.changes, change)
}

// Stop records the planned stop of an entry.
func (journal *Journal) Stop(stop Stop) {
	journal.lock.Lock()
	defer journal.lock.Unlock()
	journal.stops = append(journal.stops, stop)
}

// Refusal returns the refusal, or nil where there was none.
func (sending *Sending) Refusal() *caller.Refusal {
	var refusal *caller.Refusal
	if errors.As(sending.Err, &refusal) {
		return refusal
	}
	return nil
}

// Once reports whether each shard may run the request at most once.
func (sending *Sending) Once() bool {
	return !sending.Request.Idempotent
}
