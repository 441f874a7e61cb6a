// Requests under which targets crash are kept from the other targets, by all
// entries.

package httpcaller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

// harmful reports whether targets crashed under requests with this content.
func (call *call) harmful() bool {
	return call.server.board.Verdicts().Quarantined(call.content) > 0
}

// cleared notes that a target has answered the request: one that crashes targets
// crashes each that runs it. Contents that many callers send are known to be
// harmless by that for the next minute, also where targets crash under them.
func (call *call) cleared() {
	if !call.answered.Swap(true) {
		call.server.board.Verdicts().Answered(call.content)
	}
}

// suspect holds a lost answer against the request where the target has crashed.
func (call *call) suspect(target *httptarget.Target, lost *httptarget.Lost) {
	if !lost.Sent || tcp.IsTimeout(lost.Cause) || call.ctx.Err() != nil {
		return
	}
	ctx := context.WithoutCancel(call.ctx)
	call.server.workers.run(func() {
		// Another target of a query has answered by then, or a second one.
		if !call.server.sender.Crashed(ctx, target) || call.answered.Load() {
			return
		}
		call.server.board.Verdicts().Strike(call.content, target.ID())
		call.server.journal.struck(call, target, call.server.board.Verdicts().Quarantined(call.content))
	})
}

// struck tells that a target crashed under a request, and for how long requests
// of this content are kept from targets.
func (journal *journal) struck(call *call, target *httptarget.Target, kept time.Duration) {
	journal.logger.Warn("target crashed under a request", journal.fields(call, zap.String("target", target.ID()), zap.Uint64("content", uint64(call.content)), zap.Duration("kept_for", kept))...)
}
