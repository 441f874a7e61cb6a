// Confirmation of a home without a lease. While control has no leader no entry has a lease, and homes that
// stopped counting would refuse most requests of every tenant.

package permit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

const (
	// MethodView is the peer method that asks an entry for the number of its newest view.
	MethodView = "permit.view"

	// confirmEntries is the number of entries that a home without a lease asks whether there is a newer
	// view, in which it may not be the home, and confirmReplies the number that must reply.
	confirmEntries = 10
	confirmReplies = 5
	// confirmInterval is the interval between such questions, and confirmSpan how long the replies count.
	confirmInterval = 500 * time.Millisecond
	confirmSpan     = 1500 * time.Millisecond
)

type (
	// ViewNumber is the number of the newest view that an entry has.
	ViewNumber struct {
		Number uint64 `msgpack:"n"`
	}

	// confirmation is what other entries say of the view of a home without a lease. The zero value works.
	confirmation struct {
		lock        sync.Mutex
		askedAt     time.Time
		confirmedAt time.Time
	}
)

// confirmsHome reports whether several other entries lately knew no newer view than this entry, so that it may
// go on as a home without a lease. It asks them in the background.
func (permits *Permits) confirmsHome() bool {
	permits.confirmation.lock.Lock()
	defer permits.confirmation.lock.Unlock()
	now := time.Now()
	if permits.confirmation.askedAt.IsZero() || now.Sub(permits.confirmation.askedAt) >= confirmInterval {
		permits.confirmation.askedAt = now
		go permits.askForViews(now)
	}
	confirmedAt := permits.confirmation.confirmedAt
	// Either clock may have stopped while the VM was frozen.
	return !confirmedAt.IsZero() && now.Sub(confirmedAt) < confirmSpan && now.Round(0).Sub(confirmedAt.Round(0)) < confirmSpan
}

// askForViews asks some entries for the numbers of their views.
func (permits *Permits) askForViews(askedAt time.Time) {
	view := permits.board.Membership().View()
	order := rand.Perm(len(view.Members))
	ctx, cancel := context.WithTimeout(context.Background(), accountTimeout)
	defer cancel()
	numbers := make(chan uint64, confirmEntries)
	asked := 0
	for _, index := range order {
		member := view.Members[index]
		if member.ID == permits.self || asked == confirmEntries {
			continue
		}
		asked++
		go func() {
			reply, err := frame.Call[Empty, ViewNumber](ctx, permits.client(member.PeerAddress), MethodView, new(Empty))
			if err != nil {
				numbers <- 0
				return
			}
			numbers <- reply.Number
		}()
	}
	replies, newest := 0, uint64(0)
	for range asked {
		if number := <-numbers; number > 0 {
			replies++
			newest = max(newest, number)
		}
	}
	confirmed := replies >= min(confirmReplies, asked) && newest <= view.Number && asked > 0
	permits.confirmation.lock.Lock()
	wasConfirmed := !permits.confirmation.confirmedAt.IsZero()
	if confirmed {
		permits.confirmation.confirmedAt = askedAt
	} else {
		permits.confirmation.confirmedAt = time.Time{}
	}
	permits.confirmation.lock.Unlock()
	if confirmed != wasConfirmed {
		permits.logger.Info("home without a lease asked other entries for their views", zap.Bool("goes_on", confirmed), zap.Int("replies", replies),
			zap.Uint64("view", view.Number), zap.Uint64("newest", newest))
	}
}
