// This file exists so that each caller gets its answer once it is certain.

package replica

import (
	"slices"

	"go.uber.org/zap"
)

type (
	// confirmation is a Confirm that waits.
	confirmation struct {
		reading
		reply chan outcome
	}
)

// refusal returns why this replica can't act as leader, or nil.
func (driver *driver) refusal() error {
	if driver.failed != nil {
		return driver.failed
	}
	if !driver.core.canPropose() {
		return &NotLeadingError{leaderID: driver.core.leader, leaderAddress: driver.core.leaderPlace}
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
	if driver.proposals == nil {
		driver.proposals = map[uint64]chan outcome{}
	}
	first := driver.core.log.last() + 1
	driver.proposalTerm = driver.core.Term
	for position, reply := range replies {
		driver.proposals[first+uint64(position)] = reply
	}
	driver.core.step(driver.now(), proposed{commands: commands})
}

func (driver *driver) confirm(reply chan outcome) {
	if err := driver.refusal(); err != nil {
		reply <- outcome{err: err}
		return
	}
	driver.confirmations = append(driver.confirmations, confirmation{reading: driver.core.read(), reply: reply})
}

// settle answers what can be answered by now.
func (driver *driver) settle() {
	leading := driver.failed == nil && driver.core.role == roleLeader
	if !leading || driver.core.Term != driver.proposalTerm {
		for index, reply := range driver.proposals {
			reply <- outcome{err: outcomeUnknown()}
			delete(driver.proposals, index)
		}
	}
	waiting := driver.confirmations[:0]
	for _, confirmation := range driver.confirmations {
		err := driver.refusal()
		switch {
		case err != nil:
			confirmation.reply <- outcome{err: err}
		case driver.core.holdsAll(confirmation.reading):
			confirmation.reply <- outcome{}
		default:
			waiting = append(waiting, confirmation)
		}
	}
	driver.confirmations = waiting
}

func (driver *driver) publish() {
	core := driver.core
	leading := driver.failed == nil && core.role == roleLeader
	published := &view{status: Status{
		ID: core.id, Term: core.Term, Leading: leading,
		LeaderID: core.leader, LeaderAddress: core.leaderPlace, Applied: core.applied,
	}}
	if leading {
		published.leadingSince = core.leadingSince
	}
	for _, member := range core.members() {
		published.status.Replicas = append(published.status.Replicas, core.statusOf(member))
	}
	former := driver.replica.view.Swap(published)
	driver.report(&former.status, &published.status)
}

// report logs what this replica believes of the group where that has changed.
func (driver *driver) report(former, present *Status) {
	if former.ID == present.ID && former.Term == present.Term && former.LeaderID == present.LeaderID && slices.EqualFunc(former.Replicas, present.Replicas, sameMember) {
		return
	}
	members := make([]string, 0, len(present.Replicas))
	for _, member := range present.Replicas {
		text := member.ID
		if !member.Voter {
			text += " (learner)"
		}
		members = append(members, text)
	}
	driver.replica.options.Logger.Info("group", zap.String("replica", present.ID), zap.Uint64("term", present.Term), zap.String("leader", present.LeaderID),
		zap.Bool("leading", present.Leading), zap.Uint64("applied", present.Applied), zap.Strings("members", members))
}

func sameMember(former, present MemberStatus) bool {
	return former.ID == present.ID && former.Address == present.Address && former.Voter == present.Voter
}
