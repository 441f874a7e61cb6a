// The log lines about requests.

package httpcaller

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// linesPerSecond is how many lines of one kind an entry writes in a second;
	// of those beyond only each linesShare-th. What an entry believes is never
	// left out, as it isn't written here.
	linesPerSecond = 50
	linesShare     = 50
	// maximumQuoted bounds what a line quotes of a caller's bytes.
	maximumQuoted = 64
)

type (
	// journal writes one line for each decision on a request that failed or was
	// answered in part. Whole answers are written at the debug level.
	journal struct {
		logger *zap.Logger
	}
)

func newJournal(logger *zap.Logger, metrics *metrics.Metrics) *journal {
	sampled := zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, linesShare, zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				metrics.Unlogged().Inc()
			}
		}))
	})
	return &journal{logger: logger.WithOptions(sampled)}
}

// because names the cause in one line.
func because(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("cause", err.Error())
}

func (journal *journal) fields(call *call, more ...zap.Field) []zap.Field {
	_, version := call.server.board.InForce().Tables()
	return append(more, zap.String("request", call.request.ID), zap.String("route", call.kind()), zap.Duration("elapsed", time.Since(call.begun)),
		zap.Duration("limit", call.limit), zap.Int64("attempts", call.sent.Load()), zap.Uint64("tables", version))
}

func (journal *journal) attempt(call *call, target *httptarget.Target, outcome string, sent int, fields ...zap.Field) {
	journal.logger.Info("attempt failed", journal.fields(call, append(fields, zap.String("target", target.ID()), zap.String("outcome", outcome), zap.Int("attempt", sent))...)...)
}

func (journal *journal) refused(call *call, reason policy.Reason, after time.Duration) {
	journal.logger.Info("request refused", journal.fields(call, zap.Stringer("reason", reason), zap.Duration("retry_after", after), zap.Int("in_flight", call.server.InFlight()))...)
}

func (journal *journal) lost(call *call, result *answer, status int, fields ...zap.Field) {
	journal.logger.Info("request lost", journal.fields(call, append(fields, zap.Int("status", status), zap.Bool("ran", result.ran), because(result.cause))...)...)
}

func (journal *journal) failed(call *call, status int, message string) {
	journal.logger.Info("request wrong", journal.fields(call, zap.Int("status", status), zap.String("message", message))...)
}

// unread tells of a deadline that is no number. The route's own limit holds.
func (journal *journal) unread(call *call, text string) {
	journal.logger.Info("deadline not understood", journal.fields(call, zap.String("deadline", text[:min(len(text), maximumQuoted)]))...)
}

func (journal *journal) left(call *call) {
	journal.logger.Info("caller left", journal.fields(call)...)
}

func (journal *journal) unwritten(call *call, err error) {
	journal.logger.Info("answer not written", journal.fields(call, because(err))...)
}

func (journal *journal) passed(call *call, result *answer) {
	if entry := journal.logger.Check(zap.DebugLevel, "request answered"); entry != nil {
		entry.Write(journal.fields(call, zap.Int("status", result.answered.Status), zap.String("target", result.target.ID()))...)
	}
}

func (journal *journal) gathered(call *call, query *query) {
	level := zap.DebugLevel
	if len(query.parts) < len(query.shards) || time.Since(call.begun) > call.route.HTTP.TargetLatency.Std() {
		level = zap.InfoLevel
	}
	if entry := journal.logger.Check(level, "query answered"); entry != nil {
		entry.Write(journal.fields(call, query.fields()...)...)
	}
}

// fields tells how far a query has come: of each shard without a part, its
// attempts.
func (query *query) fields() []zap.Field {
	missing := make([]string, 0, len(query.open))
	for _, ask := range query.open {
		missing = append(missing, ask.String())
	}
	return []zap.Field{
		zap.Strings("missing", missing), zap.Int("shards", len(query.shards)), zap.Int("parts", len(query.parts)), zap.Int("failed", query.failed),
		zap.Int("hedges", query.hedges), zap.Int("retries", query.retries),
	}
}
