// This file exists so that what one entry learns of a target is known at all
// entries.

package entry

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	targetapi "gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	spreadTimeout = time.Second
)

type (
	// Spreader sends announcements to the other entries.
	Spreader struct {
		self  string
		board *blackboard.Board
		peers *Peers
	}
)

// NewSpreader returns the spreader of the entry with the given ID.
func NewSpreader(self string, board *blackboard.Board, peers *Peers) *Spreader {
	return &Spreader{self: self, board: board, peers: peers}
}

// Register takes announcements from other entries.
func (spreader *Spreader) Register(server *frame.Server) {
	frame.Handle(server, MethodAnnounce, func(_ context.Context, received *Announcements) (*Empty, error) {
		for _, announcement := range received.Announcements {
			if announcement.Check() == nil {
				_, _ = spreader.board.Directory().Put(announcement)
			}
		}
		return &Empty{}, nil
	})
}

// Spread sends an announcement to every other entry.
func (spreader *Spreader) Spread(ctx context.Context, announcement targetapi.Announcement) {
	message := &Announcements{Announcements: []targetapi.Announcement{announcement}}
	for _, member := range spreader.board.Membership().View().Members {
		if member.ID == spreader.self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTimeout)
			defer cancel()
			_, _ = frame.Call[Announcements, Empty](ctx, spreader.peers.Client(member.PeerAddress), MethodAnnounce, message)
		}()
	}
}
