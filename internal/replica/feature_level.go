// Feature levels: builds of different levels may run in one group while its machines are replaced,
// and the leader uses a feature only once the whole group has it. docs/design/builds.md explains the
// choices.

package replica

import "time"

const (
	// LevelRollouts is the level from which on a build knows rollouts and tables with tenants.
	LevelRollouts = 1
	// LevelRequireKeys is the level from which on a build knows tables that need keys without any tenant.
	LevelRequireKeys = 2

	// BuildLevel is the feature level of this build, of its replicas and its entries. Builds before feature levels have level 0.
	BuildLevel = LevelRequireKeys
)

// featureLevel returns the lowest feature level of all members, voters or not, as far as this leader
// knows. It is 0 if this replica doesn't lead.
func (core *core) featureLevel() int {
	if core.role != roleLeader {
		return 0
	}
	lowest := core.level
	for _, member := range core.members() {
		lowest = min(lowest, core.memberLevel(member.ID))
	}
	return lowest
}

// memberLevel returns the level of a member: the one in its newest reply to this leader, or the one
// that it registered with its disk's generation if it hasn't replied in this term. A member that
// has done neither has level 0.
func (core *core) memberLevel(id string) int {
	if id == core.id {
		return core.level
	}
	if progress := core.progress[id]; progress != nil && progress.acknowledgedStamp > 0 {
		return progress.level
	}
	return core.PeerLevels[id]
}

// recordReply records that a replica of a level has answered a message. Replies may overtake each
// other, so the level is that of the reply to the newest message.
func (progress *progress) recordReply(stamp time.Duration, level int) {
	if stamp >= progress.acknowledgedStamp {
		progress.acknowledgedStamp, progress.level = stamp, level
	}
}

// registerLevel stores the level that a replica sent with a new generation of its disk.
func (core *core) registerLevel(id string, level int) {
	if level == 0 {
		delete(core.PeerLevels, id)
		return
	}
	if core.PeerLevels == nil {
		core.PeerLevels = map[string]int{}
	}
	core.PeerLevels[id] = level
}
