package operator

import (
	"cmp"
	"slices"
)

type (
	// Directory lists all targets in one entry's directory, each with the reason
	// why it is usable or not.
	Directory struct {
		// Digest is equal for entries with equal directories.
		Digest  string         `json:"digest"`
		Targets []TargetStatus `json:"targets"`
	}

	// TargetStatus is the status of one target in an entry's directory.
	TargetStatus struct {
		ID            string `json:"id"`
		Pool          string `json:"pool"`
		Layout        string `json:"layout"`
		Shard         int    `json:"shard"`
		FailureDomain string `json:"failure_domain"`
		Address       string `json:"address"`
		// State is the state that the target announced.
		State string `json:"state"`
		// Home is the entry that sends runs to the target, and Keeper is the
		// entry that receives its announcements.
		Home   string `json:"home"`
		Keeper string `json:"keeper"`
		// Usable is true if the target gets new work, and Reason explains
		// why or why not.
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
