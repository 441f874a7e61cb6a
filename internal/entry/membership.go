// Lease of an entry. Each renewal also brings the newest tables from control,
// and the newest view, which lists the entries.

package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/target"
	targetapi "gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// pollInterval is the interval between checks whether an awaited view has arrived.
	pollInterval = 20 * time.Millisecond
)

type (
	// Renewer is the part of the control client that Leaseholder uses.
	Renewer interface {
		Renew(ctx context.Context, renewal *control.Renewal) (*control.Lease, error)
		ContinueTransfer(ctx context.Context, transfer *control.TablesTransfer) error
	}

	// HomeRole is the part of target.Home that Leaseholder uses. Each entry has two
	// roles: it coordinates requests, and it is the home of targets.
	HomeRole interface {
		RecordNoTargetUsed()
		CancelAll()
		ClaimUsable() []targetapi.Announcement
		ReleaseMoved(ctx context.Context, usable []targetapi.Announcement, releaser target.Releaser) uint64
	}

	// Leaseholder renews the entry's lease and writes the received tables and
	// views to the blackboard.
	Leaseholder struct {
		board   *blackboard.Board
		renewer Renewer
		home    HomeRole
		// releaser notifies the next homes of targets about their release.
		releaser target.Releaser
		logger   *zap.Logger
		metrics  *metrics.Metrics
		// wake requests a renewal at once.
		wake chan struct{}
		// fetch requests a transfer of tables that a lease has announced without carrying them.
		fetch chan struct{}

		// renewing is held during a renewal, so that replies are applied in
		// the order of the renewals. It is a channel and not a mutex because a
		// renewal waits for the network.
		renewing chan struct{}

		lock     sync.Mutex
		member   membership.Member
		stopping bool
		// releasedView is the newest view for which all targets that no longer
		// belong to this entry have been released.
		releasedView uint64
		// pending is the newest lease that isn't in use, because the tables that it names weren't in force.
		pending pendingLease
	}

	// pendingLease is a lease that an entry may use once it has a version of the tables.
	pendingLease struct {
		version uint64
		until   time.Time
	}
)

// NewLeaseholder returns the Leaseholder of an entry.
func NewLeaseholder(member membership.Member, board *blackboard.Board, renewer Renewer, home HomeRole, releaser target.Releaser, logger *zap.Logger, metrics *metrics.Metrics) *Leaseholder {
	return &Leaseholder{
		member: member, board: board, renewer: renewer, home: home, releaser: releaser, logger: logger, metrics: metrics,
		wake: make(chan struct{}, 1), fetch: make(chan struct{}, 1), renewing: make(chan struct{}, 1),
	}
}

// Run renews the lease and fetches tables until ctx ends.
func (leaseholder *Leaseholder) Run(ctx context.Context) {
	go leaseholder.fetchTables(ctx)
	ticker := time.NewTicker(control.RenewInterval)
	defer ticker.Stop()
	completed := leaseholder.board.Directory().Completed()
	for {
		startedAt := time.Now()
		if err := leaseholder.Renew(ctx); err != nil && ctx.Err() == nil {
			leaseholder.logger.Warn("lease not renewed", zap.Error(err), zap.Bool("fenced", leaseholder.board.InForce().Fenced()), zap.Duration("elapsed", time.Since(startedAt)))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-leaseholder.wake:
		case <-completed:
			completed = nil
		}
	}
}

// Wake makes Run renew the lease at once.
func (leaseholder *Leaseholder) Wake() {
	select {
	case leaseholder.wake <- struct{}{}:
	default:
	}
}

// Renew renews the lease once. The lease runs from just before the renewal was sent,
// and is shortened by the largest clock rate error that is allowed for. The lease isn't
// extended while the tables in force are older than those of control.
func (leaseholder *Leaseholder) Renew(ctx context.Context) error {
	leaseholder.renewing <- struct{}{}
	defer func() { <-leaseholder.renewing }()
	renewCtx, cancel := context.WithTimeout(ctx, control.LeaseDuration)
	defer cancel()
	sentAt := time.Now()
	lease, err := leaseholder.renewer.Renew(renewCtx, leaseholder.renewal())
	if err != nil {
		return err
	}
	leaseholder.applyView(ctx, lease)
	inForce := leaseholder.board.InForce()
	inForce.Learn(lease.TablesVersion)
	leaseholder.applyTables(lease, sentAt)
	if lease.TablesVersion == 0 {
		leaseholder.home.RecordNoTargetUsed()
	}
	leaseholder.lock.Lock()
	leaseholder.pending = pendingLease{version: lease.TablesVersion, until: sentAt.Add(lease.Duration * (100 - control.ClockRateErrorPercent) / 100)}
	leaseholder.lock.Unlock()
	leaseholder.usePendingLease()
	return nil
}

// usePendingLease extends the lease if the tables in force are those that the last lease has named, or newer.
func (leaseholder *Leaseholder) usePendingLease() {
	leaseholder.lock.Lock()
	defer leaseholder.lock.Unlock()
	inForce := leaseholder.board.InForce()
	if _, version := inForce.Tables(); version >= leaseholder.pending.version {
		inForce.Renew(leaseholder.pending.until)
	}
}

func (leaseholder *Leaseholder) renewal() *control.Renewal {
	_, version := leaseholder.board.InForce().Tables()
	knownView := leaseholder.board.Membership().View().Number
	leaseholder.lock.Lock()
	defer leaseholder.lock.Unlock()
	return &control.Renewal{Member: leaseholder.desiredMember(), TablesVersion: version, KnownView: knownView, ReleasedView: leaseholder.releasedView}
}

// desiredMember returns the member record that the entry wants to have in the view.
// An entry that doesn't know the targets yet, or whose failure domain is taken out,
// can't serve and asks to be marked as stopping in the view, because the view alone
// determines the homes. The lock must be held.
func (leaseholder *Leaseholder) desiredMember() membership.Member {
	tables, _ := leaseholder.board.InForce().Tables()
	member := leaseholder.member
	member.SupportsExceptions = true
	canServe := !tables.IsOut(member.FailureDomain) && leaseholder.board.Directory().IsComplete()
	member.Leaving = leaseholder.stopping
	member.Reserve = leaseholder.stopping && canServe
	member.Stopping = leaseholder.stopping || !canServe
	return member
}

// applyView stores the view and the number of the settled view that a renewal has
// brought. If the view is new, it also starts to release the targets that belong to
// other entries under that view. If the entry is fenced, it first cancels all runs and
// drops all rights to use targets.
func (leaseholder *Leaseholder) applyView(ctx context.Context, lease *control.Lease) {
	members := leaseholder.board.Membership()
	if leaseholder.board.InForce().Fenced() {
		leaseholder.home.CancelAll()
		members.Reset()
	}
	knownView := members.View().Number
	if lease.View == nil || lease.View.Number <= knownView {
		members.Update(nil, lease.SettledView)
		return
	}
	usable := leaseholder.home.ClaimUsable()
	members.Update(lease.View, lease.SettledView)
	leaseholder.metrics.ViewNumber().Set(float64(lease.View.Number))
	leaseholder.logger.Info("view received", zap.Uint64("view", lease.View.Number), zap.Int("members", len(lease.View.Members)))
	go func() {
		releasedView := leaseholder.home.ReleaseMoved(context.WithoutCancel(ctx), usable, leaseholder.releaser)
		leaseholder.lock.Lock()
		leaseholder.releasedView = max(leaseholder.releasedView, releasedView)
		leaseholder.lock.Unlock()
		leaseholder.Wake()
	}()
}

// Withdraw tells control that the entry is stopping, so that no caller is sent to it
// and its targets move to other homes. It returns once the view in which this entry
// is stopping is settled. If that takes longer than the lease duration, it returns an
// error; each other entry has then received that view or is fenced. It also returns
// an error if the renewal fails.
func (leaseholder *Leaseholder) Withdraw(ctx context.Context) error {
	leaseholder.lock.Lock()
	leaseholder.stopping = true
	leaseholder.lock.Unlock()
	ctx, cancel := context.WithTimeout(ctx, control.LeaseDuration)
	defer cancel()
	if err := leaseholder.Renew(ctx); err != nil {
		return err
	}
	members := leaseholder.board.Membership()
	for !leaseholder.withdrawn() || !members.Settled() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// withdrawn reports whether this entry is stopping in the newest view, or isn't in it.
func (leaseholder *Leaseholder) withdrawn() bool {
	view := leaseholder.board.Membership().View()
	member, present := view.Member(leaseholder.member.ID)
	return !present || member.Stopping
}

// Leave removes the entry from the view.
func (leaseholder *Leaseholder) Leave(ctx context.Context) error {
	leaseholder.renewing <- struct{}{}
	defer func() { <-leaseholder.renewing }()
	_, err := leaseholder.renewer.Renew(ctx, &control.Renewal{Member: leaseholder.member, Leave: true})
	return err
}
