// Logging of requests.

package httpcaller

import (
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// maximumQuotedBytes is the maximum number of bytes of a caller's input that a line
	// quotes.
	maximumQuotedBytes = 64
)

type (
	// requestLog writes one line for each decision about a request that failed or got a
	// partial response. Complete responses are logged at the debug level.
	requestLog struct {
		logger *zap.Logger
	}
)

func newRequestLog(logger *zap.Logger, metrics *metrics.Metrics) *requestLog {
	return &requestLog{logger: metrics.Sample(logger)}
}

// causeField returns a log field with the text of err, or no field if err is nil.
func causeField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}

func (requestLog *requestLog) fields(call *call, extra ...zap.Field) []zap.Field {
	_, version := call.server.board.InForce().Tables()
	if call.tenant != nil {
		extra = append(extra, zap.String("tenant", call.tenant.Name))
	}
	if call.wait != nil {
		extra = append(extra, call.wait.fields()...)
	}
	return append(extra, zap.String("request", call.request.ID), zap.String("route", call.routeKind()), zap.Duration("elapsed", time.Since(call.startedAt)),
		zap.Duration("limit", call.timeout), zap.Int64("attempts", call.attempts.Load()), zap.Uint64("tables", version))
}

func (requestLog *requestLog) attemptFailed(call *call, target *httptarget.Target, outcome string, attempt int, fields ...zap.Field) {
	requestLog.logger.Info("attempt failed", requestLog.fields(call, append(fields, zap.String("target", target.ID()), zap.String("outcome", outcome), zap.Int("attempt", attempt))...)...)
}

func (requestLog *requestLog) requestRefused(call *call, reason policy.Reason, retryAfter time.Duration) {
	requestLog.logger.Info("request refused", requestLog.fields(call, zap.Stringer("reason", reason), zap.Duration("retry_after", retryAfter), zap.Int("in_flight", call.server.InFlight()))...)
}

func (requestLog *requestLog) requestLost(call *call, result *dispatchResult, status int, fields ...zap.Field) {
	requestLog.logger.Info("request lost", requestLog.fields(call, append(fields, zap.Int("status", status), zap.Bool("ran", result.mayHaveRun), causeField(result.cause))...)...)
}

func (requestLog *requestLog) requestInvalid(call *call, status int, message string) {
	requestLog.logger.Info("invalid request", requestLog.fields(call, zap.Int("status", status), zap.String("message", message))...)
}

// deadlineInvalid logs a deadline header that is not a valid number. The route's own
// timeout then applies.
func (requestLog *requestLog) deadlineInvalid(call *call, text string) {
	requestLog.logger.Info("invalid deadline header", requestLog.fields(call, zap.String("deadline", text[:min(len(text), maximumQuotedBytes)]))...)
}

func (requestLog *requestLog) callerLeft(call *call) {
	requestLog.logger.Info("caller left", requestLog.fields(call)...)
}

func (requestLog *requestLog) writeFailed(call *call, err error) {
	requestLog.logger.Info("failed to write response", requestLog.fields(call, causeField(err))...)
}

func (requestLog *requestLog) taskPanicked(recovered any, stack []byte) {
	requestLog.logger.Error("task of a request panicked", zap.Any("panic", recovered), zap.ByteString("stack", stack))
}

func (requestLog *requestLog) requestAnswered(call *call, result *dispatchResult) {
	if entry := requestLog.logger.Check(zap.DebugLevel, "request answered"); entry != nil {
		entry.Write(requestLog.fields(call, zap.Int("status", result.response.Status), zap.String("target", result.target.ID()))...)
	}
}

func (requestLog *requestLog) queryAnswered(call *call, query *query) {
	level := zap.DebugLevel
	if len(query.parts) < len(query.shards) || time.Since(call.startedAt) > call.route.HTTP.TargetLatency.Std() {
		level = zap.InfoLevel
	}
	if entry := requestLog.logger.Check(level, "query answered"); entry != nil {
		entry.Write(requestLog.fields(call, query.fields()...)...)
	}
}

// fields describes the progress of a query: the attempts of each shard without a part,
// and the counts of parts, failed shards, hedges and retries.
func (query *query) fields() []zap.Field {
	missing := make([]string, 0, len(query.unanswered))
	for _, dispatch := range query.unanswered {
		missing = append(missing, dispatch.String())
	}
	return []zap.Field{
		zap.Strings("missing", missing), zap.Strings("omitted", query.omitted), zap.Int("shards", len(query.shards)), zap.Int("parts", len(query.parts)), zap.Int("failed", query.failedShards),
		zap.Int("hedges", query.hedges), zap.Int("retries", query.retries),
	}
}
