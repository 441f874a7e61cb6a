// Attempts that nobody waits for any more. Each one is asked about right before something of it goes out.

package httptarget

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// Ways of attempts, as label values and in the log.
	wayDirect  = "direct"
	wayRelayed = "relayed"
	// wayOpen is that of an attempt whose way isn't chosen yet.
	wayOpen = "open"
)

// claim allows an attempt to write the request. It returns the outcome of one that must not: the request was withdrawn, or nobody
// waits for its answer any more.
func (sender *Sender) claim(ctx context.Context, target *Target, request *Request, way string) Outcome {
	if refused := sender.withhold(ctx, target, request, way); refused != nil {
		return refused
	}
	if !request.claimSend() {
		return &Refused{Reason: Unreachable, Cause: errWithdrawn}
	}
	return nil
}

// ContextError returns the error of a context that has ended or whose deadline has come, or nil. At a deadline, the timer of a
// context that was derived with the same one may fire first.
func ContextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// Withhold returns the outcome of an attempt that nobody waits for, before it takes a permit, or nil.
func (sender *Sender) Withhold(ctx context.Context, target *Target, request *Request) Outcome {
	return sender.withhold(ctx, target, request, wayOpen)
}

// withhold returns the outcome of an attempt that is given up before anything was sent, because ctx has ended or the time to
// begin has passed, or nil.
func (sender *Sender) withhold(ctx context.Context, target *Target, request *Request, way string) Outcome {
	cause := ContextError(ctx)
	if cause == nil && !request.startBy.IsZero() && time.Now().After(request.startBy) {
		cause = errLateStart
	}
	if cause == nil {
		return nil
	}
	if sender.metrics != nil {
		sender.metrics.UnwantedAttempts().WithLabelValues(way).Inc()
	}
	sender.sampled.Info("attempt withheld", zap.String("request", request.ID), zap.String("target", target.ID()), zap.String("way", way), zap.String("cause", cause.Error()))
	return &Refused{Reason: Withheld, Cause: cause}
}
