// Commands that older builds don't know are accepted only while the whole replica group knows them: an
// older replica would skip such a command, or drop a part of it, and might lead later.

package control

import (
	"fmt"
	"strings"

	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// requiredLevel returns the feature level that all replicas need to apply a command.
func requiredLevel(command command) int {
	switch command := command.(type) {
	case changeTables:
		if len(command.Change.Tables.Tenants) > 0 {
			return replica.LevelRollouts
		}
		return 0
	default:
		return 0
	}
}

// checkFeatureLevel returns the reason to refuse a command that not all replicas of the group would
// apply. A replica that doesn't lead knows no levels, so its caller is sent to the leader.
func checkFeatureLevel(log Log, command command) error {
	required := requiredLevel(command)
	if required == 0 || log.FeatureLevel() >= required {
		return nil
	}
	if _, leading := log.Term(); !leading {
		return &replica.NotLeadingError{}
	}
	return fault.New(fault.Unavailable,
		fmt.Sprintf("this needs feature level %d, which not all control replicas have shown yet (%s)", required, strings.Join(replicasBelow(log, required), ", ")),
		"run the newer build on these replicas, or remove those that are gone, then try again")
}

// replicasBelow returns the IDs of the replicas below a feature level, with their levels.
func replicasBelow(log Log, required int) []string {
	var below []string
	for _, member := range log.Status().Replicas {
		if member.Level < required {
			below = append(below, fmt.Sprintf("%s: level %d", member.ID, member.Level))
		}
	}
	return below
}
