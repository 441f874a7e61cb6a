// This file exists so that the choice of snapshot and targets is a pure
// function of what the directory says.

package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// plan is the way in which one request is served: its snapshot, its
	// shards, and each shard's candidates in order of preference.
	plan struct {
		snapshot caller.Snapshot
		// total is the number of shards in the layout.
		total  int
		shards []shardPlan
	}

	shardPlan struct {
		shard      int
		candidates []target.Announcement
	}

	// snapshotTally counts the shards that a snapshot can cover.
	snapshotTally struct {
		snapshot caller.Snapshot
		total    int
		shards   map[int]bool
	}
)

// newPlan chooses the snapshot that covers the most shards, the newest of
// equals, and lists the candidates for each shard. It returns false where no
// target is known, so that the number of shards is unknown too.
func newPlan(announcements []target.Announcement, shardKey string, prefer func(a, b *target.Announcement) int) (*plan, bool) {
	tally, found := bestSnapshot(announcements)
	if !found {
		return nil, false
	}
	chosen := &plan{snapshot: tally.snapshot, total: tally.total}
	for shard := range tally.total {
		if shardKey != "" && shard != shardOf(shardKey, tally.total) {
			continue
		}
		chosen.shards = append(chosen.shards, shardPlan{
			shard:      shard,
			candidates: candidates(announcements, tally.snapshot, shard, prefer),
		})
	}
	return chosen, true
}

// shardOf returns the shard that owns a key.
func shardOf(shardKey string, shards int) int {
	return int(xxhash.Sum64String(shardKey) % uint64(shards))
}

func bestSnapshot(announcements []target.Announcement) (*snapshotTally, bool) {
	tallies := map[caller.Snapshot]*snapshotTally{}
	for index := range announcements {
		announcement := &announcements[index]
		for _, indexVersion := range announcement.IndexVersions {
			snapshot := caller.Snapshot{IndexVersion: indexVersion, Layout: announcement.Layout}
			tally, known := tallies[snapshot]
			if !known {
				tally = &snapshotTally{snapshot: snapshot, total: announcement.Shards, shards: map[int]bool{}}
				tallies[snapshot] = tally
			}
			tally.shards[announcement.Shard] = true
		}
	}
	var best *snapshotTally
	for _, tally := range tallies {
		if best == nil || tally.better(best) {
			best = tally
		}
	}
	return best, best != nil
}

func (snapshotTally *snapshotTally) better(other *snapshotTally) bool {
	share := len(snapshotTally.shards) * other.total
	otherShare := len(other.shards) * snapshotTally.total
	return cmp.Or(
		cmp.Compare(share, otherShare),
		cmp.Compare(snapshotTally.snapshot.IndexVersion, other.snapshot.IndexVersion),
		cmp.Compare(snapshotTally.snapshot.Layout, other.snapshot.Layout),
	) > 0
}

func candidates(announcements []target.Announcement, snapshot caller.Snapshot, shard int, prefer func(a, b *target.Announcement) int) []target.Announcement {
	var found []target.Announcement
	for index := range announcements {
		announcement := &announcements[index]
		if announcement.Layout == snapshot.Layout && announcement.Shard == shard && announcement.Serves(snapshot.IndexVersion) {
			found = append(found, *announcement)
		}
	}
	slices.SortFunc(found, func(a, b target.Announcement) int {
		return cmp.Or(prefer(&a, &b), cmp.Compare(a.ID, b.ID))
	})
	return found
}
