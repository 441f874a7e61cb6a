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
		// failureDomain is that of this entry.
		failureDomain string
	}

	shardPlan struct {
		shard      int
		candidates []target.Announcement
	}

	// snapshotTally counts the shards that a snapshot can cover.
	snapshotTally struct {
		snapshot caller.Snapshot
		total    int
		// replicas counts the targets that serve each shard.
		replicas map[int]int
	}
)

// newPlan chooses the snapshot that covers the most shards; of equals the one
// that most shards hold twice, so that an index version that is only just
// arriving doesn't get all the load, and then the newest. It lists the
// candidates for each shard. It returns false where no
// target is known, so that the number of shards is unknown too.
func newPlan(announcements []target.Announcement, shardKey string) (*plan, bool) {
	tally, found := bestSnapshot(announcements)
	if !found {
		return nil, false
	}
	chosen := &plan{snapshot: tally.snapshot, total: tally.total}
	candidates := candidatesOf(announcements, tally.snapshot)
	for shard := range tally.total {
		if shardKey != "" && shard != shardOf(shardKey, tally.total) {
			continue
		}
		chosen.shards = append(chosen.shards, shardPlan{
			shard:      shard,
			candidates: candidates[shard],
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
				tally = &snapshotTally{snapshot: snapshot, total: announcement.Shards, replicas: map[int]int{}}
				tallies[snapshot] = tally
			}
			tally.replicas[announcement.Shard]++
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
	return cmp.Or(
		cmp.Compare(snapshotTally.share(1), other.share(1)),
		cmp.Compare(snapshotTally.share(2), other.share(2)),
		cmp.Compare(snapshotTally.snapshot.IndexVersion, other.snapshot.IndexVersion),
		cmp.Compare(snapshotTally.snapshot.Layout, other.snapshot.Layout),
	) > 0
}

// share returns the share of shards that at least so many targets serve.
func (snapshotTally *snapshotTally) share(replicas int) float64 {
	served := 0
	for _, count := range snapshotTally.replicas {
		if count >= replicas {
			served++
		}
	}
	return float64(served) / float64(snapshotTally.total)
}

// candidatesOf returns the replicas of each shard that serve a snapshot, in
// an order that doesn't depend on the directory's.
func candidatesOf(announcements []target.Announcement, snapshot caller.Snapshot) map[int][]target.Announcement {
	found := map[int][]target.Announcement{}
	for index := range announcements {
		announcement := &announcements[index]
		if announcement.Layout == snapshot.Layout && announcement.Serves(snapshot.IndexVersion) {
			found[announcement.Shard] = append(found[announcement.Shard], *announcement)
		}
	}
	for _, replicas := range found {
		slices.SortFunc(replicas, func(a, b target.Announcement) int { return cmp.Compare(a.ID, b.ID) })
	}
	return found
}
