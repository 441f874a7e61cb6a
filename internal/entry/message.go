// Messages between coordinators and homes. A coordinator sends one batch to
// each home and receives a report for each attempt as soon as its outcome is
// known.

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
	// MethodCancel cancels attempts of a batch.
	MethodCancel = "entry.cancel"
	// MethodVerdict sends crash verdicts on requests to another entry.
	MethodVerdict = "entry.strike"

	reportAnswered reportKind = "answered"
	reportNotRun   reportKind = "not_run"
	reportLost     reportKind = "lost"
)

type (
	reportKind string

	// Batch holds the attempts of one request at the targets of one home. The
	// fields that all its attempts share are sent once.
	Batch struct {
		RequestID   string        `msgpack:"q"`
		Kind        string        `msgpack:"k"`
		Payload     []byte        `msgpack:"p"`
		Fingerprint uint64        `msgpack:"f"`
		Timeout     time.Duration `msgpack:"d"`
		Layout      string        `msgpack:"l"`
		// SuspectAfter is the time without a byte from a target after which the
		// connection to it is considered suspect.
		SuspectAfter time.Duration `msgpack:"s"`
		Attempts     []BatchItem   `msgpack:"a"`
	}

	// BatchItem is one attempt of a Batch.
	BatchItem struct {
		AttemptID    string               `msgpack:"a"`
		TargetID     string               `msgpack:"t"`
		Shard        int                  `msgpack:"s"`
		IndexVersion uint64               `msgpack:"v"`
		Reason       target.AttemptReason `msgpack:"h"`
		// ActiveWithin requires a connection on which the target has answered
		// within this duration.
		ActiveWithin time.Duration `msgpack:"p,omitempty"`
		// MayRepeat is true if the allowed runs permit another attempt at the shard
		// after this one.
		MayRepeat bool `msgpack:"c,omitempty"`
		// IsLastReplica is true if no other replica of the shard is left to try.
		IsLastReplica bool `msgpack:"l,omitempty"`
	}

	// Cancellation cancels attempts whose results are no longer needed.
	Cancellation struct {
		AttemptIDs []string `msgpack:"a"`
	}

	// Report is the outcome of one attempt.
	Report struct {
		AttemptID  string               `msgpack:"a"`
		Kind       reportKind           `msgpack:"k"`
		Result     *targetapi.Result    `msgpack:"r,omitempty"`
		Reason     caller.MissingReason `msgpack:"w,omitempty"`
		RetryAfter time.Duration        `msgpack:"t,omitempty"`
		// Moving is true if the target is moving between homes.
		Moving bool `msgpack:"m,omitempty"`
		// Broken is true if the connection to the target broke during the run.
		Broken bool `msgpack:"b,omitempty"`
		// Elapsed is the time that the attempt spent at its home.
		Elapsed time.Duration `msgpack:"e"`
		Load    target.Load   `msgpack:"o"`

		// unreachable is true if the home sent no report.
		unreachable bool
	}

	// Empty is a message without content.
	Empty struct{}
)

// attempt converts an item of the batch into an attempt at its target.
func (batch *Batch) attempt(item *BatchItem, deadline time.Time) *target.Attempt {
	return &target.Attempt{
		TargetID:    item.TargetID,
		Fingerprint: batch.Fingerprint,
		Reason:      item.Reason,

		SuspectAfter:  batch.SuspectAfter,
		ActiveWithin:  item.ActiveWithin,
		MayRepeat:     item.MayRepeat,
		IsLastReplica: item.IsLastReplica,
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

// newReport encodes an outcome as a report.
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
		report.Moving = outcome.Moving
	case target.Lost:
		report.Kind = reportLost
		report.Reason = outcome.Reason
		report.Broken = outcome.Broken
	}
	return report
}

// targetUnusable reports whether the home found that the target can't be used at
// present.
func (report *Report) targetUnusable() bool {
	return report.Kind == reportNotRun && report.Reason == caller.MissingNoReplica && !report.Moving
}

// outcome decodes the outcome of a report. An invalid report counts as lost,
// because that leaves open whether the attempt ran.
func (report *Report) outcome() target.Outcome {
	switch report.Kind {
	case reportAnswered:
		if report.Result != nil {
			return target.Answered{Result: *report.Result}
		}
	case reportNotRun:
		return target.NotRun{Reason: report.Reason, RetryAfter: report.RetryAfter, Moving: report.Moving}
	case reportLost:
		return target.Lost{Reason: report.Reason, Broken: report.Broken}
	}
	return target.Lost{Reason: caller.MissingLost}
}
