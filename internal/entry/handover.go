// Handover of targets between homes. The previous home notifies the next one
// as soon as it has released a target, so that the next one needn't wait
// until the view is settled, which it is once no entry can act on an earlier
// view any more.

package entry

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/target"
)

const (
	// MethodRelease notifies the next home of released targets.
	MethodRelease = "entry.release"

	releaseTimeout = time.Second
)

type (
	// Release states that the sender has released targets that belong to the
	// receiver under the given view.
	Release struct {
		View    uint64            `msgpack:"v"`
		Targets []target.Released `msgpack:"t"`
	}

	// Handover sends and receives releases. A lost release does no harm: the next
	// home then waits until the view is settled.
	Handover struct {
		self  string
		board *blackboard.Board
		home  *target.Home
		peers *Peers
		// wake requests a lease renewal, which brings a newer view.
		wake func()
	}
)

// NewHandover returns the handover of the entry with the given ID.
func NewHandover(self string, board *blackboard.Board, home *target.Home, peers *Peers) *Handover {
	return &Handover{self: self, board: board, home: home, peers: peers, wake: func() {}}
}

// Register accepts releases from other entries. It calls wake if a release names
// a view that this entry hasn't received yet.
func (handover *Handover) Register(server *frame.Server, wake func()) {
	handover.wake = wake
	frame.Handle(server, MethodRelease, func(_ context.Context, release *Release) (*Empty, error) {
		handover.handleRelease(release)
		return &Empty{}, nil
	})
}

// Release implements target.Releaser. It doesn't wait until another entry has
// received the release.
func (handover *Handover) Release(ctx context.Context, to membership.Member, view uint64, released []target.Released) {
	release := &Release{View: view, Targets: released}
	if to.ID == handover.self {
		handover.handleRelease(release)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		_, _ = frame.Call[Release, Empty](ctx, handover.peers.Client(to.PeerAddress), MethodRelease, release)
	}()
}

// handleRelease stores what a release states about its targets, and requests the view
// that it names if this entry hasn't received that view yet.
func (handover *Handover) handleRelease(release *Release) {
	handover.home.ReceiveReleases(release.Targets)
	for _, released := range release.Targets {
		if released.IsUpdate {
			continue
		}
		handover.board.Membership().Release(released.TargetID, release.View)
	}
	if handover.board.Membership().View().Number < release.View {
		handover.wake()
	}
}

// NotifyWithdrawal waits for the view in which this entry withdraws and notifies
// all other entries with an empty release, so that they fetch that view at once
// and not at their next renewal.
func (handover *Handover) NotifyWithdrawal(ctx context.Context) {
	for {
		view := handover.board.Membership().View()
		if member, present := view.Member(handover.self); !present || member.Stopping {
			handover.notify(ctx, &view)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

func (handover *Handover) notify(ctx context.Context, view *membership.View) {
	for _, member := range view.Members {
		if member.ID != handover.self {
			handover.Release(ctx, member, view.Number, nil)
		}
	}
}
