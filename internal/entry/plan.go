// Plan of a request: its snapshot and the candidates for each shard, as a
// pure function of the announcements in the directory.

package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// plan is how one request is served: its snapshot, its shards, and the
	// candidates for each shard.
	plan struct {
		snapshot caller.Snapshot
		// total is the number of shards in the layout.
		total  int
		shards []shardPlan
		// failureDomain is the failure domain of this entry.
		failureDomain string
	}

	// shardPlan holds the candidates for one shard, by the number of the shard in the
	// layout.
	shardPlan struct {
		number     int
		candidates []target.Announcement
	}

	// snapshotTally counts the replicas of each shard that serve a snapshot.
	snapshotTally struct {
		snapshot caller.Snapshot
		// total is the number of shards in the layout.
		total int
		// replicas counts the targets that serve each shard.
		replicas map[int]int
	}
)

// newPlan chooses a snapshot and lists the candidates for each shard. It prefers
// the snapshot that covers the most shards, then the one that covers the most
// shards by at least two replicas, so that an index version that has just begun
// to arrive doesn't get all the load, and then the newest. It returns false if no
// target is known, because the number of shards is then unknown too. If shardKey
// isn't empty, the plan contains only the shard that owns the key.
func newPlan(announcements []target.Announcement, shardKey string) (*plan, bool) {
	tally, found := bestSnapshot(announcements)
	if !found {
		return nil, false
	}
	chosen := &plan{snapshot: tally.snapshot, total: tally.total}
	candidates := candidatesByShard(announcements, tally.snapshot)
	for shard := range tally.total {
		if shardKey != "" && shard != shardOf(shardKey, tally.total) {
			continue
		}
		chosen.shards = append(chosen.shards, shardPlan{
			number:     shard,
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
		if best == nil || tally.betterThan(best) {
			best = tally
		}
	}
	return best, best != nil
}

func (snapshotTally *snapshotTally) betterThan(other *snapshotTally) bool {
	return cmp.Or(
		cmp.Compare(snapshotTally.shareServedBy(1), other.shareServedBy(1)),
		cmp.Compare(snapshotTally.shareServedBy(2), other.shareServedBy(2)),
		cmp.Compare(snapshotTally.snapshot.IndexVersion, other.snapshot.IndexVersion),
		cmp.Compare(snapshotTally.snapshot.Layout, other.snapshot.Layout),
	) > 0
}

// shareServedBy returns the share of the shards that are served by at least the given
// number of replicas.
func (snapshotTally *snapshotTally) shareServedBy(replicas int) float64 {
	served := 0
	for _, count := range snapshotTally.replicas {
		if count >= replicas {
			served++
		}
	}
	return float64(served) / float64(snapshotTally.total)
}

// candidatesByShard returns the replicas of each shard that serve a snapshot,
// ordered by ID, so that the order doesn't depend on that of the directory.
func candidatesByShard(announcements []target.Announcement, snapshot caller.Snapshot) map[int][]target.Announcement {
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
