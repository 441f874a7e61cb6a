// Forwarding of requests that a single target answers.

package httpcaller

import (
	"math/rand/v2"
	"net/http"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// forwardOne forwards the request to one target of the route's pool, or of a pool drawn
// from the route's split.
func (call *call) forwardOne(writer http.ResponseWriter) {
	pool := call.route.Pool
	if split := call.route.HTTP.Split; len(split) > 0 {
		pool = policy.SelectPool(split, rand.Float64())
	}
	call.server.budgets.Count(pool, call.server.uptime())
	dispatch := call.newDispatch(pool, call.route.HTTP.TargetLatency.Std())
	if reason := dispatch.refusalReason(); reason != 0 {
		call.refuseUntil(writer, reason, dispatch.availableAt)
		return
	}
	result := dispatch.execute(call.ctx)
	switch {
	case result.response != nil:
		call.relay(writer, &result)
	case call.ctx.Err() != nil:
		call.abort()
	case result.mayHaveRun && !call.request.Withdraw():
		call.reportLost(writer, &result)
	default:
		reason, availableAt := dispatch.refusalAfter(result.reason)
		call.refuseUntil(writer, reason, availableAt)
	}
}
