// Requests that one target answers.

package httpcaller

import (
	"math/rand/v2"
	"net/http"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// forwardOne forwards the request to one target of the route's pool.
func (call *call) forwardOne(writer http.ResponseWriter) {
	pool := call.route.Pool
	if split := call.route.HTTP.Split; len(split) > 0 {
		pool = policy.Share(split, rand.Float64())
	}
	call.server.budgets.Count(pool, call.server.elapsed())
	ask := call.newAsk(pool, call.route.HTTP.TargetLatency.Std())
	if reason := ask.hopeless(); reason != 0 {
		call.refuse(writer, reason)
		return
	}
	result := ask.answer(call.ctx)
	switch {
	case result.answered != nil:
		call.pass(writer, &result)
	case call.ctx.Err() != nil:
		call.leave()
	case result.ran:
		call.lost(writer, &result)
	default:
		call.refuse(writer, result.reason)
	}
}
