// Attempts that nobody waits for any more.

package httptarget

import (
	"context"

	"go.uber.org/zap"
)

const (
	// Ways of attempts, as label values and in the log.
	wayDirect  = "direct"
	wayRelayed = "relayed"

	resultSent = "sent"
)

// noteUnwanted logs and counts an attempt whose ctx has ended before it is sent.
func (sender *Sender) noteUnwanted(ctx context.Context, target *Target, request *Request, way string) {
	if ctx.Err() == nil {
		return
	}
	if sender.metrics != nil {
		sender.metrics.UnwantedAttempts().WithLabelValues(way, resultSent).Inc()
	}
	sender.sampled.Info("attempt unwanted", zap.String("request", request.ID), zap.String("target", target.ID()), zap.String("way", way), zap.String("result", resultSent))
}
