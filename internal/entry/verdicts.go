// Distribution of crash verdicts, so that a request that crashes targets is
// quarantined at all entries within a second. A verdict says that a target was
// lost while it ran a request, or that a target has answered the request.

package entry

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

const (
	verdictTimeout    = 300 * time.Millisecond
	verdictRetryDelay = 50 * time.Millisecond
	// maximumVerdictAttempts bounds how often a verdict is sent to one entry.
	maximumVerdictAttempts = 20
)

// registerVerdicts accepts verdicts from other entries and sends this entry's
// verdicts to them.
func (homes *Homes) registerVerdicts(server *frame.Server) {
	verdicts := homes.board.Verdicts()
	frame.Handle(server, MethodVerdict, func(_ context.Context, verdict *blackboard.Verdict) (*Empty, error) {
		verdicts.Apply(*verdict)
		return &Empty{}, nil
	})
	verdicts.SetBroadcast(homes.broadcastVerdict)
}

func (homes *Homes) broadcastVerdict(verdict blackboard.Verdict) {
	for _, member := range homes.board.Membership().View().Members {
		if member.ID != homes.self {
			go homes.sendVerdict(member, &verdict)
		}
	}
}

// sendVerdict sends a verdict until the other entry has acknowledged it or the
// attempts are used up.
func (homes *Homes) sendVerdict(member membership.Member, verdict *blackboard.Verdict) {
	for range maximumVerdictAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
		_, err := frame.Call[blackboard.Verdict, Empty](ctx, homes.peers.Client(member.PeerAddress), MethodVerdict, verdict)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(verdictRetryDelay)
	}
}
