// Responses to callers.

package httpcaller

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// The reasons for requests that are rejected: reasonInvalid, reasonUnauthorized, and reasonTooSlow for those whose body did not
	// arrive in time.
	reasonInvalid      = "bad_request"
	reasonUnauthorized = "unauthorized"
	reasonTooSlow      = "too_slow"
)

type (
	// refusal is the body of an error response that does not come from a target.
	refusal struct {
		Reason     string `json:"reason"`
		Message    string `json:"message"`
		RequestID  string `json:"request_id,omitempty"`
		NotRun     bool   `json:"not_run"`
		RetryAfter string `json:"retry_after,omitempty"`
	}
)

// relay returns a target's response unchanged. A status that implies that the request
// has not run is reported as lost instead, because the target has not confirmed it.
func (call *call) relay(writer http.ResponseWriter, result *dispatchResult) {
	response := result.response
	if statusMeansNotRun(response.Status) {
		call.reportLost(writer, result)
		return
	}
	header := writer.Header()
	for name, values := range endToEnd(response.Header) {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	call.writeResponse(writer, response.Status, response.Body)
	call.server.requestMetrics.observeRequest(call, outcomeAnswered, noReason)
	call.server.requestLog.requestAnswered(call, result)
}

// statusMeansNotRun reports whether a status implies that the request has not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse responds that the request has not run, and after what delay to retry it.
func (call *call) refuse(writer http.ResponseWriter, reason policy.Reason) {
	call.refuseFor(writer, reason, call.retryDelay(reason))
}

// refuseUntil is like refuse, but for targets that pause it names a delay until a time.
func (call *call) refuseUntil(writer http.ResponseWriter, reason policy.Reason, availableAt time.Time) {
	if reason != policy.Paused {
		call.refuse(writer, reason)
		return
	}
	call.refuseFor(writer, reason, policy.RetryAfterPause(time.Until(availableAt), rand.Float64()))
}

func (call *call) refuseFor(writer http.ResponseWriter, reason policy.Reason, retryAfter time.Duration) {
	writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	call.writeRefusal(writer, http.StatusServiceUnavailable, refusal{
		Reason: reason.String(), Message: "the request has not run; send it again after retry_after", NotRun: true, RetryAfter: retryAfter.Round(time.Millisecond).String(),
	})
	call.server.metrics.Refusals().WithLabelValues(reason.String()).Inc()
	call.server.requestMetrics.observeRequest(call, outcomeRefused, reason.String())
	call.server.requestLog.requestRefused(call, reason, retryAfter)
}

// reportLost responds that the request may have run but has no complete response.
func (call *call) reportLost(writer http.ResponseWriter, result *dispatchResult, fields ...zap.Field) {
	status := http.StatusBadGateway
	if call.remaining() <= 0 || time.Since(call.startedAt) >= policy.FinalDeadline(call.timeout) {
		status = http.StatusGatewayTimeout
	}
	call.writeRefusal(writer, status, refusal{Reason: "lost", Message: "the request may have run, and no whole answer came; send it again if it may run twice"})
	call.server.metrics.Refusals().WithLabelValues("lost").Inc()
	call.server.requestMetrics.observeRequest(call, outcomeLost, strconv.Itoa(status))
	call.server.requestLog.requestLost(call, result, status, fields...)
}

// rejectInvalid responds that the request itself is invalid.
func (call *call) rejectInvalid(writer http.ResponseWriter, status int, message string) {
	call.reject(writer, status, reasonInvalid, message)
}

// reject responds that the request has not run, and that sending it again as it is makes no sense.
func (call *call) reject(writer http.ResponseWriter, status int, reason, message string) {
	call.writeRefusal(writer, status, refusal{Reason: reason, Message: message, NotRun: true})
	call.server.metrics.Refusals().WithLabelValues(reason).Inc()
	call.server.requestMetrics.observeRequest(call, outcomeInvalid, strconv.Itoa(status))
	call.server.requestLog.requestInvalid(call, status, message)
}

// rejectByTables rejects a request that the tables in force don't allow. If newer ones may allow it, the request is refused for
// now.
func (call *call) rejectByTables(writer http.ResponseWriter, status int, reason, message string) {
	if refusal := call.server.tablesAge().RejectionRefusal(); refusal != 0 {
		call.refuse(writer, refusal)
		return
	}
	if status == http.StatusUnauthorized {
		writer.Header().Set("WWW-Authenticate", bearerScheme)
	}
	call.reject(writer, status, reason, message)
}

// abort ends a request whose caller has disconnected. It panics with
// http.ErrAbortHandler, on which net/http closes the connection without a response.
func (call *call) abort() {
	call.server.metrics.Refusals().WithLabelValues("cancelled").Inc()
	call.server.requestMetrics.observeRequest(call, outcomeCancelled, noReason)
	call.server.requestLog.callerLeft(call)
	panic(http.ErrAbortHandler)
}

func (call *call) writeRefusal(writer http.ResponseWriter, status int, refusal refusal) {
	if refusal.NotRun {
		call.creditBack()
	}
	refusal.RequestID = call.request.ID
	body, err := json.Marshal(refusal)
	if err != nil {
		body = nil // a struct of strings and booleans always encodes
	}
	writer.Header().Set("Content-Type", "application/json")
	if call.request.ID != "" {
		writer.Header().Set(call.server.options.Headers.RequestID, call.request.ID)
	}
	call.writeResponse(writer, status, body)
}

func (call *call) writeResponse(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	call.status = status
	// A caller that doesn't read keeps no place from others, and not the answer for as long as it likes.
	if call.connection.BeginAnswer(int64(len(body))) {
		call.leavePlace()
	}
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only for a connection that is closed, or in tests
	writer.WriteHeader(status)
	if _, err := writer.Write(body); err != nil {
		call.server.requestLog.writeFailed(call, err)
	}
	call.server.metrics.Latency().WithLabelValues(call.routeKind()).Observe(time.Since(call.startedAt).Seconds())
}
