// Which queries give way when some shards can't serve all of them. The load that it answers: five of 36 shards have lost
// two of three targets, a query may miss one shard, and the queues of the targets that are left are full. If every shard
// serves other queries, hardly any is complete. So the same queries are left out everywhere, before anything is sent.

package policy

import (
	"sync"
	"time"
)

const (
	// maximumShardShare is the share of queries that a shard without trouble could take. The part above 1 absorbs
	// the refusals of a target whose queue is full for a moment.
	maximumShardShare = 1.5
	// shardWindow and shardWindowParts are the time and the number of parts over which a shard is judged, and
	// maximumShardWindow the time after which fewer parts suffice.
	shardWindow        = 500 * time.Millisecond
	shardWindowParts   = 8
	maximumShardWindow = 2 * time.Second
	// toleratedRefusals is the share of refused parts of a shard that isn't in trouble.
	toleratedRefusals = 0.05
	// shardDecrease is the part of the share of refused parts by which a shard's share shrinks in a window.
	shardDecrease = 0.5
	// leastShardShare is the lowest share, which shows when a shard serves queries again.
	leastShardShare = 0.1
	// firstShardGrowth is the growth of a share in a second after a window with no more refusals than tolerated.
	// It doubles with each further one, up to maximumShardGrowth.
	firstShardGrowth   = 0.05
	maximumShardGrowth = 0.4
)

type (
	// ShardLoads estimates the share of the queries that the targets of each shard have room for. The zero value
	// works.
	ShardLoads struct {
		lock   sync.Mutex
		shards map[string]*shardLoad
	}

	// shardLoad holds the share of a shard, its growth in a second, and the parts of the current window.
	shardLoad struct {
		share, growth  float64
		windowBegan    time.Time
		parts, refused int
	}
)

// Observe updates the estimate of a shard by the outcome of a request for a part. Refused is true if a target had no
// room for it. Parts that are late don't count against a shard: fewer queries may not be any faster.
func (shardLoads *ShardLoads) Observe(shard string, refused bool, now time.Time) {
	shardLoads.lock.Lock()
	defer shardLoads.lock.Unlock()
	load := shardLoads.shards[shard]
	if load == nil {
		if !refused {
			return
		}
		if shardLoads.shards == nil {
			shardLoads.shards = map[string]*shardLoad{}
		}
		load = &shardLoad{share: maximumShardShare, growth: firstShardGrowth, windowBegan: now}
		shardLoads.shards[shard] = load
	}
	load.parts++
	if refused {
		load.refused++
	}
	if load.closeWindow(now); load.parts == 0 && load.share >= maximumShardShare {
		delete(shardLoads.shards, shard)
	}
}

// Shares returns the share, 0 to 1, of the queries that each of the shards has room for.
func (shardLoads *ShardLoads) Shares(shards []string, now time.Time) []float64 {
	shardLoads.lock.Lock()
	defer shardLoads.lock.Unlock()
	shares := make([]float64, len(shards))
	for index, shard := range shards {
		shares[index] = 1
		if load := shardLoads.shards[shard]; load != nil {
			load.closeWindow(now)
			shares[index] = min(1, load.share)
		}
	}
	return shares
}

// closeWindow changes the share by the parts of the current window, once it has lasted long enough, and begins another.
func (load *shardLoad) closeWindow(now time.Time) {
	elapsed := now.Sub(load.windowBegan)
	if elapsed < shardWindow || load.parts < shardWindowParts && elapsed < maximumShardWindow {
		return
	}
	if refusedShare := float64(load.refused) / float64(max(1, load.parts)); refusedShare <= toleratedRefusals {
		load.share += load.growth * elapsed.Seconds()
		load.growth = min(maximumShardGrowth, 2*load.growth)
	} else {
		load.share = max(leastShardShare, load.share*(1-shardDecrease*refusedShare))
		load.share += firstShardGrowth * max(0, elapsed-maximumShardWindow).Seconds()
		load.growth = firstShardGrowth
	}
	load.share = min(maximumShardShare, load.share)
	load.windowBegan, load.parts, load.refused = now, 0, 0
}

// OmitShards returns the indexes of the shards that a query leaves out, or false if it is refused, because more shards
// than it may miss have no room for it. Random, a number in [0, 1), is one for the whole query, so that it is left out
// by all shards in trouble or by none.
func OmitShards(shares []float64, allowedMissing int, random float64) (omitted []int, admitted bool) {
	for index, share := range shares {
		if random >= share {
			omitted = append(omitted, index)
		}
	}
	if len(omitted) > max(0, allowedMissing) {
		return nil, false
	}
	return omitted, true
}
