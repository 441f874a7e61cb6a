// This file exists so that each request ID gets at most one run right at a
// time, in a memory that the expiry of IDs bounds.

package control

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// ledgerData holds the run rights of all IDs that have not expired.
	ledgerData struct {
		// Second is the newest Unix second that any leader has put in a
		// command. An ID counts as expired by this clock, which no change of
		// leader sets back, so that an ID that was dropped is never granted
		// again by a leader whose own clock is behind.
		Second int64                         `msgpack:"s"`
		Rights map[caller.RequestID]runRight `msgpack:"r"`
		// expiring lists the IDs by the second in which they expire; it is
		// made anew after a restore.
		expiring map[int64][]caller.RequestID
	}

	runRight struct {
		Nonce   uint64            `msgpack:"n"`
		Outcome caller.RunOutcome `msgpack:"o"`
	}
)

// grant grants a run right, or tells what became of the earlier one.
func (ledgerData *ledgerData) grant(command *grantRun) *Grant {
	ledgerData.advance(command.Now)
	request := &command.Request
	expiry, err := request.RequestID.Expiry()
	if err != nil || len(request.RequestID) > caller.MaximumRequestIDBytes || expiry.Unix() <= ledgerData.Second {
		return &Grant{Expired: true, Outcome: caller.NotRun}
	}
	right, known := ledgerData.Rights[request.RequestID]
	same := known && right.Nonce == request.Nonce
	switch {
	case same && right.Outcome == caller.MayHaveRun:
		return &Grant{Granted: true, Outcome: caller.NotRun}
	case same || known && right.Outcome != caller.NotRun:
		return &Grant{Outcome: right.Outcome}
	}
	if !known {
		ledgerData.expire(request.RequestID, expiry.Unix())
	}
	ledgerData.Rights[request.RequestID] = runRight{Nonce: request.Nonce, Outcome: caller.MayHaveRun}
	return &Grant{Granted: true, Outcome: caller.NotRun}
}

// record keeps the first outcome that the holder of a run right reports.
func (ledgerData *ledgerData) record(request *RecordRequest) {
	right, known := ledgerData.Rights[request.RequestID]
	if known && right.Nonce == request.Nonce && right.Outcome == caller.MayHaveRun {
		right.Outcome = outcomes[codeOf(request.Outcome)]
		ledgerData.Rights[request.RequestID] = right
	}
}

// advance drops the IDs that have expired.
func (ledgerData *ledgerData) advance(now time.Time) {
	from := ledgerData.Second
	if now.Unix() <= from {
		return
	}
	ledgerData.Second = now.Unix()
	if ledgerData.Second-from > int64(len(ledgerData.expiring)) {
		for second := range ledgerData.expiring {
			if second <= ledgerData.Second {
				ledgerData.drop(second)
			}
		}
		return
	}
	for second := from + 1; second <= ledgerData.Second; second++ {
		ledgerData.drop(second)
	}
}

func (ledgerData *ledgerData) drop(second int64) {
	for _, requestID := range ledgerData.expiring[second] {
		delete(ledgerData.Rights, requestID)
	}
	delete(ledgerData.expiring, second)
}

func (ledgerData *ledgerData) expire(requestID caller.RequestID, second int64) {
	if ledgerData.Rights == nil {
		ledgerData.Rights = map[caller.RequestID]runRight{}
	}
	if ledgerData.expiring == nil {
		ledgerData.expiring = map[int64][]caller.RequestID{}
	}
	ledgerData.expiring[second] = append(ledgerData.expiring[second], requestID)
}

// index makes the list of expiring IDs anew.
func (ledgerData *ledgerData) index() {
	ledgerData.expiring = nil
	for requestID := range ledgerData.Rights {
		if expiry, err := requestID.Expiry(); err == nil {
			ledgerData.expire(requestID, expiry.Unix())
		}
	}
}
