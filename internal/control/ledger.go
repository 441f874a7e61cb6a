// The ledger grants at most one run right (the right to run a request once) at a time for each
// request ID. Expired IDs are dropped, which bounds the memory that the ledger needs.

package control

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

type (
	// ledgerData holds the run rights of all request IDs that have not expired.
	ledgerData struct {
		// UnixTime is the newest time, in Unix seconds, that any leader has put in a command.
		// IDs expire by this clock. It never goes back when the leader changes, so a leader
		// whose own clock is behind can't grant an ID again after it was dropped.
		UnixTime  int64                         `msgpack:"s"`
		RunRights map[caller.RequestID]runRight `msgpack:"r"`
		// expiringAt holds the IDs by the Unix second in which they expire. It isn't part of a
		// snapshot and is rebuilt after a restore.
		expiringAt map[int64][]caller.RequestID
	}

	// runRight is the right to run a request once. Nonce identifies the holder: one sending of
	// the request by a caller.
	// The outcome is MayHaveRun until the holder reports another.
	runRight struct {
		Nonce   uint64            `msgpack:"n"`
		Outcome caller.RunOutcome `msgpack:"o"`
	}
)

// grant grants a run right, or returns the outcome of the earlier run or that the ID has expired.
// A resend with the same nonce gets the same reply until the outcome is recorded.
func (ledgerData *ledgerData) grant(command *grantRun) *Grant {
	ledgerData.advanceClock(command.Now)
	request := &command.Request
	expiry, err := request.RequestID.Expiry()
	if err != nil || len(request.RequestID) > caller.MaximumRequestIDBytes || expiry.Unix() <= ledgerData.UnixTime {
		return &Grant{Expired: true, Outcome: caller.NotRun}
	}
	right, known := ledgerData.RunRights[request.RequestID]
	sameSending := known && right.Nonce == request.Nonce
	switch {
	case sameSending && right.Outcome == caller.MayHaveRun:
		return &Grant{Granted: true, Outcome: caller.NotRun}
	case sameSending || known && right.Outcome != caller.NotRun:
		return &Grant{Outcome: right.Outcome}
	}
	if !known {
		ledgerData.scheduleExpiry(request.RequestID, expiry.Unix())
	}
	ledgerData.RunRights[request.RequestID] = runRight{Nonce: request.Nonce, Outcome: caller.MayHaveRun}
	return &Grant{Granted: true, Outcome: caller.NotRun}
}

// record stores the first outcome that the holder of a run right reports.
func (ledgerData *ledgerData) record(request *RecordRequest) {
	right, known := ledgerData.RunRights[request.RequestID]
	if known && right.Nonce == request.Nonce && right.Outcome == caller.MayHaveRun {
		right.Outcome = outcomesByCode[outcomeCode(request.Outcome)]
		ledgerData.RunRights[request.RequestID] = right
	}
}

// advanceClock moves the ledger's clock forward to now, if it is behind, and drops the IDs that
// have expired.
func (ledgerData *ledgerData) advanceClock(now time.Time) {
	from := ledgerData.UnixTime
	if now.Unix() <= from {
		return
	}
	ledgerData.UnixTime = now.Unix()
	// After a large jump, it is cheaper to visit the scheduled seconds than all seconds that have
	// passed.
	if ledgerData.UnixTime-from > int64(len(ledgerData.expiringAt)) {
		for second := range ledgerData.expiringAt {
			if second <= ledgerData.UnixTime {
				ledgerData.dropExpiring(second)
			}
		}
		return
	}
	for second := from + 1; second <= ledgerData.UnixTime; second++ {
		ledgerData.dropExpiring(second)
	}
}

func (ledgerData *ledgerData) dropExpiring(second int64) {
	for _, requestID := range ledgerData.expiringAt[second] {
		delete(ledgerData.RunRights, requestID)
	}
	delete(ledgerData.expiringAt, second)
}

func (ledgerData *ledgerData) scheduleExpiry(requestID caller.RequestID, second int64) {
	if ledgerData.RunRights == nil {
		ledgerData.RunRights = map[caller.RequestID]runRight{}
	}
	if ledgerData.expiringAt == nil {
		ledgerData.expiringAt = map[int64][]caller.RequestID{}
	}
	ledgerData.expiringAt[second] = append(ledgerData.expiringAt[second], requestID)
}

// rebuildExpirySchedule rebuilds expiringAt from the run rights.
func (ledgerData *ledgerData) rebuildExpirySchedule() {
	ledgerData.expiringAt = nil
	for requestID := range ledgerData.RunRights {
		if expiry, err := requestID.Expiry(); err == nil {
			ledgerData.scheduleExpiry(requestID, expiry.Unix())
		}
	}
}
