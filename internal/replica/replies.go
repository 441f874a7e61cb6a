// Replies to proposals and confirmations, and the status that the driver publishes.

package replica

import (
	"slices"

	"go.uber.org/zap"
)

type (
	// pendingConfirm is a Confirm call that has not been answered yet.
	pendingConfirm struct {
		pendingRead
		reply chan outcome
	}
)

// refusal returns the error that says why this replica can't act as leader, or nil if it can.
func (driver *driver) refusal() error {
	if driver.haltReason != nil {
		return driver.haltReason
	}
	if !driver.core.canPropose() {
		return &NotLeadingError{leaderID: driver.core.leaderID, leaderAddress: driver.core.leaderPeerAddress}
	}
	return nil
}

func (driver *driver) propose(commands [][]byte, replies []chan outcome) {
	if len(commands) == 0 {
		return
	}
	if err := driver.refusal(); err != nil {
		for _, reply := range replies {
			reply <- outcome{err: err}
		}
		return
	}
	if driver.pendingProposals == nil {
		driver.pendingProposals = map[uint64]chan outcome{}
	}
	first := driver.core.log.lastIndex() + 1
	driver.proposalTerm = driver.core.Term
	for position, reply := range replies {
		driver.pendingProposals[first+uint64(position)] = reply
	}
	driver.core.step(driver.now(), proposed{commands: commands})
}

func (driver *driver) confirm(reply chan outcome) {
	if err := driver.refusal(); err != nil {
		reply <- outcome{err: err}
		return
	}
	driver.pendingConfirms = append(driver.pendingConfirms, pendingConfirm{pendingRead: driver.core.beginRead(), reply: reply})
}

// answerPending replies to the pending calls whose outcome is known.
func (driver *driver) answerPending() {
	leading := driver.haltReason == nil && driver.core.role == roleLeader
	if !leading || driver.core.Term != driver.proposalTerm {
		for index, reply := range driver.pendingProposals {
			reply <- outcome{err: outcomeUnknown()}
			delete(driver.pendingProposals, index)
		}
	}
	waiting := driver.pendingConfirms[:0]
	for _, pending := range driver.pendingConfirms {
		err := driver.refusal()
		switch {
		case err != nil:
			pending.reply <- outcome{err: err}
		case driver.core.readConfirmed(pending.pendingRead):
			pending.reply <- outcome{}
		default:
			waiting = append(waiting, pending)
		}
	}
	driver.pendingConfirms = waiting
}

// publish publishes the replica's status, and logs the group if it has changed.
func (driver *driver) publish() {
	core := driver.core
	leading := driver.haltReason == nil && core.role == roleLeader
	published := &publishedState{status: Status{
		ID: core.id, Term: core.Term, Leading: leading,
		LeaderID: core.leaderID, LeaderAddress: core.leaderPeerAddress, Applied: core.applied,
	}}
	if leading {
		published.leadingSince, published.featureLevel = core.leadingSince, core.featureLevel()
	}
	for _, member := range core.members() {
		published.status.Replicas = append(published.status.Replicas, core.statusOf(member))
	}
	previous := driver.replica.published.Load()
	published.leaderChanged = previous.leaderChanged
	if published.status.LeaderAddress != previous.status.LeaderAddress {
		published.leaderChanged = make(chan struct{})
		defer close(previous.leaderChanged)
	}
	driver.replica.published.Store(published)
	if published.featureLevel != previous.featureLevel && leading && previous.status.Leading {
		driver.replica.options.Logger.Info("feature level of the group", zap.Int("from", previous.featureLevel), zap.Int("to", published.featureLevel))
	}
	driver.logGroupChange(&previous.status, &published.status)
}

// logGroupChange logs the group as this replica sees it if it has changed.
func (driver *driver) logGroupChange(previous, current *Status) {
	if previous.ID == current.ID && previous.Term == current.Term && previous.LeaderID == current.LeaderID && slices.EqualFunc(previous.Replicas, current.Replicas, sameMember) {
		return
	}
	members := make([]string, 0, len(current.Replicas))
	for _, member := range current.Replicas {
		text := member.ID
		if !member.Voter {
			text += " (learner)"
		}
		members = append(members, text)
	}
	driver.replica.options.Logger.Info("group", zap.String("replica", current.ID), zap.Uint64("term", current.Term), zap.String("leader", current.LeaderID),
		zap.Bool("leading", current.Leading), zap.Uint64("applied", current.Applied), zap.Strings("members", members))
}

func sameMember(previous, current MemberStatus) bool {
	return previous.ID == current.ID && previous.Address == current.Address && previous.Voter == current.Voter
}
