// Which queries give way when some shards can't serve all of them. The load that it answers: five of 36 shards have lost
// two of three targets, a query may miss one shard, and the queues of the targets that are left are so long that each
// part comes too late. If every shard serves other queries in time, hardly any query is complete. So the same queries
// are left out everywhere, before anything is sent.

package policy

import (
	"sync"
	"time"
)

const (
	// maximumShardShare is the share of queries that a shard without trouble could take. The part above 1 absorbs
	// single late parts, as while one target pauses.
	maximumShardShare = 1.5
	// shardWindow and shardWindowParts are the time and the number of parts over which a shard is judged, and
	// maximumShardWindow the time after which fewer parts suffice.
	shardWindow        = 500 * time.Millisecond
	shardWindowParts   = 8
	maximumShardWindow = 2 * time.Second
	// toleratedFailures is the share of failed parts of a shard that isn't in trouble.
	toleratedFailures = 0.05
	// shardDecrease is the part of the share of failed parts by which a shard's share shrinks in a window.
	shardDecrease = 0.5
	// leastFullShare and leastLateShare are the lowest shares of a shard whose targets refuse requests for want of
	// room, and of one whose parts are late. Late parts don't prove that fewer queries would be faster.
	leastFullShare = 0.1
	leastLateShare = 0.5
	// firstShardGrowth is the growth of a share in a second after a window with no more failed parts than tolerated.
	// It doubles with each further one, up to maximumShardGrowth.
	firstShardGrowth   = 0.05
	maximumShardGrowth = 0.4
)

const (
	// PartInTime means that a part arrived within the target latency of its query.
	PartInTime PartOutcome = iota + 1
	// PartLate means that a part was late or didn't arrive.
	PartLate
	// PartRefused means that a target had no room for the request.
	PartRefused
)

type (
	// PartOutcome is what became of the request for one part of a query.
	PartOutcome uint8

	// ShardLoads estimates the share of the queries that each shard can serve in time. The zero value works.
	ShardLoads struct {
		lock   sync.Mutex
		shards map[string]*shardLoad
	}

	// shardLoad holds the share of a shard, its growth in a second, and the parts of the current window.
	shardLoad struct {
		share, growth float64
		windowBegan   time.Time
		parts, failed int
		refused       bool
	}
)

// Observe updates the estimate of a shard.
func (shardLoads *ShardLoads) Observe(shard string, outcome PartOutcome, now time.Time) {
	shardLoads.lock.Lock()
	defer shardLoads.lock.Unlock()
	load := shardLoads.shards[shard]
	if load == nil {
		if outcome == PartInTime {
			return
		}
		if shardLoads.shards == nil {
			shardLoads.shards = map[string]*shardLoad{}
		}
		load = &shardLoad{share: maximumShardShare, growth: firstShardGrowth, windowBegan: now}
		shardLoads.shards[shard] = load
	}
	load.parts++
	if outcome != PartInTime {
		load.failed++
	}
	load.refused = load.refused || outcome == PartRefused
	if load.closeWindow(now); load.share >= maximumShardShare && load.parts == 0 {
		delete(shardLoads.shards, shard)
	}
}

// Shares returns the share, 0 to 1, of the queries that each of the shards can serve.
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
	if failedShare := float64(load.failed) / float64(max(1, load.parts)); failedShare <= toleratedFailures {
		load.share += load.growth * elapsed.Seconds()
		load.growth = min(maximumShardGrowth, 2*load.growth)
	} else {
		least := leastLateShare
		if load.refused {
			least = leastFullShare
		}
		load.share = max(min(least, load.share), load.share*(1-shardDecrease*failedShare))
		load.share += firstShardGrowth * max(0, elapsed-maximumShardWindow).Seconds()
		load.growth = firstShardGrowth
	}
	load.share = min(maximumShardShare, load.share)
	load.windowBegan, load.parts, load.failed, load.refused = now, 0, 0, false
}

// OmitShards returns the indexes of the shards that a query leaves out, or false if it would miss more than allowed
// and is refused instead. Random, a number in [0, 1), is one for the whole query, so that it is left out by
// all shards in trouble or by none.
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
