// Allotments of tenants: a request is counted before anything is sent, and credited back if it is refused as
// not run.

package httpcaller

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// reserve counts the request in its tenant's allotment, however many parts it is sent in. If the allotment is
// used up, it returns that the request is refused, and after what delay to retry it. A nil tenant has no limit.
func (call *call) reserve(tenant *operator.Tenant) (refused bool, retryAfter time.Duration) {
	if tenant == nil {
		return false, 0
	}
	granted, wait := call.server.permits.Reserve(call.ctx, tenant)
	if !granted {
		return true, policy.RetryAfterPause(wait, rand.Float64())
	}
	call.reservedFor = tenant.Name
	return false, 0
}

// creditBack returns the request to its tenant's allotment. It must be called only if the request hasn't run.
func (call *call) creditBack() {
	if call.reservedFor != "" {
		call.server.permits.Return(call.reservedFor)
		call.reservedFor = ""
	}
}

// refuseOverAllotment responds that the tenant's allotment is used up and that the request has not run.
func (call *call) refuseOverAllotment(writer http.ResponseWriter, retryAfter time.Duration) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	call.writeRefusal(writer, http.StatusTooManyRequests, refusal{
		Reason: policy.OverAllotment.String(), Message: "the tenant's allotment is used up and the request has not run; send it again after retry_after",
		NotRun: true, RetryAfter: retryAfter.Round(time.Millisecond).String(),
	})
	call.server.metrics.Refusals().WithLabelValues(policy.OverAllotment.String()).Inc()
	call.server.requestMetrics.observeRequest(call, outcomeRefused, policy.OverAllotment.String())
	call.server.requestLog.requestRefused(call, policy.OverAllotment, retryAfter)
}
