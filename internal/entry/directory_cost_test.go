package entry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// hop is the delay of a batch and a way of 12 ms between regions.
	hop         = batchDelay + 12*time.Millisecond
	quietSpan   = 20 * time.Second
	churnSpan   = 120 * time.Second
	restartGap  = 24 * time.Hour / 1700
	costDomains = 8
	costSeed    = 1
	// callBytes and replyBytes are what frame adds to the bodies of a call and
	// its reply.
	callBytes, replyBytes = 40, 14
	// relayPeers is the number of peers that an entry relays news to.
	relayPeers = 4
	// convergeLimit ends a way that doesn't converge.
	convergeLimit = time.Minute
)

type (
	// way is a way of keeping directories equal.
	way string

	// costTier is the directories of many entries, joined by a model of the
	// network that counts bytes: what is sent in one hop is taken in the next.
	costTier struct {
		way     way
		entries []*costEntry
		random  *rand.Rand
		steps   int
		sent    int
	}

	costEntry struct {
		spreader *Spreader
		peers    []int
		inbox    [][]blackboard.Record
		// dirty states that what the entry keeps has changed since it was
		// last pushed in full, and ownBytes is the size of that.
		dirty    bool
		ownBytes int
	}
)

const (
	// fullPush sends all that an entry keeps to all others each second.
	fullPush way = "full push"
	// deltas is the way of Spreader.
	deltas way = "deltas with digests"
	// relayed passes deltas on from peer to peer, with the same digests.
	relayed way = "relayed deltas with digests"
)

var measureDirectory = flag.Bool("measure-directory", false, "measure what the directory costs; the figures are printed")

// TestMeasureDirectory prints the table of docs/design/directory.md.
func TestMeasureDirectory(t *testing.T) {
	if !*measureDirectory {
		t.Skip("prints figures; use make directory")
	}
	fmt.Println("| Entries, targets | Way | Quiet, B/s | Churn, B/s | Churn, slowest | Domain leaves, converged after | Domain leaves, KB an entry |")
	for _, size := range [][2]int{{6, 88}, {60, 1200}, {600, 12000}} {
		for _, way := range []way{fullPush, deltas, relayed} {
			bubble.Test(t, func(*testing.T) { measureWay(way, size[0], size[1]) })
		}
	}
}

// TestDirectoriesConverge keeps the model to what it is for: each way makes all
// directories equal after a failure domain has left.
func TestDirectoriesConverge(t *testing.T) {
	for _, way := range []way{fullPush, deltas, relayed} {
		bubble.Test(t, func(t *testing.T) {
			tier := newCostTier(way, 6, 88)
			tier.leave(88)
			if tier.equal() {
				t.Errorf("%s: equal before anything was sent", way)
			}
			if span := tier.converge(); span >= convergeLimit {
				t.Errorf("%s: not equal after %s", way, span)
			}
			if tier.sent == 0 {
				t.Errorf("%s: no bytes were counted", way)
			}
		})
	}
}

func measureWay(way way, entries, targets int) {
	tier := newCostTier(way, entries, targets)
	tier.run(quietSpan)
	quiet := tier.perEntrySecond(quietSpan)
	slowest := tier.churn(targets)
	churn := tier.perEntrySecond(churnSpan)
	tier.leave(targets)
	converged := tier.converge()
	fmt.Printf("| %d, %d | %s | %d | %d | %s | %s | %.1f |\n", entries, targets, way, quiet, churn, slowest, converged, float64(tier.sent)/float64(entries)/1000)
}

func newCostTier(way way, entries, targets int) *costTier {
	tier := &costTier{way: way, random: rand.New(rand.NewPCG(costSeed, 0))}
	for number := range entries {
		spreader := &Spreader{self: fmt.Sprintf("entry-%d", number), board: new(blackboard.Board), metrics: metrics.New()}
		spreader.board.Directory().SetSelf(spreader.self)
		entry := &costEntry{spreader: spreader, dirty: true}
		// The ring joins all; the others shorten the ways.
		entry.peers = append(entry.peers, (number+1)%entries)
		for len(entry.peers) < min(relayPeers, entries-1) {
			entry.peers = append(entry.peers, (number+1+tier.random.IntN(entries-1))%entries)
		}
		tier.entries = append(tier.entries, entry)
	}
	var records []blackboard.Record
	for number := range targets {
		records = append(records, blackboard.Record{Announcement: costAnnouncement(number, target.Warm, 1), Keeper: fmt.Sprintf("entry-%d", number%entries)})
	}
	for _, entry := range tier.entries {
		entry.spreader.merge(records)
	}
	return tier
}

func costAnnouncement(number int, state target.State, incarnation uint64) target.Announcement {
	return target.Announcement{
		ID: fmt.Sprintf("buyer-desk-%d", number), Address: fmt.Sprintf("10.%d.%d.%d:8080", number%costDomains, number/250%250, number%250),
		Pool: "buyer-desk", FailureDomain: fmt.Sprintf("domain-%d", number%costDomains), Layout: "layout-1", Shards: 4000, Shard: number % 4000,
		Incarnation: incarnation, Revision: 1, State: state, IndexVersions: []uint64{41}, TTL: duration.Of(3 * time.Second),
	}
}

// put announces a target to its entry, as Directory takes it from HTTP.
func (tier *costTier) put(announcement *target.Announcement, number int) {
	entry := tier.entries[number%len(tier.entries)]
	if _, err := entry.spreader.board.Directory().Put(*announcement); err == nil {
		entry.dirty = true
	}
}

// churn restarts targets at the rate of the letter: each leaves, comes back
// cold after two seconds and is warm after three more. It returns the longest
// time until all directories were equal after a change.
func (tier *costTier) churn(targets int) time.Duration {
	slowest := time.Duration(0)
	begun, restarts := time.Now(), 0
	for time.Since(begun) < churnSpan {
		number := restarts * 7 % targets
		at := time.Now()
		for _, stage := range []struct {
			wait        time.Duration
			state       target.State
			incarnation uint64
		}{{0, target.Leaving, 2}, {2 * time.Second, target.Cold, 3}, {3 * time.Second, target.Warm, 4}} {
			tier.run(stage.wait)
			announcement := costAnnouncement(number, stage.state, stage.incarnation)
			tier.put(&announcement, number)
			slowest = max(slowest, tier.converge())
		}
		restarts++
		tier.run(min(restartGap-time.Since(at), churnSpan-time.Since(begun)))
	}
	return slowest
}

// leave has all targets of one failure domain leave at once.
func (tier *costTier) leave(targets int) {
	for number := 0; number < targets; number += costDomains {
		announcement := costAnnouncement(number, target.Leaving, 9)
		tier.put(&announcement, number/costDomains)
	}
}

func (tier *costTier) converge() time.Duration {
	begun := time.Now()
	for !tier.equal() && time.Since(begun) < convergeLimit {
		tier.step()
	}
	return time.Since(begun)
}

func (tier *costTier) equal() bool {
	for _, entry := range tier.entries {
		if entry.spreader.board.Directory().Digest() != tier.entries[0].spreader.board.Directory().Digest() {
			return false
		}
	}
	return true
}

func (tier *costTier) run(span time.Duration) {
	for begun := time.Now(); time.Since(begun) < span; {
		tier.step()
	}
}

func (tier *costTier) perEntrySecond(span time.Duration) int {
	sent := tier.sent
	tier.sent = 0
	return int(float64(sent) / float64(len(tier.entries)) / span.Seconds())
}

// step lets one hop pass.
func (tier *costTier) step() {
	time.Sleep(hop)
	tier.steps++
	stepsPerSync := int(SyncInterval / hop)
	for number, entry := range tier.entries {
		inbox := entry.inbox
		entry.inbox = nil
		var news []blackboard.Record
		for _, records := range inbox {
			for _, record := range records {
				if entry.spreader.board.Directory().Merge([]blackboard.Record{record}) > 0 {
					news = append(news, record)
				}
			}
		}
		isSyncing := (tier.steps+number)%stepsPerSync == 0
		if tier.way == fullPush {
			if isSyncing {
				tier.pushAll(number, entry)
			}
			continue
		}
		changed := entry.spreader.board.Directory().TakeChangedHere()
		if tier.way == relayed {
			tier.send(entry.peers, append(changed, news...))
		} else {
			tier.send(tier.others(number), changed)
		}
		if isSyncing {
			tier.compare(number, entry)
		}
	}
}

func (tier *costTier) others(number int) []int {
	var others []int
	for other := range tier.entries {
		if other != number {
			others = append(others, other)
		}
	}
	return others
}

func (tier *costTier) send(to []int, records []blackboard.Record) {
	if len(records) == 0 {
		return
	}
	tier.sent += len(to) * (callBytes + size(&Changes{Records: records}) + replyBytes + size(&Empty{}))
	for _, other := range to {
		tier.entries[other].inbox = append(tier.entries[other].inbox, records)
	}
}

// pushAll sends what an entry keeps to all. What hasn't changed is counted and
// not taken.
func (tier *costTier) pushAll(number int, entry *costEntry) {
	others := tier.others(number)
	if entry.dirty {
		var kept []blackboard.Record
		for _, record := range entry.spreader.board.Directory().Records() {
			if record.Keeper == entry.spreader.self {
				kept = append(kept, record)
			}
		}
		entry.ownBytes, entry.dirty = size(&Changes{Records: kept}), false
		for _, other := range others {
			tier.entries[other].inbox = append(tier.entries[other].inbox, kept)
		}
	}
	tier.sent += len(others) * (callBytes + entry.ownBytes + replyBytes + size(&Empty{}))
}

// compare is Spreader.exchange over the model.
func (tier *costTier) compare(number int, entry *costEntry) {
	others := tier.others(number)
	peer := tier.entries[others[tier.random.IntN(len(others))]]
	directory, far := entry.spreader.board.Directory(), peer.spreader.board.Directory()
	query := &DigestQuery{From: entry.spreader.self, Digest: directory.Digest()}
	reply := peer.spreader.compare(query)
	tier.sent += callBytes + size(query) + replyBytes + size(reply)
	if reply.Digest == query.Digest {
		return
	}
	if reply.Found {
		entry.spreader.merge(reply.Records)
		return
	}
	records, found := directory.Since(reply.Digest)
	if !found {
		summary := &ReconcileQuery{Summary: directory.Summary()}
		theirs, buckets := far.Differing(summary.Summary)
		answer := &ReconcileReply{Buckets: buckets, Records: theirs}
		tier.sent += callBytes + size(summary) + replyBytes + size(answer)
		records = directory.Buckets(buckets)
		entry.spreader.merge(theirs)
	}
	tier.sent += callBytes + size(&Changes{Records: records}) + replyBytes + size(&Empty{})
	peer.spreader.merge(records)
}

func size(body any) int {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
