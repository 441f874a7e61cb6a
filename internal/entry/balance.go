// Rebalancing of targets over their homes. Exceptions to the placement, which
// are part of the agreed view, give each home about the same number of
// targets.

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
	// balanceInterval is the interval between checks of the balance of homes.
	balanceInterval = 10 * time.Second
	// unbalancedSpan is how long homes must have been unbalanced under the same
	// settled view before targets move, so that the restart of an entry moves only
	// the targets of that entry.
	unbalancedSpan = 30 * time.Second
	// maximumMoves bounds the number of targets that move at once.
	maximumMoves = 64
)

type (
	// Proposer is the part of the control client that Balancer uses.
	Proposer interface {
		ReplaceExceptions(ctx context.Context, request *control.ExceptionsRequest) error
	}

	// Balancer proposes exceptions while this entry is the first serving entry of
	// the view. If two entries both consider themselves first, no harm is done,
	// because control accepts exceptions only for the newest view.
	Balancer struct {
		self     string
		board    *blackboard.Board
		proposer Proposer
		logger   *zap.Logger
		// unbalancedView is the number of the view under which homes have been
		// unbalanced since unbalancedSince, or 0.
		unbalancedView  uint64
		unbalancedSince time.Time
	}
)

// NewBalancer returns a balancer for the entry with the given ID.
func NewBalancer(self string, board *blackboard.Board, proposer Proposer, logger *zap.Logger) *Balancer {
	return &Balancer{self: self, board: board, proposer: proposer, logger: logger}
}

// Run checks the balance of homes periodically until ctx ends.
func (balancer *Balancer) Run(ctx context.Context) {
	for sleep(ctx, balanceInterval) == nil {
		if request := balancer.proposal(); request != nil {
			balancer.propose(ctx, request)
		}
	}
}

func (balancer *Balancer) propose(ctx context.Context, request *control.ExceptionsRequest) {
	if err := balancer.proposer.ReplaceExceptions(ctx, request); err != nil {
		balancer.logger.Warn("control took no exceptions; homes stay unbalanced until the next check", zap.Uint64("view", request.View), zap.Error(err))
		return
	}
	balancer.logger.Info("homes are being evened out", zap.Uint64("view", request.View), zap.Int("exceptions", len(request.Exceptions)))
}

// proposal returns the exceptions to propose now, or nil. It also keeps track of how
// long the homes have been unbalanced.
func (balancer *Balancer) proposal() *control.ExceptionsRequest {
	members := balancer.board.Membership()
	placement := members.Placement()
	view := placement.View()
	if !members.Settled() || !balancer.board.Directory().IsComplete() || !isFirstServing(&view, balancer.self) {
		balancer.unbalancedView = 0
		return nil
	}
	exceptions, changed := placement.Balance(balancer.targetKeys(), maximumMoves)
	if !changed {
		balancer.unbalancedView = 0
		return nil
	}
	if balancer.unbalancedView != view.Number {
		balancer.unbalancedView, balancer.unbalancedSince = view.Number, time.Now()
	}
	if time.Since(balancer.unbalancedSince) < unbalancedSpan {
		return nil
	}
	return &control.ExceptionsRequest{View: view.Number, Exceptions: exceptions}
}

func (balancer *Balancer) targetKeys() []membership.TargetKey {
	var targetKeys []membership.TargetKey
	for _, announcement := range balancer.board.Directory().All() {
		targetKeys = append(targetKeys, membership.TargetKey{ID: announcement.ID, FailureDomain: announcement.FailureDomain})
	}
	return targetKeys
}

// isFirstServing reports whether an entry has the lowest ID of the members that
// serve. It is false for every entry while a member runs a version of the software
// that doesn't support exceptions.
func isFirstServing(view *membership.View, self string) bool {
	first := ""
	for _, member := range view.Members {
		if !member.SupportsExceptions {
			return false
		}
		if !member.Stopping && (first == "" || member.ID < first) {
			first = member.ID
		}
	}
	return first == self
}
