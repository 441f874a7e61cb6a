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
	// callBytes and replyBytes are the overhead of package frame for a call and its
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
		directoryReplicator *DirectoryReplicator
		peers               []int
		inbox               [][]blackboard.Record
		// dirty is true if the entry's own records have changed since its last
		// full push, and ownBytes is their size at that push.
		dirty    bool
		ownBytes int
	}
)

const (
	// fullPush sends all of an entry's own records to all others each second.
	fullPush strategy = "full push"
	// deltas is the strategy of DirectoryReplicator.
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
				t.Errorf("%s: directories equal before anything was sent, want them to differ", strategy)
			}
			if span := model.converge(); span >= convergeLimit {
				t.Errorf("%s: directories not equal after %s, want them equal within a minute", strategy, span)
			}
			if model.sent == 0 {
				t.Errorf("%s: no bytes were counted, want more than 0", strategy)
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
		directoryReplicator := &DirectoryReplicator{self: fmt.Sprintf("entry-%d", number), board: new(blackboard.Board), metrics: metrics.New()}
		directoryReplicator.board.Directory().SetSelf(directoryReplicator.self)
		entry := &modelEntry{directoryReplicator: directoryReplicator, dirty: true}
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
		entry.directoryReplicator.merge(records)
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

// put announces a target at the entry to which the number is mapped, like an
// announcement over HTTP.
func (directoryModel *directoryModel) put(announcement *target.Announcement, number int) {
	entry := directoryModel.entries[number%len(directoryModel.entries)]
	if _, err := entry.directoryReplicator.board.Directory().Put(*announcement); err == nil {
		entry.dirty = true
	}
}

// churn restarts targets at a rate of 1,700 a day. Each one leaves, returns cold
// after two seconds and is warm after three more. It returns the longest time
// until all directories were equal after a change.
func (directoryModel *directoryModel) churn(targets int) time.Duration {
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
			directoryModel.run(stage.wait)
			announcement := costAnnouncement(number, stage.state, stage.incarnation)
			directoryModel.put(&announcement, number)
			slowest = max(slowest, directoryModel.converge())
		}
		restarts++
		directoryModel.run(min(restartInterval-time.Since(restartedAt), churnSpan-time.Since(startedAt)))
	}
	return slowest
}

// leave makes all targets of one failure domain leave at the same time.
func (directoryModel *directoryModel) leave(targets int) {
	for number := 0; number < targets; number += costDomains {
		announcement := costAnnouncement(number, target.Leaving, 9)
		directoryModel.put(&announcement, number/costDomains)
	}
}

// converge runs the model until all directories are equal, and returns how long that
// took, at most about convergeLimit.
func (directoryModel *directoryModel) converge() time.Duration {
	startedAt := time.Now()
	for !directoryModel.equal() && time.Since(startedAt) < convergeLimit {
		directoryModel.step()
	}
	return time.Since(startedAt)
}

func (directoryModel *directoryModel) equal() bool {
	for _, entry := range directoryModel.entries {
		if entry.directoryReplicator.board.Directory().Digest() != directoryModel.entries[0].directoryReplicator.board.Directory().Digest() {
			return false
		}
	}
	return true
}

func (directoryModel *directoryModel) run(span time.Duration) {
	for startedAt := time.Now(); time.Since(startedAt) < span; {
		directoryModel.step()
	}
}

// bytesPerEntrySecond returns the bytes sent per entry and second of the span, and
// resets the count.
func (directoryModel *directoryModel) bytesPerEntrySecond(span time.Duration) int {
	sent := directoryModel.sent
	directoryModel.sent = 0
	return int(float64(sent) / float64(len(directoryModel.entries)) / span.Seconds())
}

// step simulates one hop.
func (directoryModel *directoryModel) step() {
	time.Sleep(hopDelay)
	directoryModel.steps++
	stepsPerSync := int(SyncInterval / hopDelay)
	for number, entry := range directoryModel.entries {
		inbox := entry.inbox
		entry.inbox = nil
		var newRecords []blackboard.Record
		for _, records := range inbox {
			for _, record := range records {
				if entry.directoryReplicator.board.Directory().Merge([]blackboard.Record{record}) > 0 {
					newRecords = append(newRecords, record)
				}
			}
		}
		isSyncing := (directoryModel.steps+number)%stepsPerSync == 0
		if directoryModel.strategy == fullPush {
			if isSyncing {
				directoryModel.pushAll(number, entry)
			}
			continue
		}
		changed := entry.directoryReplicator.board.Directory().DrainLocalChanges()
		if directoryModel.strategy == relayed {
			directoryModel.send(entry.peers, append(changed, newRecords...))
		} else {
			directoryModel.send(directoryModel.others(number), changed)
		}
		if isSyncing {
			directoryModel.compare(number, entry)
		}
	}
}

func (directoryModel *directoryModel) others(number int) []int {
	var others []int
	for other := range directoryModel.entries {
		if other != number {
			others = append(others, other)
		}
	}
	return others
}

func (directoryModel *directoryModel) send(to []int, records []blackboard.Record) {
	if len(records) == 0 {
		return
	}
	directoryModel.sent += len(to) * (callBytes + encodedSize(&Changes{Records: records}) + replyBytes + encodedSize(&Empty{}))
	for _, other := range to {
		directoryModel.entries[other].inbox = append(directoryModel.entries[other].inbox, records)
	}
}

// pushAll sends an entry's own records to all others. Unchanged records are
// counted but not delivered.
func (directoryModel *directoryModel) pushAll(number int, entry *modelEntry) {
	others := directoryModel.others(number)
	if entry.dirty {
		var kept []blackboard.Record
		for _, record := range entry.directoryReplicator.board.Directory().Records() {
			if record.Keeper == entry.directoryReplicator.self {
				kept = append(kept, record)
			}
		}
		entry.ownBytes, entry.dirty = encodedSize(&Changes{Records: kept}), false
		for _, other := range others {
			directoryModel.entries[other].inbox = append(directoryModel.entries[other].inbox, kept)
		}
	}
	directoryModel.sent += len(others) * (callBytes + entry.ownBytes + replyBytes + encodedSize(&Empty{}))
}

// compare does what DirectoryReplicator.exchange does, over the modelled network.
func (directoryModel *directoryModel) compare(number int, entry *modelEntry) {
	others := directoryModel.others(number)
	peer := directoryModel.entries[others[directoryModel.random.IntN(len(others))]]
	directory, peerDirectory := entry.directoryReplicator.board.Directory(), peer.directoryReplicator.board.Directory()
	query := &DigestQuery{From: entry.directoryReplicator.self, Digest: directory.Digest()}
	reply := peer.directoryReplicator.compare(query)
	directoryModel.sent += callBytes + encodedSize(query) + replyBytes + encodedSize(reply)
	if reply.Digest == query.Digest {
		return
	}
	if reply.Found {
		entry.directoryReplicator.merge(reply.Records)
		return
	}
	records, found := directory.Since(reply.Digest)
	if !found {
		summary := &ReconcileQuery{Summary: directory.Summary()}
		theirs, buckets := peerDirectory.Differing(summary.Summary)
		answer := &ReconcileReply{Buckets: buckets, Records: theirs}
		directoryModel.sent += callBytes + encodedSize(summary) + replyBytes + encodedSize(answer)
		records = directory.Buckets(buckets)
		entry.directoryReplicator.merge(theirs)
	}
	directoryModel.sent += callBytes + encodedSize(&Changes{Records: records}) + replyBytes + encodedSize(&Empty{})
	peer.directoryReplicator.merge(records)
}

func encodedSize(body any) int {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}
