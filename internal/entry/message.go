// This file exists so that a coordinator sends one message to each home and
// gets a report for each attempt as soon as there is one.

package entry

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	targetapi "gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// MethodRun runs a batch of attempts at the targets of one home.
	MethodRun = "entry.run"
	// MethodStrike spreads the loss of a target to another entry.
	MethodStrike = "entry.strike"

	reportAnswered reportKind = "answered"
	reportNotRun   reportKind = "not_run"
	reportLost     reportKind = "lost"
)

type (
	reportKind string

	// Batch is the part of a request that one home runs. The fields that all
	// its attempts share are sent once.
	Batch struct {
		RequestID   string        `msgpack:"q"`
		Kind        string        `msgpack:"k"`
		Payload     []byte        `msgpack:"p"`
		Fingerprint uint64        `msgpack:"f"`
		Timeout     time.Duration `msgpack:"d"`
		Layout      string        `msgpack:"l"`
		Attempts    []BatchItem   `msgpack:"a"`
	}

	// BatchItem is one attempt of a Batch.
	BatchItem struct {
		AttemptID    string `msgpack:"a"`
		TargetID     string `msgpack:"t"`
		Shard        int    `msgpack:"s"`
		IndexVersion uint64 `msgpack:"v"`
		Hedge        bool   `msgpack:"h"`
	}

	// Report says what became of one attempt.
	Report struct {
		AttemptID  string               `msgpack:"a"`
		Kind       reportKind           `msgpack:"k"`
		Result     *targetapi.Result    `msgpack:"r,omitempty"`
		Reason     caller.MissingReason `msgpack:"w,omitempty"`
		RetryAfter time.Duration        `msgpack:"t,omitempty"`
	}

	// Strike tells that a target was lost under a request.
	Strike struct {
		Fingerprint uint64 `msgpack:"f"`
		TargetID    string `msgpack:"t"`
	}

	// Empty is a message without content.
	Empty struct{}
)

// attempt returns the attempt that one item of the batch stands for.
func (batch *Batch) attempt(item *BatchItem, deadline time.Time) *target.Attempt {
	return &target.Attempt{
		TargetID:    item.TargetID,
		Fingerprint: batch.Fingerprint,
		Hedge:       item.Hedge,
		Run: targetapi.Run{
			RequestID:    batch.RequestID,
			AttemptID:    item.AttemptID,
			Kind:         batch.Kind,
			Payload:      batch.Payload,
			Deadline:     deadline,
			IndexVersion: item.IndexVersion,
			Layout:       batch.Layout,
			Shard:        item.Shard,
		},
	}
}

// newReport puts an outcome on the wire.
func newReport(attemptID string, outcome target.Outcome) *Report {
	report := &Report{AttemptID: attemptID}
	switch outcome := outcome.(type) {
	case target.Answered:
		report.Kind = reportAnswered
		report.Result = &outcome.Result
	case target.NotRun:
		report.Kind = reportNotRun
		report.Reason = outcome.Reason
		report.RetryAfter = outcome.RetryAfter
	case target.Lost:
		report.Kind = reportLost
		report.Reason = outcome.Reason
	}
	return report
}

// outcome takes an outcome off the wire. A report that makes no sense counts
// as lost, which claims the least.
func (report *Report) outcome() target.Outcome {
	switch report.Kind {
	case reportAnswered:
		if report.Result != nil {
			return target.Answered{Result: *report.Result}
		}
	case reportNotRun:
		return target.NotRun{Reason: report.Reason, RetryAfter: report.RetryAfter}
	case reportLost:
		return target.Lost{Reason: report.Reason}
	}
	return target.Lost{Reason: caller.MissingLost}
}
