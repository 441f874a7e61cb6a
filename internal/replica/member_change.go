// Changes of members with their reasons, which logs and metrics report.

package replica

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	changeAdd     changeKind = "add"
	changePromote changeKind = "promote"
	changeRemove  changeKind = "remove"
)

const (
	reasonOperator changeReason = "operator"
	// reasonNewAddress and reasonSameAddress are additions of a replica that says hello, at an address of its own or at that of an
	// unreachable member.
	reasonNewAddress  changeReason = "new_address"
	reasonSameAddress changeReason = "same_address"
	reasonCaughtUp    changeReason = "caught_up"
	// reasonReplaced is the removal of an unreachable member whose successor at the same address has caught up.
	reasonReplaced           changeReason = "replaced"
	reasonUnreachableLearner changeReason = "unreachable_learner"
	// reasonEvenGroup and reasonSeveralUnreachable are removals of an unreachable voter; see removalCandidate.
	reasonEvenGroup          changeReason = "even_group"
	reasonSeveralUnreachable changeReason = "several_unreachable"
	// reasonBeforePromotion is the removal of an unreachable voter that makes room for a learner; see promote.
	reasonBeforePromotion changeReason = "before_promotion"
)

type (
	changeKind   string
	changeReason string

	// memberChange is a change of members that a leader has appended to its log.
	memberChange struct {
		kind   changeKind
		reason changeReason
		member member
		// unreachableFor is the time since the member was last known to be up. It is 0 for one that is added or up.
		unreachableFor time.Duration
		// match is the last index that is known to be durable on the member, and commit the leader's commit index.
		match  uint64
		commit uint64
	}
)

// changeMember appends and replicates the list of members with one change.
func (core *core) changeMember(now time.Time, kind changeKind, reason changeReason, changed member) {
	change := memberChange{kind: kind, reason: reason, member: changed, commit: core.commit}
	if progress := core.progress[changed.ID]; progress != nil {
		change.match = progress.match
	}
	members := core.membersWithout(changed.ID)
	switch kind {
	case changeAdd:
		members = append(members, changed)
	case changePromote:
		changed.Voter = true
		members = append(members, changed)
	case changeRemove:
	}
	if kind != changeAdd && !core.isUp(now, changed.ID) {
		change.unreachableFor = now.Sub(core.lastReachable(changed.ID))
	}
	core.out.memberChanges = append(core.out.memberChanges, change)
	if kind == changeRemove {
		delete(core.progress, changed.ID)
	}
	core.setMembers(now, members)
}

// setMembers appends and replicates a new list of members. It sorts its argument by ID.
func (core *core) setMembers(now time.Time, members []member) {
	slices.SortFunc(members, func(left, right member) int {
		if left.ID < right.ID {
			return -1
		}
		return 1
	})
	core.appendAsLeader(entry{Kind: entryMembers, Data: encodeMembers(members)})
	core.replicateAll(now)
}

// reportMemberChanges logs and counts changes of members.
func (driver *driver) reportMemberChanges(changes []memberChange) {
	for _, change := range changes {
		driver.replica.options.Logger.Info("group change", zap.String("change", string(change.kind)), zap.String("reason", string(change.reason)),
			zap.String("member", change.member.ID), zap.String("address", change.member.Address), zap.Duration("unreachable_for", change.unreachableFor),
			zap.Uint64("match", change.match), zap.Uint64("commit", change.commit))
		if count := driver.replica.options.CountMemberChange; count != nil {
			count(string(change.kind), string(change.reason))
		}
	}
}
