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
)

type (
	// Renewer is the part of control that Leaseholder needs.
	Renewer interface {
		Renew(ctx context.Context, renewal *control.Renewal) (*control.Lease, error)
	}

	// Leaseholder renews the entry's lease and writes what comes with it to
	// the blackboard.
	Leaseholder struct {
		board   *blackboard.Board
		renewer Renewer
		logger  *zap.Logger
		metrics *metrics.Metrics

		lock   sync.Mutex
		member membership.Member
	}
)

// NewLeaseholder returns the controller that keeps the lease of an entry.
func NewLeaseholder(member membership.Member, board *blackboard.Board, renewer Renewer, logger *zap.Logger, metrics *metrics.Metrics) *Leaseholder {
	return &Leaseholder{member: member, board: board, renewer: renewer, logger: logger, metrics: metrics}
}

// Run renews until ctx ends.
func (leaseholder *Leaseholder) Run(ctx context.Context) {
	ticker := time.NewTicker(control.RenewInterval)
	defer ticker.Stop()
	for {
		if err := leaseholder.Renew(ctx); err != nil && ctx.Err() == nil {
			leaseholder.logger.Warn("lease not renewed", zap.Error(err), zap.Bool("fenced", leaseholder.board.InForce().Fenced()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Renew renews the lease once. The lease counts from before the renewal was
// sent, less what the clock rates may differ by.
func (leaseholder *Leaseholder) Renew(ctx context.Context) error {
	inForce, members := leaseholder.board.InForce(), leaseholder.board.Membership()
	_, version := inForce.Tables()
	known := members.View().Number
	ctx, cancel := context.WithTimeout(ctx, control.LeaseDuration)
	defer cancel()
	leaseholder.lock.Lock()
	member := leaseholder.member
	leaseholder.lock.Unlock()
	sent := time.Now()
	lease, err := leaseholder.renewer.Renew(ctx, &control.Renewal{Member: member, Version: version, KnownView: known, View: known})
	if err != nil {
		return err
	}
	if lease.Tables != nil {
		inForce.Replace(lease.Version, lease.Tables)
		leaseholder.logger.Info("tables in force", zap.Uint64("version", lease.Version))
	}
	if lease.View != nil {
		members.Replace(*lease.View)
		leaseholder.logger.Info("view received", zap.Uint64("view", lease.View.Number), zap.Int("members", len(lease.View.Members)))
	}
	members.Settle(lease.Settled)
	if _, held := inForce.Tables(); held >= lease.Version {
		inForce.Renew(sent.Add(lease.Duration * (100 - control.ClockRateErrorPercent) / 100))
	}
	leaseholder.metrics.Version().Set(float64(lease.Version))
	leaseholder.metrics.View().Set(float64(members.View().Number))
	return nil
}

// Withdraw tells control that the entry is stopping, so that no caller is
// sent to it and its targets move to other homes.
func (leaseholder *Leaseholder) Withdraw(ctx context.Context) error {
	leaseholder.lock.Lock()
	leaseholder.member.Stopping = true
	leaseholder.lock.Unlock()
	return leaseholder.Renew(ctx)
}

// Leave removes the entry from the view.
func (leaseholder *Leaseholder) Leave(ctx context.Context) error {
	_, err := leaseholder.renewer.Renew(ctx, &control.Renewal{Member: leaseholder.member, Leave: true})
	return err
}
