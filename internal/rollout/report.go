// Reports to control, and the grants in its replies.

package rollout

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// reportInterval is the mean interval between reports, and reportJitter the share of it by which
	// intervals differ, so that the entries don't report all at once.
	reportInterval = 250 * time.Millisecond
	reportJitter   = 0.2
	// reportTimeout bounds a report with all its attempts. A later reply would bring no grants that
	// are still valid.
	reportTimeout = time.Second

	// Results of reports, as label values.
	reportReceived = "received"
	reportFailed   = "failed"
)

type (
	// Reporter reports to control; control.Client implements it.
	Reporter interface {
		ReportRollouts(ctx context.Context, report *control.RolloutReport) (*control.RolloutGrants, error)
	}
)

// Run follows the rollouts and reports those in progress until ctx ends.
func (tracker *Tracker) Run(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration((1 + reportJitter*(rand.Float64()-0.5)) * float64(reportInterval))):
		}
		report := tracker.report()
		if len(report.Pools) == 0 {
			continue
		}
		err := tracker.exchange(ctx, report)
		result := reportReceived
		if err != nil {
			result = reportFailed
		}
		tracker.metrics.RolloutReports().WithLabelValues(result).Inc()
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			tracker.logger.Info("reports of rollouts", zap.String("result", result), zap.Error(err))
		}
	}
}

// exchange sends a report and applies the reply.
func (tracker *Tracker) exchange(ctx context.Context, report *control.RolloutReport) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	askedAt := time.Now()
	reply, err := tracker.client.ReportRollouts(ctx, report)
	if err != nil {
		return err
	}
	pools := tracker.pools()
	for index := range reply.Pools {
		granted := &reply.Pools[index]
		if pool := pools[granted.Pool]; pool != nil {
			pool.apply(granted, askedAt, tracker)
		}
	}
	return nil
}

// report returns what this entry has seen of the rollouts in progress. It gives up the unused grants, so
// that the entry holds none until the reply: if they remained here and the reply was lost, control would
// count the grants of that reply alone.
func (tracker *Tracker) report() *control.RolloutReport {
	report := &control.RolloutReport{Entry: tracker.entry, Incarnation: tracker.incarnation}
	now := time.Now()
	for name, pool := range tracker.pools() {
		pool.lock.Lock()
		if !pool.rollout.Phase.Final() && pool.requests+pool.sent > 0 {
			if pool.holdsGrant(now) {
				tracker.metrics.EntryGrants().WithLabelValues(grantReturned).Add(float64(pool.grants))
			}
			pool.grants = 0
			report.Pools = append(report.Pools, control.PoolRolloutReport{
				Pool: name, StartedAt: pool.rollout.StartedAt, Requests: pool.requests, Sent: pool.sent, Evidence: pool.evidence.copied(),
			})
		}
		pool.lock.Unlock()
	}
	return report
}

// apply applies the reply to a report that was begun at askedAt. The grants' time counts from then,
// because the reply may have been on its way for long.
func (pool *pool) apply(granted *control.PoolRolloutGrants, askedAt time.Time, tracker *Tracker) {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if !pool.rollout.StartedAt.Equal(granted.StartedAt) {
		return
	}
	pool.advance(granted.Phase, "", fromReply)
	if granted.Phase == operator.PhaseTrial && pool.rollout.Phase == operator.PhaseTrial && granted.Grants > 0 {
		pool.grants, pool.grantsUntil = granted.Grants, askedAt.Add(granted.ValidFor)
		tracker.metrics.EntryGrants().WithLabelValues(grantReceived).Add(float64(granted.Grants))
	}
}
