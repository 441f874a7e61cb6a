// Commands that older builds don't know are accepted only while the whole replica group knows them: an
// older replica would skip such a command, or drop a part of it, and might lead later. Entries of older
// builds get no lease under tables that they can't keep to.

package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// requiredLevel returns the feature level that all replicas need to apply a command.
func requiredLevel(command command) int {
	switch command := command.(type) {
	case changeTables:
		return tablesLevel(&command.Change.Tables)
	case startRollout, advanceRollout:
		return replica.LevelRollouts
	default:
		return 0
	}
}

// tablesLevel returns the feature level that replicas and entries need to keep to the tables.
func tablesLevel(tables *operator.Tables) int {
	switch {
	case tables.RequireKeys:
		return replica.LevelRequireKeys
	case len(tables.Tenants) > 0:
		return replica.LevelRollouts
	default:
		return 0
	}
}

// changeMethod returns the method by which a change that needs a feature level is sent. Builds of lower levels lack it; they would
// drop what they don't know and acknowledge the change.
func changeMethod(level int) string {
	switch level {
	case 0:
		return MethodChange
	case replica.LevelRollouts:
		return MethodLeveledChange
	default:
		return MethodRequireKeysChange
	}
}

// checkEntryLevels returns the reason to refuse a command while entries that don't know its effect
// hold a lease. Under tables with tenants they would get no further one, and serve nothing any more.
func (service *Service) checkEntryLevels(ctx context.Context, command command) error {
	required := requiredLevel(command)
	if required == 0 {
		return nil
	}
	tenure, err := service.currentTenure(ctx)
	if err != nil {
		return err
	}
	service.lock.Lock()
	defer service.lock.Unlock()
	var below []string
	for key, holder := range tenure.holders {
		if holder.live(time.Now()) && holder.level < required {
			below = append(below, key.id)
		}
	}
	if len(below) == 0 {
		return nil
	}
	slices.Sort(below)
	return fault.New(fault.Unavailable, fmt.Sprintf("this needs feature level %d, which these entries lack: %s", required, strings.Join(below, ", ")),
		"run the newer build on these entries, then try again")
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
