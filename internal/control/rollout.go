// The leader's part of rollouts: it takes orders, collects the evidence of entries, grants sends to
// new releases, and moves rollouts from phase to phase. docs/design/rollouts.md explains why the
// counts are safe.

package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// rolloutInterval is the interval at which the leader judges the rollouts in progress.
	rolloutInterval = 100 * time.Millisecond
	// grantValidity is how long an entry may spend grants.
	grantValidity = time.Second
	// completionDelay is the time between the last entry's use of the new release and the end of the old
	// targets, so that no request is still on its way to them.
	completionDelay = 500 * time.Millisecond
	// rolloutResendSpan is how long the order of a rollout that was rolled back counts as a resend.
	// Operators send an order again for up to 8 s.
	rolloutResendSpan = 10 * time.Second
	// grantParts is the number of reports over which the allowance is spread, so that the grants
	// reach entries of all localities.
	grantParts = 8
)

const (
	orderStarted  = "started"
	orderResent   = "resent"
	orderConflict = "conflict"
	orderRefused  = "refused"
)

type (
	// RolloutOptions turn rollouts on.
	RolloutOptions struct {
		Limits  policy.RolloutLimits
		Logger  *zap.Logger
		Metrics *metrics.Metrics
	}

	// rolloutController is a leader's record of rollouts in one term. It isn't replicated: a new leader
	// collects the counts and the evidence anew.
	rolloutController struct {
		options RolloutOptions

		lock sync.Mutex
		term uint64
		// version is that of the tables with the tracked rollouts. Callers may have read older tables.
		version uint64
		// tracked are the newest rollouts by pool.
		tracked map[string]*trackedRollout
	}

	trackedRollout struct {
		record operator.Rollout
		// inherited is true if the rollout was started before the leader's term. Grants of an earlier
		// leader may then be unspent, and entries that took part may be gone.
		inherited bool
		// firstSeen is when the leader first saw the rollout, and elapsedBefore the time that had
		// passed since its start by then.
		firstSeen     time.Time
		elapsedBefore time.Duration
		// accounts are the last reports by entry, and retired holds the evidence of earlier processes
		// of these entries.
		accounts map[string]*entryAccount
		retired  policy.RolloutEvidence
		// requests and committed are the sums over all processes of requests and of requests that the
		// new release got or may still get by grants.
		requests, committed uint64
		// unobserved is true if accounts have changed since history last observed the evidence.
		unobserved bool
		history    policy.RolloutHistory
		// followedSince is when it became known that every entry follows the shift.
		followedSince time.Time
		// proposing is true while a phase change is being committed.
		proposing bool
	}

	// entryAccount is what the leader knows of the requests of one process of an entry.
	entryAccount struct {
		incarnation            uint64
		requests, sent, unused uint64
		// granted is the number of grants in the reply to the last report.
		granted  uint64
		evidence policy.RolloutEvidence
	}
)

// EnableRollouts turns rollouts on. It must be called before Register and Run.
func (service *Service) EnableRollouts(options RolloutOptions) {
	service.rollouts = &rolloutController{options: options, tracked: map[string]*trackedRollout{}}
}

func errRolloutsOff() error {
	return fault.New(fault.BadRequest, "rollouts are not turned on", "set rollouts in the settings of all processes")
}

func (service *Service) startRollout(ctx context.Context, order *operator.RolloutOrder) (*operator.Rollout, error) {
	return service.orderRollout(ctx, nil, order)
}

func (service *Service) orderRollout(ctx context.Context, ticket *OrderTicket, order *operator.RolloutOrder) (*operator.Rollout, error) {
	controller := service.rollouts
	if controller == nil {
		return nil, errRolloutsOff()
	}
	if err := order.Check(); err != nil {
		controller.logRefused(order, err)
		return nil, err
	}
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return nil, err
	}
	replaces := controller.replaceable(time.Now(), tenure, service.state.Newest(), order.Pool)
	start := startRollout{Order: *order, Now: time.Now(), Replaces: replaces}
	result, err := service.submitRollout(ctx, ticket, &start)
	if err != nil {
		controller.logRefused(order, err)
		return nil, err
	}
	if result.Rollout == nil {
		return nil, fault.New(fault.Unavailable, "the outcome of the order isn't known", "send the same order again")
	}
	controller.sync(time.Now(), tenure, service.state.Newest())
	outcome := orderResent
	if result.Version != 0 {
		outcome = orderStarted
	}
	controller.options.Metrics.RolloutOrders().WithLabelValues(outcome).Inc()
	controller.options.Logger.Info("rollout ordered", zap.String("outcome", outcome), zap.String("pool", order.Pool), zap.String("release", order.Release),
		zap.Stringer("duration", order.Duration), zap.Time("started_at", result.Rollout.StartedAt), zap.String("phase", string(result.Rollout.Phase)), zap.Uint64("version", result.Version))
	return result.Rollout, nil
}

// submitRollout submits an order to the log. One that changes nothing is answered without that, so that an order
// sent again is acknowledged also while the group hasn't shown its feature level to a new leader.
func (service *Service) submitRollout(ctx context.Context, ticket *OrderTicket, start *startRollout) (*result, error) {
	if err := service.log.Confirm(ctx); err != nil {
		return nil, err
	}
	if reply, settled := service.state.checkRollout(start); settled {
		if reply.Fault != nil {
			return nil, reply.Fault
		}
		return &reply, nil
	}
	if err := service.checkEntryLevels(ctx, *start); err != nil {
		return nil, err
	}
	return service.submitOrder(ctx, ticket, *start)
}

// logRefused logs an order that was refused. It leaves out those that another replica or a later
// attempt may still accept.
func (rolloutController *rolloutController) logRefused(order *operator.RolloutOrder, err error) {
	var refusal *fault.Error
	if !errors.As(err, &refusal) || refusal.Kind == fault.Unavailable {
		return
	}
	outcome := orderRefused
	if refusal.Kind == fault.Conflict {
		outcome = orderConflict
	}
	rolloutController.options.Metrics.RolloutOrders().WithLabelValues(outcome).Inc()
	rolloutController.options.Logger.Warn("order of a rollout refused", zap.String("outcome", outcome), zap.String("pool", order.Pool), zap.String("release", order.Release),
		zap.Stringer("duration", order.Duration), zap.Error(err))
}

func (service *Service) rolloutState(ctx context.Context, request *RolloutStateRequest) (*operator.Rollout, error) {
	if err := service.log.Confirm(ctx); err != nil {
		return nil, err
	}
	newest := service.state.Newest()
	rollout := newest.Tables.Rollout(request.Pool)
	if rollout == nil {
		return nil, fault.New(fault.NotFound, fmt.Sprintf("pool %q never had a rollout", request.Pool), "order one, or correct the name")
	}
	return rollout, nil
}

// rolloutEvidence takes the report of an entry and grants sends to new releases. It confirms that this
// replica still leads after it has decided on the grants, so that a replaced leader grants nothing.
func (service *Service) rolloutEvidence(ctx context.Context, report *RolloutReport) (*RolloutGrants, error) {
	if service.rollouts == nil {
		return nil, errRolloutsOff()
	}
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return nil, err
	}
	grants := service.rollouts.accept(time.Now(), tenure, service.state.Newest(), report)
	return grants, service.confirmTenure(ctx, tenure)
}

// runRollouts moves rollouts from phase to phase while this replica leads, until ctx ends.
func (service *Service) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// On failure, the next tick tries again.
			_ = service.judgeRollouts(ctx)
		}
	}
}

func (service *Service) judgeRollouts(ctx context.Context) error {
	newest := service.state.Newest()
	if _, leading := service.log.Term(); !leading || len(newest.Tables.Rollouts) == 0 {
		return nil
	}
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	service.lock.Lock()
	newest = service.state.Newest()
	inForce := tenure.inForce(now, newest.Version)
	service.lock.Unlock()
	for _, proposal := range service.rollouts.judge(now, tenure, newest, inForce, service.state.phaseVersion) {
		go service.advance(ctx, proposal)
	}
	return nil
}

// advance commits a phase change.
func (service *Service) advance(ctx context.Context, proposal *advanceRollout) {
	started := time.Now()
	result, err := service.changeBatcher.submit(ctx, *proposal)
	controller := service.rollouts
	summary, elapsed := controller.endProposal(proposal)
	fields := []zap.Field{
		zap.String("pool", proposal.Pool), zap.String("from", string(proposal.From)), zap.String("to", string(proposal.To)), zap.String("reason", proposal.Reason),
		zap.Duration("elapsed", elapsed), zap.Duration("commit", time.Since(started)),
		zap.Uint64("new_targets", summary.NewTargets), zap.Uint64("new_answers", summary.NewAnswers), zap.Uint64("new_failures", summary.NewFailures),
		zap.Uint64("old_targets", summary.OldTargets), zap.Uint64("old_answers", summary.OldAnswers), zap.Uint64("old_failures", summary.OldFailures),
	}
	switch {
	case err != nil:
		controller.options.Logger.Warn("phase change of a rollout not committed", append(fields, zap.Error(err))...)
	case result.Rollout != nil:
		controller.options.Metrics.RolloutPhases().WithLabelValues(string(proposal.To)).Inc()
		controller.options.Logger.Info("phase of a rollout changed", append(fields, zap.String("release", result.Rollout.Release), zap.Uint64("version", result.Version))...)
	}
}

// sync brings the tracked rollouts up to the records. A new term starts without counts and evidence.
func (rolloutController *rolloutController) sync(now time.Time, tenure *tenure, newest operator.VersionedTables) {
	rolloutController.lock.Lock()
	defer rolloutController.lock.Unlock()
	rolloutController.syncLocked(now, tenure, &newest)
}

func (rolloutController *rolloutController) syncLocked(now time.Time, tenure *tenure, newest *operator.VersionedTables) {
	if tenure.term < rolloutController.term || tenure.term == rolloutController.term && newest.Version < rolloutController.version {
		return
	}
	inherited := tenure.term > rolloutController.term
	if inherited {
		rolloutController.term = tenure.term
		rolloutController.tracked = map[string]*trackedRollout{}
	}
	rolloutController.version = newest.Version
	pools := make(map[string]bool, len(newest.Tables.Rollouts))
	for _, record := range newest.Tables.Rollouts {
		pools[record.Pool] = true
		tracked := rolloutController.tracked[record.Pool]
		switch {
		case tracked == nil || !tracked.record.StartedAt.Equal(record.StartedAt):
			tracked = &trackedRollout{record: record, inherited: inherited, firstSeen: now, accounts: map[string]*entryAccount{}}
			if inherited {
				// Wall clocks jump by seconds. Only the first difference depends on them.
				tracked.elapsedBefore = max(0, now.Round(0).Sub(record.StartedAt))
			}
			rolloutController.tracked[record.Pool] = tracked
		case !tracked.record.Phase.Final():
			tracked.record = record
			if record.Phase.Final() {
				tracked.accounts, tracked.retired, tracked.history = nil, policy.RolloutEvidence{}, policy.RolloutHistory{}
			}
		}
	}
	for pool := range rolloutController.tracked {
		if !pools[pool] {
			delete(rolloutController.tracked, pool)
		}
	}
}

// replaceable returns the start of the pool's last rollout if its order isn't sent again any more, or
// zero. The time is taken from the leader's monotonic clock, so that neither a jump of the wall clock
// nor a change of the leader starts a rollout a second time.
func (rolloutController *rolloutController) replaceable(now time.Time, tenure *tenure, newest operator.VersionedTables, pool string) time.Time {
	rolloutController.lock.Lock()
	defer rolloutController.lock.Unlock()
	rolloutController.syncLocked(now, tenure, &newest)
	tracked := rolloutController.tracked[pool]
	if tracked == nil || !tracked.record.Phase.Final() || now.Sub(tracked.firstSeen) < rolloutResendSpan {
		return time.Time{}
	}
	return tracked.record.StartedAt
}

// accept records the report of an entry and returns its grants.
func (rolloutController *rolloutController) accept(now time.Time, tenure *tenure, newest operator.VersionedTables, report *RolloutReport) *RolloutGrants {
	rolloutController.lock.Lock()
	defer rolloutController.lock.Unlock()
	rolloutController.syncLocked(now, tenure, &newest)
	grants := &RolloutGrants{}
	for index := range report.Pools {
		poolReport := &report.Pools[index]
		tracked := rolloutController.tracked[poolReport.Pool]
		if tracked == nil || tenure.term != rolloutController.term {
			continue
		}
		poolGrants := PoolRolloutGrants{Pool: poolReport.Pool, StartedAt: tracked.record.StartedAt, Phase: tracked.record.Phase, ValidFor: grantValidity}
		if poolReport.StartedAt.Equal(tracked.record.StartedAt) && !tracked.record.Phase.Final() {
			poolGrants.Grants = tracked.accept(now, tenure, report, poolReport, rolloutController.options.Limits)
			rolloutController.options.Metrics.RolloutGrants().Add(float64(poolGrants.Grants))
		}
		grants.Pools = append(grants.Pools, poolGrants)
	}
	return grants
}

// accept records what an entry reports and returns the number of its grants. A report that is older
// than the last one gets none.
func (trackedRollout *trackedRollout) accept(now time.Time, tenure *tenure, report *RolloutReport, poolReport *PoolRolloutReport, limits policy.RolloutLimits) int {
	account := trackedRollout.accounts[report.Entry]
	if account == nil {
		account = &entryAccount{incarnation: report.Incarnation}
		trackedRollout.accounts[report.Entry] = account
	}
	unused := uint64(max(poolReport.Unused, 0))
	newRequests := poolReport.Requests
	switch {
	case report.Incarnation < account.incarnation:
		return 0
	case report.Incarnation > account.incarnation:
		// What the earlier process sent and was granted stays in the sums.
		trackedRollout.retired = policy.MergeRolloutEvidence(&trackedRollout.retired, &account.evidence)
		*account = entryAccount{incarnation: report.Incarnation}
	case poolReport.Requests < account.requests || poolReport.Sent < account.sent:
		return 0
	default:
		newRequests -= account.requests
	}
	granted := uint64(0)
	if poolReport.Requests == account.requests && poolReport.Sent == account.sent && unused == account.unused {
		// This may be the last report once more, whose first reply may have arrived.
		granted = account.granted
	}
	trackedRollout.requests += newRequests
	trackedRollout.committed -= account.committed()
	account.requests, account.sent, account.unused, account.granted = poolReport.Requests, poolReport.Sent, unused, granted
	account.evidence = poolReport.Evidence
	trackedRollout.committed += account.committed()
	trackedRollout.unobserved = true
	if trackedRollout.record.Phase != operator.PhaseTrial || trackedRollout.inherited && !tenure.earlierLeasesExpired(now) {
		return 0
	}
	if trackedRollout.inherited {
		// The earlier leader may have granted the slack to entries that are gone.
		limits.Slack = 0
	}
	allowance := policy.RolloutAllowance(trackedRollout.requests, trackedRollout.committed-granted, 0, limits)
	// An entry gets no more grants than it is likely to spend until its next but one report.
	grants := min(allowance, max(1, allowance/grantParts), 1+2*int(min(newRequests, 1<<20)))
	account.granted = max(granted, uint64(grants))
	trackedRollout.committed += account.granted - granted
	return grants
}

// committed returns how many requests of the process the new release got or may still get. The entry
// may spend the unused grants before the reply replaces them.
func (entryAccount *entryAccount) committed() uint64 {
	return entryAccount.sent + entryAccount.unused + entryAccount.granted
}

// judge returns the phase changes to propose. Each rollout has at most one in progress.
func (rolloutController *rolloutController) judge(now time.Time, tenure *tenure, newest operator.VersionedTables, inForce uint64, phaseVersion func(*operator.Rollout) uint64) []*advanceRollout {
	rolloutController.lock.Lock()
	defer rolloutController.lock.Unlock()
	rolloutController.syncLocked(now, tenure, &newest)
	var proposals []*advanceRollout
	for _, tracked := range rolloutController.tracked {
		if tracked.proposing || tracked.record.Phase.Final() || tenure.term != rolloutController.term {
			continue
		}
		tracked.observe(now)
		followed := tracked.record.Phase == operator.PhaseShift && inForce >= phaseVersion(&tracked.record)
		if to, reason := tracked.next(now, followed); to != "" {
			tracked.proposing = true
			proposals = append(proposals, &advanceRollout{Pool: tracked.record.Pool, StartedAt: tracked.record.StartedAt, From: tracked.record.Phase, To: to, Reason: reason})
		}
	}
	slices.SortFunc(proposals, func(left, right *advanceRollout) int { return left.StartedAt.Compare(right.StartedAt) })
	return proposals
}

// observe adds new evidence to the history.
func (trackedRollout *trackedRollout) observe(now time.Time) {
	if !trackedRollout.unobserved {
		return
	}
	trackedRollout.unobserved = false
	parts := []*policy.RolloutEvidence{&trackedRollout.retired}
	for _, account := range trackedRollout.accounts {
		parts = append(parts, &account.evidence)
	}
	trackedRollout.history.Observe(policy.MergeRolloutEvidence(parts...), trackedRollout.elapsed(now))
}

func (trackedRollout *trackedRollout) elapsed(now time.Time) time.Duration {
	return trackedRollout.elapsedBefore + now.Sub(trackedRollout.firstSeen)
}

// next returns the phase that the rollout has to enter, or "", and the reason. Followed is true if
// every entry follows the shift.
func (trackedRollout *trackedRollout) next(now time.Time, followed bool) (phase operator.RolloutPhase, reason string) {
	elapsed, duration := trackedRollout.elapsed(now), trackedRollout.record.Duration.Std()
	if followed && trackedRollout.followedSince.IsZero() {
		trackedRollout.followedSince = now
	}
	verdict := trackedRollout.history.Judge(elapsed, duration)
	switch {
	case verdict.Decision == policy.RolloutBad:
		return operator.PhaseRolledBack, verdict.Reason
	case followed && verdict.Clear && now.Sub(trackedRollout.followedSince) >= completionDelay && policy.RolloutMayEnd(elapsed, duration):
		return operator.PhaseCompleted, "every entry uses the release, and it is good: " + trackedRollout.history.Describe()
	case verdict.Decision == policy.RolloutTimedOut:
		return operator.PhaseRolledBack, verdict.Reason
	case verdict.Decision == policy.RolloutGood && trackedRollout.record.Phase == operator.PhaseTrial:
		return operator.PhaseShift, verdict.Reason
	}
	return "", ""
}

// endProposal lets the next phase change be proposed. It returns the evidence and the time that the rollout
// has taken.
func (rolloutController *rolloutController) endProposal(proposal *advanceRollout) (policy.RolloutSummary, time.Duration) {
	rolloutController.lock.Lock()
	defer rolloutController.lock.Unlock()
	tracked := rolloutController.tracked[proposal.Pool]
	if tracked == nil || !tracked.record.StartedAt.Equal(proposal.StartedAt) {
		return policy.RolloutSummary{}, 0
	}
	tracked.proposing = false
	return tracked.history.Summary(), tracked.elapsed(time.Now())
}
