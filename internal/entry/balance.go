// This file exists so that homes get about as many targets each, by exceptions
// that are part of the agreed view.

package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	// balanceInterval is the span between two looks at the loads of homes.
	balanceInterval = 10 * time.Second
	// balanceSpan is how long homes must have been uneven under one settled
	// view, so that restarts move no targets besides their own.
	balanceSpan = 30 * time.Second
	// balanceMoves bounds the targets that move at once.
	balanceMoves = 64
)

type (
	// Proposer is the part of control that Balancer needs.
	Proposer interface {
		Balance(ctx context.Context, request *control.BalanceRequest) error
	}

	// Balancer proposes exceptions where this entry is the first of the view.
	// Two that both take themselves for the first do no harm, because control
	// takes exceptions for the newest view only.
	Balancer struct {
		self     string
		board    *blackboard.Board
		proposer Proposer
		logger   *zap.Logger
		// view is the one under which homes have been uneven since a time.
		view        uint64
		unevenSince time.Time
	}
)

// NewBalancer returns the balancer of the entry with the given ID.
func NewBalancer(self string, board *blackboard.Board, proposer Proposer, logger *zap.Logger) *Balancer {
	return &Balancer{self: self, board: board, proposer: proposer, logger: logger}
}

// Run looks at the loads of homes until ctx ends.
func (balancer *Balancer) Run(ctx context.Context) {
	for pause(ctx, balanceInterval) == nil {
		if request := balancer.look(); request != nil {
			balancer.propose(ctx, request)
		}
	}
}

func (balancer *Balancer) propose(ctx context.Context, request *control.BalanceRequest) {
	if err := balancer.proposer.Balance(ctx, request); err != nil {
		balancer.logger.Warn("control took no exceptions; homes stay uneven until the next look", zap.Uint64("view", request.View), zap.Error(err))
		return
	}
	balancer.logger.Info("homes are being evened out", zap.Uint64("view", request.View), zap.Int("exceptions", len(request.Exceptions)))
}

// look returns what to propose, or nil.
func (balancer *Balancer) look() *control.BalanceRequest {
	members := balancer.board.Membership()
	placement := members.Placement()
	view := placement.View()
	if !members.Settled() || !balancer.board.Directory().IsComplete() || !leads(&view, balancer.self) {
		balancer.view = 0
		return nil
	}
	exceptions, changed := placement.Balance(balancer.placed(), balanceMoves)
	if !changed {
		balancer.view = 0
		return nil
	}
	if balancer.view != view.Number {
		balancer.view, balancer.unevenSince = view.Number, time.Now()
	}
	if time.Since(balancer.unevenSince) < balanceSpan {
		return nil
	}
	return &control.BalanceRequest{View: view.Number, Exceptions: exceptions}
}

func (balancer *Balancer) placed() []membership.Placed {
	var placed []membership.Placed
	for _, announcement := range balancer.board.Directory().All() {
		placed = append(placed, membership.Placed{ID: announcement.ID, FailureDomain: announcement.FailureDomain})
	}
	return placed
}

// leads reports whether an entry is the first that serves. Where one doesn't
// heed exceptions, none does.
func leads(view *membership.View, self string) bool {
	first := ""
	for _, member := range view.Members {
		if !member.Heeds {
			return false
		}
		if !member.Stopping && (first == "" || member.ID < first) {
			first = member.ID
		}
	}
	return first == self
}
