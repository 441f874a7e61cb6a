// Package relay sends attempts at targets through other entries, for an entry that has lost its own
// links to them. The entry that coordinates a request keeps its deadlines, budgets and limits; the
// other one lends its connection and never passes the attempt on.
package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// MethodSend is the peer method that sends an attempt.
	MethodSend = "relay.send"
	// MethodReach is the peer method that asks whether an entry has a link to a target.
	MethodReach = "relay.reach"

	// maximumEntries bounds the entries that are tried for one attempt.
	maximumEntries = 6
	// sufficientEntries is the number of entries with links to other targets that find the target out
	// of reach before it is taken to be down.
	sufficientEntries = 2
	// startLimit is the time since an attempt was sent to another entry within which that one begins it. Its caller may leave at
	// any time, and targets are to get nothing half a second after that.
	startLimit = 400 * time.Millisecond
	// reachTimeout bounds the question whether an entry has a link.
	reachTimeout = 400 * time.Millisecond
	// reachEntries is the number of entries that are asked.
	reachEntries = 5

	// Results of an attempt, as label values.
	resultNoEntry = "no_entry"
)

type (
	// Options describe the entry.
	Options struct {
		// Self is the ID of the entry.
		Self          string
		FailureDomain string
		Region        string
		// Regions maps each failure domain to its region.
		Regions map[string]string
		// Client returns the client of the entry at a peer address.
		Client func(address string) *frame.Client
	}

	// Relay implements httptarget.Relay, and serves other entries. Construct it with New.
	Relay struct {
		options   Options
		board     *blackboard.Board
		directory *httptarget.Directory
		sender    *httptarget.Sender
		logger    *zap.Logger
		metrics   *metrics.Metrics
		entries   entryStates
		rankings  rankings
		// isSpare reports whether an entry has no connections to lend; nil means that all have some.
		isSpare func(entryID string) bool
		// stopsWithin returns for how long this entry still serves, and whether it stops.
		stopsWithin func() (time.Duration, bool)
	}
)

// New returns a relay and makes the sender use it.
func New(options Options, board *blackboard.Board, directory *httptarget.Directory, sender *httptarget.Sender, logger *zap.Logger, metrics *metrics.Metrics) *Relay {
	relay := &Relay{options: options, board: board, directory: directory, sender: sender, logger: logger, metrics: metrics}
	sender.UseRelay(relay)
	return relay
}

// Register serves other entries. The function limit returns the number of connections that this entry
// may open to a target, isSpare reports whether an entry has none to lend, and stopsWithin returns for how long this
// entry still serves and whether it stops. It must be called before the first attempt.
func (relay *Relay) Register(server *frame.Server, limit func(target *httptarget.Target) int, isSpare func(entryID string) bool, stopsWithin func() (time.Duration, bool)) {
	relay.isSpare, relay.stopsWithin = isSpare, stopsWithin
	frame.Handle(server, MethodSend, func(ctx context.Context, attempt *Attempt) (*Reply, error) {
		return relay.serveAttempt(ctx, attempt, limit), nil
	})
	frame.Handle(server, MethodReach, func(ctx context.Context, question *Question) (*Link, error) {
		target := relay.directory.Find(question.TargetID, question.StartedAt)
		return &Link{Up: target != nil && relay.sender.Connects(ctx, target)}, nil
	})
}

// Send implements httptarget.Relay.
func (relay *Relay) Send(ctx context.Context, target *httptarget.Target, request *httptarget.Request, deadline time.Time, pinned bool) (httptarget.Outcome, bool) {
	attempt := newAttempt(target, request)
	outOfReach := 0
	candidates := relay.candidates(target.FailureDomain(), pinned, request.AllowsRegion)
	var busy httptarget.Outcome
	for _, entry := range candidates[:min(len(candidates), maximumEntries)] {
		// Those that are avoided stand last.
		if relay.entries.avoids(entry.PeerAddress, time.Now()) || outOfReach == sufficientEntries || ctx.Err() != nil || !time.Now().Before(deadline) {
			break
		}
		outcome, sent, hasLinks := relay.sendThrough(ctx, entry, attempt, deadline)
		if sent && isBusy(outcome) {
			// Another entry may have a free connection.
			busy = outcome
			continue
		}
		if sent {
			relay.count(outcome)
			return outcome, true
		}
		if hasLinks {
			outOfReach++
		}
	}
	if busy != nil {
		relay.count(busy)
		return busy, true
	}
	relay.metrics.RelayedAttempts().WithLabelValues(resultNoEntry).Inc()
	return nil, false
}

func isBusy(outcome httptarget.Outcome) bool {
	refused, isRefused := outcome.(*httptarget.Refused)
	return isRefused && refused.Reason == httptarget.Busy
}

// sendThrough sends an attempt through one entry. It also reports whether the entry has sent it and, if
// it hasn't and won't, whether it has links to other targets.
func (relay *Relay) sendThrough(ctx context.Context, entry *membership.Member, attempt *Attempt, deadline time.Time) (outcome httptarget.Outcome, sent, hasLinks bool) {
	callContext, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	attempt.Timeout = time.Until(deadline)
	end := relay.entries.begin(entry.PeerAddress)
	reply, err := frame.CallWithin[Attempt, Reply](callContext, relay.options.Client(entry.PeerAddress), startLimit, MethodSend, attempt)
	switch {
	case err == nil && reply.NoLink && reply.NoLinks:
		end(avoidEntry)
		return nil, false, false
	case err == nil && reply.NoLink:
		end(keepEntry)
		return nil, false, true
	case err == nil:
		end(keepEntry)
		return reply.outcome(), true, true
	case httptarget.ContextError(ctx) != nil && errors.Is(err, frame.ErrNotSent):
		// The caller has left, which says nothing about the entry.
		end(ignoreEntry)
		return nil, false, false
	case errors.Is(err, frame.ErrNotSent), isRejected(err):
		end(avoidEntry)
		return nil, false, false
	case httptarget.ContextError(ctx) != nil, errors.Is(err, context.DeadlineExceeded):
		// The target may have been slow.
		end(ignoreEntry)
	default:
		relay.logger.Info("attempt sent through another entry was lost", zap.String("entry", entry.ID), zap.String("target", attempt.TargetID), zap.String("request", attempt.RequestID), zap.Error(err))
		end(avoidEntry)
	}
	return &httptarget.Lost{Sent: true, Cause: err}, true, false
}

// isRejected reports whether the other entry rejected a call, for example because its release doesn't know
// the method. A defect doesn't count, because it may have happened after the attempt was sent.
func isRejected(err error) bool {
	var rejected *fault.Error
	return errors.As(err, &rejected) && rejected.Kind != fault.Internal
}

// Reaches implements httptarget.Relay. It asks several entries, because the first may have lost their
// links as well.
func (relay *Relay) Reaches(ctx context.Context, target *httptarget.Target) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reachTimeout)
	defer cancel()
	question := &Question{TargetID: target.ID(), StartedAt: target.StartedAt()}
	candidates := relay.candidates(target.FailureDomain(), false, nil)
	links := make(chan bool, reachEntries)
	asked := candidates[:min(len(candidates), reachEntries)]
	for _, entry := range asked {
		go func() {
			link, err := frame.Call[Question, Link](ctx, relay.options.Client(entry.PeerAddress), MethodReach, question)
			links <- err == nil && link.Up
		}()
	}
	for range asked {
		if <-links {
			return true
		}
	}
	return false
}

// serveAttempt sends an attempt for another entry, over this entry's own link.
func (relay *Relay) serveAttempt(ctx context.Context, attempt *Attempt, limit func(target *httptarget.Target) int) *Reply {
	target := relay.directory.Find(attempt.TargetID, attempt.StartedAt)
	if target == nil {
		return &Reply{NoLink: true}
	}
	tables, _ := relay.board.InForce().Tables()
	if !target.Admits(time.Now()) || tables.IsOut(target.FailureDomain()) {
		return &Reply{Kind: replyRefused, Reason: httptarget.Limited}
	}
	if left, stops := relay.stopsWithin(); stops && left < attempt.Timeout {
		condition := target.Condition(time.Now())
		if !policy.EndsBeforeStop(condition.UsualLatency, condition.Measured, left) {
			return &Reply{NoLink: true, NoLinks: true}
		}
		attempt.Timeout = left
	}
	deadline := time.Now().Add(attempt.Timeout)
	if callDeadline, hasDeadline := ctx.Deadline(); hasDeadline && callDeadline.Before(deadline) {
		// The attempt was on its way for a while.
		deadline = callDeadline
	}
	// A spare entry may open no connection for its own requests. Those of an entry without links need one all the
	// same: the connections of that entry lie unused.
	connections := max(1, limit(target))
	reply := &Reply{NoLink: true}
	if !relay.sender.LinkLost(target, connections) {
		request := attempt.request()
		request.StartBy(frame.StartBy(ctx))
		reply = newReply(relay.sender.SendDirectly(ctx, target, request, deadline, connections))
	}
	reply.NoLinks = reply.NoLinks || reply.NoLink && !relay.sender.HasLinks()
	return reply
}

func (relay *Relay) count(outcome httptarget.Outcome) {
	result := "answered"
	switch outcome := outcome.(type) {
	case *httptarget.Refused:
		result = outcome.Reason.String()
	case *httptarget.Lost:
		result = "lost"
	}
	relay.metrics.RelayedAttempts().WithLabelValues(result).Inc()
}
