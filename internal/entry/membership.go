// This file exists so that an entry keeps its lease, and with it the newest
// tables and view.

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
	// settleInterval is the span between two looks for the withdrawal.
	settleInterval = 20 * time.Millisecond
)

type (
	// Renewer is the part of control that Leaseholder needs.
	Renewer interface {
		Renew(ctx context.Context, renewal *control.Renewal) (*control.Lease, error)
	}

	// Yielder gives up targets that are no longer this entry's; target.Home
	// is the one for real use.
	Yielder interface {
		NeverUsed()
		Cut()
		Held() []targetapi.Announcement
		Yield(ctx context.Context, held []targetapi.Announcement, releaser target.Releaser) uint64
	}

	// Leaseholder renews the entry's lease and writes what comes with it to
	// the blackboard.
	Leaseholder struct {
		board    *blackboard.Board
		renewer  Renewer
		yielder  Yielder
		releaser target.Releaser
		logger   *zap.Logger
		metrics  *metrics.Metrics
		// wake asks for a renewal at once.
		wake chan struct{}

		// renewing holds an element during a renewal, so that replies are
		// taken in the order of the renewals. It is a channel because a
		// renewal waits for the network.
		renewing chan struct{}

		lock     sync.Mutex
		member   membership.Member
		stopping bool
		// yielded is the newest view under which all targets that are no
		// longer this entry's were given up.
		yielded uint64
	}
)

// NewLeaseholder returns the controller that keeps the lease of an entry.
func NewLeaseholder(member membership.Member, board *blackboard.Board, renewer Renewer, yielder Yielder, releaser target.Releaser, logger *zap.Logger, metrics *metrics.Metrics) *Leaseholder {
	return &Leaseholder{
		member: member, board: board, renewer: renewer, yielder: yielder, releaser: releaser, logger: logger, metrics: metrics,
		wake: make(chan struct{}, 1), renewing: make(chan struct{}, 1),
	}
}

// Run renews until ctx ends.
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

// Wake lets Run renew at once.
func (leaseholder *Leaseholder) Wake() {
	select {
	case leaseholder.wake <- struct{}{}:
	default:
	}
}

// Renew renews the lease once. The lease counts from before the renewal was
// sent, less what the clock rates may differ by.
func (leaseholder *Leaseholder) Renew(ctx context.Context) error {
	leaseholder.renewing <- struct{}{}
	defer func() { <-leaseholder.renewing }()
	attempt, cancel := context.WithTimeout(ctx, control.LeaseDuration)
	defer cancel()
	sent := time.Now()
	lease, err := leaseholder.renewer.Renew(attempt, leaseholder.renewal())
	if err != nil {
		return err
	}
	leaseholder.takeView(ctx, lease)
	leaseholder.takeTables(lease)
	inForce := leaseholder.board.InForce()
	if lease.Version == 0 {
		leaseholder.yielder.NeverUsed()
	}
	if _, held := inForce.Tables(); held >= lease.Version {
		inForce.Renew(sent.Add(lease.Duration * (100 - control.ClockRateErrorPercent) / 100))
	}
	return nil
}

func (leaseholder *Leaseholder) renewal() *control.Renewal {
	_, version := leaseholder.board.InForce().Tables()
	known := leaseholder.board.Membership().View().Number
	leaseholder.lock.Lock()
	defer leaseholder.lock.Unlock()
	return &control.Renewal{Member: leaseholder.present(), Version: version, KnownView: known, View: leaseholder.yielded}
}

// present returns the entry as it wants to be in the view. An entry that
// doesn't know the targets yet, or whose failure domain is taken out, withdraws
// through the view, because homes depend on nothing else. The lock is held.
func (leaseholder *Leaseholder) present() membership.Member {
	tables, _ := leaseholder.board.InForce().Tables()
	member := leaseholder.member
	member.Heeds = true
	able := !tables.Out(member.FailureDomain) && leaseholder.board.Directory().IsComplete()
	member.Leaving = leaseholder.stopping
	member.Reserve = leaseholder.stopping && able
	member.Stopping = leaseholder.stopping || !able
	return member
}

func (leaseholder *Leaseholder) takeTables(lease *control.Lease) {
	if lease.Tables == nil {
		return
	}
	inForce := leaseholder.board.InForce()
	inForce.Replace(lease.Version, lease.Tables)
	tables, version := inForce.Tables()
	inForce.SetOut(tables.Out(leaseholder.member.FailureDomain))
	leaseholder.metrics.Version().Set(float64(version))
	leaseholder.logger.Info("tables in force", zap.Uint64("version", version))
	// Where the entry withdraws or returns, control is told now.
	leaseholder.Wake()
}

// takeView learns a view and starts to give up what is lost under it.
func (leaseholder *Leaseholder) takeView(ctx context.Context, lease *control.Lease) {
	members := leaseholder.board.Membership()
	if leaseholder.board.InForce().Fenced() {
		leaseholder.yielder.Cut()
		members.Reset()
	}
	known := members.View().Number
	if lease.View == nil || lease.View.Number <= known {
		members.Learn(nil, lease.Settled)
		return
	}
	held := leaseholder.yielder.Held()
	members.Learn(lease.View, lease.Settled)
	leaseholder.metrics.View().Set(float64(lease.View.Number))
	leaseholder.logger.Info("view received", zap.Uint64("view", lease.View.Number), zap.Int("members", len(lease.View.Members)))
	go func() {
		yielded := leaseholder.yielder.Yield(context.WithoutCancel(ctx), held, leaseholder.releaser)
		leaseholder.lock.Lock()
		leaseholder.yielded = max(leaseholder.yielded, yielded)
		leaseholder.lock.Unlock()
		leaseholder.Wake()
	}()
}

// Withdraw tells control that the entry is stopping, so that no caller is
// sent to it and its targets move to other homes. It returns once every other
// entry knows, or after the lease within which each of them knows or is
// fenced.
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
		case <-time.After(settleInterval):
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
	leaseholder.renewing <- struct{}{}
	defer func() { <-leaseholder.renewing }()
	_, err := leaseholder.renewer.Renew(ctx, &control.Renewal{Member: leaseholder.member, Leave: true})
	return err
}
