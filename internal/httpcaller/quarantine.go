// Quarantine of requests that crash targets. All entries keep such requests from
// the remaining targets.

package httpcaller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

// isQuarantined reports whether requests with this content are kept from targets because
// targets crashed while running them.
func (call *call) isQuarantined() bool {
	return call.server.board.Verdicts().RemainingQuarantine(call.fingerprint) > 0
}

// recordAnswer records that a target has answered the request, which shows that it is
// harmless, because a harmful request crashes every target that runs it. Content that
// many callers send is thereby protected from quarantine for the next minute, even if
// targets crash while they run it.
func (call *call) recordAnswer() {
	if !call.answered.Swap(true) {
		call.server.board.Verdicts().RecordAnswer(call.fingerprint)
	}
}

// checkCrash records a strike against the request's content if the target crashed
// after the request was sent to it. Strikes can lead to the quarantine of the content.
// None is recorded if the attempt timed out, if the call's context has ended, or if
// another target has answered the request.
func (call *call) checkCrash(target *httptarget.Target, lost *httptarget.Lost) {
	if !lost.Sent || tcp.IsTimeout(lost.Cause) || call.ctx.Err() != nil {
		return
	}
	ctx := context.WithoutCancel(call.ctx)
	call.server.workers.run(func() {
		// By now another target may have answered the request: one of another shard, or
		// that of a hedge or retry.
		if !call.server.sender.Crashed(ctx, target) || call.answered.Load() {
			return
		}
		call.server.board.Verdicts().RecordStrike(call.fingerprint, target.Start())
		call.server.requestLog.targetCrashed(call, target, call.server.board.Verdicts().RemainingQuarantine(call.fingerprint))
	})
}

// targetCrashed logs that a target crashed while running a request, and for how long
// requests with this content are quarantined.
func (requestLog *requestLog) targetCrashed(call *call, target *httptarget.Target, quarantine time.Duration) {
	requestLog.logger.Warn("target crashed under a request", requestLog.fields(call, zap.String("target", target.ID()), zap.Uint64("content", uint64(call.fingerprint)), zap.Duration("kept_for", quarantine))...)
}
