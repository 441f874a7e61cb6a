// This file exists so that operators see every target with the reason for
// what the system does with it.

package operator

import (
	"cmp"
	"slices"
)

type (
	// Directory is what one entry knows of the targets.
	Directory struct {
		// Digest is equal at entries whose directories are equal.
		Digest  string         `json:"digest"`
		Targets []TargetStatus `json:"targets"`
	}

	// TargetStatus is what one entry knows of one target.
	TargetStatus struct {
		ID            string `json:"id"`
		Pool          string `json:"pool"`
		Layout        string `json:"layout"`
		Shard         int    `json:"shard"`
		FailureDomain string `json:"failure_domain"`
		Address       string `json:"address"`
		// State is what the target says of itself.
		State string `json:"state"`
		// Home is the entry that runs requests at the target, and Keeper the
		// one that takes its renewals.
		Home   string `json:"home"`
		Keeper string `json:"keeper"`
		// Usable states whether the target gets new work, and Reason says
		// why, in words.
		Usable bool   `json:"usable"`
		Reason string `json:"reason"`
	}
)

// Sort orders the targets by pool, shard and ID.
func (directory *Directory) Sort() {
	slices.SortFunc(directory.Targets, func(a, b TargetStatus) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.ID, b.ID))
	})
}
