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
	// pollInterval is the interval at which conditions on the view are polled.
	pollInterval = 20 * time.Millisecond
)

type (
	// Renewer is the part of the control client that Leaseholder uses.
	Renewer interface {
		Renew(ctx context.Context, renewal *control.Renewal) (*control.Lease, error)
	}

	// HomeRole is the part of target.Home that Leaseholder uses.
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
		// releaser informs the next homes of the released targets.
		releaser target.Releaser
		logger   *zap.Logger
		metrics  *metrics.Metrics
		// wake requests a renewal at once.
		wake chan struct{}

		// renewalSlot is held during a renewal, so that replies are applied in
		// the order of the renewals. It is a channel and not a mutex because a
		// renewal waits for the network.
		renewalSlot chan struct{}

		lock     sync.Mutex
		member   membership.Member
		stopping bool
		// releasedView is the newest view for which all targets that no longer
		// belong to this entry have been released.
		releasedView uint64
	}
)

// NewLeaseholder returns the Leaseholder of an entry.
func NewLeaseholder(member membership.Member, board *blackboard.Board, renewer Renewer, home HomeRole, releaser target.Releaser, logger *zap.Logger, metrics *metrics.Metrics) *Leaseholder {
	return &Leaseholder{
		member: member, board: board, renewer: renewer, home: home, releaser: releaser, logger: logger, metrics: metrics,
		wake: make(chan struct{}, 1), renewalSlot: make(chan struct{}, 1),
	}
}

// Run renews the lease until ctx ends.
func (leaseholder *Leaseholder) Run(ctx context.Context) {
	ticker := time.NewTicker(control.RenewInterval)
	defer ticker.Stop()
	completed := leaseholder.board.Directory().Completed()
	for {
		if err := leaseholder.Renew(ctx); err != nil && ctx.Err() == nil {
			leaseholder.logger.Warn("lease not renewed", zap.Error(err), zap.Bool("fenced", leaseholder.board.InForce().Fenced()))
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

// Renew renews the lease once. The lease counts from the time before the renewal
// was sent, and is shortened by the possible difference of the clock rates.
func (leaseholder *Leaseholder) Renew(ctx context.Context) error {
	leaseholder.renewalSlot <- struct{}{}
	defer func() { <-leaseholder.renewalSlot }()
	renewCtx, cancel := context.WithTimeout(ctx, control.LeaseDuration)
	defer cancel()
	sent := time.Now()
	lease, err := leaseholder.renewer.Renew(renewCtx, leaseholder.renewal())
	if err != nil {
		return err
	}
	leaseholder.applyView(ctx, lease)
	leaseholder.applyTables(lease)
	inForce := leaseholder.board.InForce()
	if lease.TablesVersion == 0 {
		leaseholder.home.RecordNoTargetUsed()
	}
	if _, version := inForce.Tables(); version >= lease.TablesVersion {
		inForce.Renew(sent.Add(lease.Duration * (100 - control.ClockRateErrorPercent) / 100))
	}
	return nil
}

func (leaseholder *Leaseholder) renewal() *control.Renewal {
	_, version := leaseholder.board.InForce().Tables()
	known := leaseholder.board.Membership().View().Number
	leaseholder.lock.Lock()
	defer leaseholder.lock.Unlock()
	return &control.Renewal{Member: leaseholder.desiredMember(), TablesVersion: version, KnownView: known, ReleasedView: leaseholder.releasedView}
}

// desiredMember returns the member record that the entry wants to have in the
// view. An entry that doesn't know the targets yet, or whose failure domain is
// taken out, withdraws through the view, because the view alone determines the
// homes. The caller holds the lock.
func (leaseholder *Leaseholder) desiredMember() membership.Member {
	tables, _ := leaseholder.board.InForce().Tables()
	member := leaseholder.member
	member.SupportsExceptions = true
	able := !tables.IsOut(member.FailureDomain) && leaseholder.board.Directory().IsComplete()
	member.Leaving = leaseholder.stopping
	member.Reserve = leaseholder.stopping && able
	member.Stopping = leaseholder.stopping || !able
	return member
}

func (leaseholder *Leaseholder) applyTables(lease *control.Lease) {
	if lease.Tables == nil {
		return
	}
	inForce := leaseholder.board.InForce()
	inForce.Replace(lease.TablesVersion, lease.Tables)
	tables, version := inForce.Tables()
	inForce.SetOut(tables.IsOut(leaseholder.member.FailureDomain))
	leaseholder.metrics.TablesVersion().Set(float64(version))
	leaseholder.logger.Info("tables in force", zap.Uint64("version", version))
	// If the entry now withdraws or returns, control must learn of it at once.
	leaseholder.Wake()
}

// applyView stores a new view and starts to release the targets that belong to
// other entries under it.
func (leaseholder *Leaseholder) applyView(ctx context.Context, lease *control.Lease) {
	members := leaseholder.board.Membership()
	if leaseholder.board.InForce().Fenced() {
		leaseholder.home.CancelAll()
		members.Reset()
	}
	known := members.View().Number
	if lease.View == nil || lease.View.Number <= known {
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

// Withdraw tells control that the entry is stopping, so that no caller is sent to
// it and its targets move to other homes. It returns once every other entry has
// received the view, or after the lease duration, when each of them has received
// it or is fenced.
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

func (leaseholder *Leaseholder) withdrawn() bool {
	view := leaseholder.board.Membership().View()
	member, present := view.Member(leaseholder.member.ID)
	return !present || member.Stopping
}

// Leave removes the entry from the view.
func (leaseholder *Leaseholder) Leave(ctx context.Context) error {
	leaseholder.renewalSlot <- struct{}{}
	defer func() { <-leaseholder.renewalSlot }()
	_, err := leaseholder.renewer.Renew(ctx, &control.Renewal{Member: leaseholder.member, Leave: true})
	return err
}
