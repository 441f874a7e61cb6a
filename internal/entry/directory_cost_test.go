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
	// hopDelay is the batch delay plus the one-way latency of 12 ms between
	// regions.
	hopDelay        = batchDelay + 12*time.Millisecond
	quietSpan       = 20 * time.Second
	churnSpan       = 120 * time.Second
	restartInterval = 24 * time.Hour / 1700
	costDomains     = 8
	costSeed        = 1
	// callBytes and replyBytes are the overhead of frame for a call and its
	// reply.
	callBytes, replyBytes = 40, 14
	// relayPeers is the number of peers to which an entry relays changes.
	relayPeers = 4
	// convergeLimit bounds the wait for strategies that don't converge.
	convergeLimit = time.Minute
)

type (
	// strategy is a method of replicating directories.
	strategy string

	// directoryModel holds the directories of many entries and models the network
	// between them. It counts bytes; what is sent in one hop is received in the
	// next.
	directoryModel struct {
		strategy strategy
		entries  []*modelEntry
		random   *rand.Rand
		steps    int
		sent     int
	}

	modelEntry struct {
		spreader *Spreader
		peers    []int
		inbox    [][]blackboard.Record
		// dirty states that the entry's own records have changed since its last
		// full push, and ownBytes is their size at that push.
		dirty    bool
		ownBytes int
	}
)

const (
	// fullPush sends all of an entry's own records to all others each second.
	fullPush strategy = "full push"
	// deltas is the strategy of Spreader.
	deltas strategy = "deltas with digests"
	// relayed passes deltas on from peer to peer, with the same digests.
	relayed strategy = "relayed deltas with digests"
)

var measureDirectory = flag.Bool("measure-directory", false, "measure the cost of the directory and print the figures")

// TestMeasureDirectory prints the table of docs/design/directory.md.
func TestMeasureDirectory(t *testing.T) {
	if !*measureDirectory {
		t.Skip("only prints figures; run make directory")
	}
	fmt.Println("| Entries, targets | Way | Quiet, B/s | Churn, B/s | Churn, slowest | Domain leaves, converged after | Domain leaves, KB an entry |")
	for _, size := range [][2]int{{6, 88}, {60, 1200}, {600, 12000}} {
		for _, strategy := range []strategy{fullPush, deltas, relayed} {
			bubble.Test(t, func(*testing.T) { measureStrategy(strategy, size[0], size[1]) })
		}
	}
}

// TestDirectoriesConverge checks the model: with each strategy, all directories
// become equal after the targets of a failure domain have left.
func TestDirectoriesConverge(t *testing.T) {
	for _, strategy := range []strategy{fullPush, deltas, relayed} {
		bubble.Test(t, func(t *testing.T) {
			model := newDirectoryModel(strategy, 6, 88)
			model.leave(88)
			if model.equal() {
				t.Errorf("%s: directories equal before anything was sent", strategy)
			}
			if span := model.converge(); span >= convergeLimit {
				t.Errorf("%s: directories not equal after %s", strategy, span)
			}
			if model.sent == 0 {
				t.Errorf("%s: no bytes were counted", strategy)
			}
		})
	}
}

func measureStrategy(strategy strategy, entries, targets int) {
	model := newDirectoryModel(strategy, entries, targets)
	model.run(quietSpan)
	quiet := model.bytesPerEntrySecond(quietSpan)
	slowest := model.churn(targets)
	churn := model.bytesPerEntrySecond(churnSpan)
	model.leave(targets)
	converged := model.converge()
	fmt.Printf("| %d, %d | %s | %d | %d | %s | %s | %.1f |\n", entries, targets, strategy, quiet, churn, slowest, converged, float64(model.sent)/float64(entries)/1000)
}

func newDirectoryModel(strategy strategy, entries, targets int) *directoryModel {
	model := &directoryModel{strategy: strategy, random: rand.New(rand.NewPCG(costSeed, 0))}
	for number := range entries {
		spreader := &Spreader{self: fmt.Sprintf("entry-%d", number), board: new(blackboard.Board), metrics: metrics.New()}
		spreader.board.Directory().SetSelf(spreader.self)
		entry := &modelEntry{spreader: spreader, dirty: true}
		// The ring connects all entries. The random peers shorten the paths.
		entry.peers = append(entry.peers, (number+1)%entries)
		for len(entry.peers) < min(relayPeers, entries-1) {
			entry.peers = append(entry.peers, (number+1+model.random.IntN(entries-1))%entries)
		}
		model.entries = append(model.entries, entry)
	}
	var records []blackboard.Record
	for number := range targets {
		records = append(records, blackboard.Record{Announcement: costAnnouncement(number, target.Warm, 1), Keeper: fmt.Sprintf("entry-%d", number%entries)})
	}
	for _, entry := range model.entries {
		entry.spreader.merge(records)
	}
	return model
}

func costAnnouncement(number int, state target.State, incarnation uint64) target.Announcement {
	return target.Announcement{
		ID: fmt.Sprintf("buyer-desk-%d", number), Address: fmt.Sprintf("10.%d.%d.%d:8080", number%costDomains, number/250%250, number%250),
		Pool: "buyer-desk", FailureDomain: fmt.Sprintf("domain-%d", number%costDomains), Layout: "layout-1", Shards: 4000, Shard: number % 4000,
		Incarnation: incarnation, Revision: 1, State: state, IndexVersions: []uint64{41}, TTL: duration.Of(3 * time.Second),
	}
}

// put announces a target at one entry, like an announcement over HTTP.
func (model *directoryModel) put(announcement *target.Announcement, number int) {
	entry := model.entries[number%len(model.entries)]
	if _, err := entry.spreader.board.Directory().Put(*announcement); err == nil {
		entry.dirty = true
	}
}

// churn restarts targets at a rate of 1,700 a day. Each one leaves, returns cold
// after two seconds and is warm after three more. It returns the longest time
// until all directories were equal after a change.
func (model *directoryModel) churn(targets int) time.Duration {
	slowest := time.Duration(0)
	startedAt, restarts := time.Now(), 0
	for time.Since(startedAt) < churnSpan {
		number := restarts * 7 % targets
		restartedAt := time.Now()
		for _, stage := range []struct {
			wait        time.Duration
			state       target.State
			incarnation uint64
		}{{0, target.Leaving, 2}, {2 * time.Second, target.Cold, 3}, {3 * time.Second, target.Warm, 4}} {
			model.run(stage.wait)
			announcement := costAnnouncement(number, stage.state, stage.incarnation)
			model.put(&announcement, number)
			slowest = max(slowest, model.converge())
		}
		restarts++
		model.run(min(restartInterval-time.Since(restartedAt), churnSpan-time.Since(startedAt)))
	}
	return slowest
}

// leave makes all targets of one failure domain leave at the same time.
func (model *directoryModel) leave(targets int) {
	for number := 0; number < targets; number += costDomains {
		announcement := costAnnouncement(number, target.Leaving, 9)
		model.put(&announcement, number/costDomains)
	}
}

func (model *directoryModel) converge() time.Duration {
	begun := time.Now()
	for !model.equal() && time.Since(begun) < convergeLimit {
		model.step()
	}
	return time.Since(begun)
}

func (model *directoryModel) equal() bool {
	for _, entry := range model.entries {
		if entry.spreader.board.Directory().Digest() != model.entries[0].spreader.board.Directory().Digest() {
			return false
		}
	}
	return true
}

func (model *directoryModel) run(span time.Duration) {
	for begun := time.Now(); time.Since(begun) < span; {
		model.step()
	}
}

func (model *directoryModel) bytesPerEntrySecond(span time.Duration) int {
	sent := model.sent
	model.sent = 0
	return int(float64(sent) / float64(len(model.entries)) / span.Seconds())
}

// step simulates one hop.
func (model *directoryModel) step() {
	time.Sleep(hopDelay)
	model.steps++
	stepsPerSync := int(SyncInterval / hopDelay)
	for number, entry := range model.entries {
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
		isSyncing := (model.steps+number)%stepsPerSync == 0
		if model.strategy == fullPush {
			if isSyncing {
				model.pushAll(number, entry)
			}
			continue
		}
		changed := entry.spreader.board.Directory().DrainLocalChanges()
		if model.strategy == relayed {
			model.send(entry.peers, append(changed, news...))
		} else {
			model.send(model.others(number), changed)
		}
		if isSyncing {
			model.compare(number, entry)
		}
	}
}

func (model *directoryModel) others(number int) []int {
	var others []int
	for other := range model.entries {
		if other != number {
			others = append(others, other)
		}
	}
	return others
}

func (model *directoryModel) send(to []int, records []blackboard.Record) {
	if len(records) == 0 {
		return
	}
	model.sent += len(to) * (callBytes + encodedSize(&Changes{Records: records}) + replyBytes + encodedSize(&Empty{}))
	for _, other := range to {
		model.entries[other].inbox = append(model.entries[other].inbox, records)
	}
}

// pushAll sends an entry's own records to all others. Unchanged records are
// counted but not delivered.
func (model *directoryModel) pushAll(number int, entry *modelEntry) {
	others := model.others(number)
	if entry.dirty {
		var kept []blackboard.Record
		for _, record := range entry.spreader.board.Directory().Records() {
			if record.Keeper == entry.spreader.self {
				kept = append(kept, record)
			}
		}
		entry.ownBytes, entry.dirty = encodedSize(&Changes{Records: kept}), false
		for _, other := range others {
			model.entries[other].inbox = append(model.entries[other].inbox, kept)
		}
	}
	model.sent += len(others) * (callBytes + entry.ownBytes + replyBytes + encodedSize(&Empty{}))
}

// compare does what Spreader.exchange does, over the modelled network.
func (model *directoryModel) compare(number int, entry *modelEntry) {
	others := model.others(number)
	peer := model.entries[others[model.random.IntN(len(others))]]
	directory, peerDirectory := entry.spreader.board.Directory(), peer.spreader.board.Directory()
	query := &DigestQuery{From: entry.spreader.self, Digest: directory.Digest()}
	reply := peer.spreader.compare(query)
	model.sent += callBytes + encodedSize(query) + replyBytes + encodedSize(reply)
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
		theirs, buckets := peerDirectory.Differing(summary.Summary)
		answer := &ReconcileReply{Buckets: buckets, Records: theirs}
		model.sent += callBytes + encodedSize(summary) + replyBytes + encodedSize(answer)
		records = directory.Buckets(buckets)
		entry.spreader.merge(theirs)
	}
	model.sent += callBytes + encodedSize(&Changes{Records: records}) + replyBytes + encodedSize(&Empty{})
	peer.spreader.merge(records)
}

func encodedSize(body any) int {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
