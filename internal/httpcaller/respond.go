// What callers are told at the end of a request.

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

type (
	// refusal is the body of a failure of the system's own.
	refusal struct {
		Reason     string `json:"reason"`
		Message    string `json:"message"`
		RequestID  string `json:"request_id,omitempty"`
		NotRun     bool   `json:"not_run"`
		RetryAfter string `json:"retry_after,omitempty"`
	}
)

// pass returns a target's answer as it is. A failure that promises that nothing
// ran, from a target that didn't say so, would promise too much.
func (call *call) pass(writer http.ResponseWriter, result *answer) {
	answered := result.answered
	if promises(answered.Status) {
		call.lost(writer, result)
		return
	}
	header := writer.Header()
	for name, values := range endToEnd(answered.Header) {
		if name != "Content-Length" {
			header[name] = values
		}
	}
	call.write(writer, answered.Status, answered.Body)
	call.server.measures.request(call, outcomeAnswered, noReason)
	call.server.journal.passed(call, result)
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse tells the caller at once that the request has not run, and when to come
// back.
func (call *call) refuse(writer http.ResponseWriter, reason policy.Reason) {
	after := policy.ReturnAfter(reason, rand.Float64())
	writer.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	call.end(writer, http.StatusServiceUnavailable, refusal{
		Reason: reason.String(), Message: "the request has not run; send it again after retry_after", NotRun: true, RetryAfter: after.Round(time.Millisecond).String(),
	})
	call.server.metrics.Refusals().WithLabelValues(reason.String()).Inc()
	call.server.measures.request(call, outcomeRefused, reason.String())
	call.server.journal.refused(call, reason, after)
}

// lost tells the caller that the request may have run and has no answer.
func (call *call) lost(writer http.ResponseWriter, result *answer, fields ...zap.Field) {
	status := http.StatusBadGateway
	if call.left() <= 0 || time.Since(call.begun) >= policy.FinalMoment(call.limit) {
		status = http.StatusGatewayTimeout
	}
	call.end(writer, status, refusal{Reason: "lost", Message: "the request may have run, and no whole answer came; send it again if it may run twice"})
	call.server.metrics.Refusals().WithLabelValues("lost").Inc()
	call.server.measures.request(call, outcomeLost, strconv.Itoa(status))
	call.server.journal.lost(call, result, status, fields...)
}

// fail refuses a request that is wrong in itself.
func (call *call) fail(writer http.ResponseWriter, status int, message string) {
	call.end(writer, status, refusal{Reason: "bad_request", Message: message, NotRun: true})
	call.server.metrics.Refusals().WithLabelValues("bad_request").Inc()
	call.server.measures.request(call, outcomeWrong, strconv.Itoa(status))
	call.server.journal.failed(call, status, message)
}

// leave ends a request whose caller is gone.
func (call *call) leave() {
	call.server.metrics.Refusals().WithLabelValues("cancelled").Inc()
	call.server.measures.request(call, outcomeCancelled, noReason)
	call.server.journal.left(call)
	panic(http.ErrAbortHandler)
}

func (call *call) end(writer http.ResponseWriter, status int, refusal refusal) {
	refusal.RequestID = call.request.ID
	body, err := json.Marshal(refusal)
	if err != nil {
		body = nil // a struct of texts always encodes
	}
	writer.Header().Set("Content-Type", "application/json")
	if call.request.ID != "" {
		writer.Header().Set(call.server.options.Headers.RequestID, call.request.ID)
	}
	call.write(writer, status, body)
}

func (call *call) write(writer http.ResponseWriter, status int, body []byte) {
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	if _, err := writer.Write(body); err != nil {
		call.server.journal.unwritten(call, err)
	}
	call.server.metrics.Latency().WithLabelValues(call.kind()).Observe(time.Since(call.begun).Seconds())
}
