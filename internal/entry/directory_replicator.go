// Replication of the directory of targets between entries. An entry pushes
// its changes to all other entries, and digests detect and repair what was
// missed.

package entry

import (
	"context"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
)

const (
	// MethodChanges sends changed targets to another entry.
	MethodChanges = "entry.changes"
	// MethodDigest compares the directories of two entries by digest.
	MethodDigest = "entry.digest"
	// MethodReconcile finds the records that differ between two directories.
	MethodReconcile = "entry.reconcile"

	// SyncInterval is the interval between an entry's directory comparisons, each
	// with one peer.
	SyncInterval = time.Second

	peerCallTimeout = time.Second
	// initialSyncTimeout bounds how long a new entry tries to get the targets
	// from another entry.
	initialSyncTimeout = 3 * time.Second
	// batchDelay is the time for which changes are collected before they are sent
	// together.
	batchDelay = 20 * time.Millisecond
	// expireInterval is the interval between checks for expired targets.
	expireInterval = 200 * time.Millisecond
)

type (
	// Changes holds the records of changed targets.
	Changes struct {
		Records []blackboard.Record `msgpack:"r"`
	}

	// DigestQuery asks a peer to compare directories.
	DigestQuery struct {
		From   string            `msgpack:"f"`
		Digest blackboard.Digest `msgpack:"d"`
		// Load is the number of requests in progress at the sender.
		Load int `msgpack:"l"`
	}

	// DigestReply holds the records that the sender of the query lacks, if the
	// receiver's change log reaches back to the sender's digest. It also holds
	// the quarantines, because the sender may have missed their verdicts.
	DigestReply struct {
		Digest  blackboard.Digest   `msgpack:"d"`
		Found   bool                `msgpack:"o,omitempty"`
		Records []blackboard.Record `msgpack:"r,omitempty"`
		Load    int                 `msgpack:"l"`

		Quarantines []blackboard.Quarantine `msgpack:"q,omitempty"`
	}

	// ReconcileQuery asks for the records in which two directories differ. The
	// records of a directory are divided into buckets, each with a digest in Summary.
	ReconcileQuery struct {
		Summary blackboard.Summary `msgpack:"s"`
	}

	// ReconcileReply holds the numbers of the differing buckets and the
	// receiver's records in them. The sender then sends its own records of these
	// buckets.
	ReconcileReply struct {
		Buckets []int               `msgpack:"b"`
		Records []blackboard.Record `msgpack:"r"`
	}

	// DirectoryReplicator keeps the entry's directory equal to those of the other entries.
	DirectoryReplicator struct {
		self    string
		board   *blackboard.Board
		peers   *Peers
		metrics *metrics.Metrics
		// lastEqualAt is when a comparison last found this directory equal to another,
		// or when the comparisons began if none has.
		lastEqualAt time.Time
	}
)

// NewDirectoryReplicator returns the DirectoryReplicator of the entry with the given ID.
func NewDirectoryReplicator(self string, board *blackboard.Board, peers *Peers, metrics *metrics.Metrics) *DirectoryReplicator {
	board.Directory().SetSelf(self)
	board.Loads().SetSelf(self)
	return &DirectoryReplicator{self: self, board: board, peers: peers, metrics: metrics}
}

// Register accepts changes and directory comparisons from other entries.
func (directoryReplicator *DirectoryReplicator) Register(server *frame.Server) {
	frame.Handle(server, MethodChanges, func(_ context.Context, changes *Changes) (*Empty, error) {
		directoryReplicator.merge(changes.Records)
		return &Empty{}, nil
	})
	frame.Handle(server, MethodDigest, func(_ context.Context, query *DigestQuery) (*DigestReply, error) {
		return directoryReplicator.compare(query), nil
	})
	frame.Handle(server, MethodReconcile, func(_ context.Context, query *ReconcileQuery) (*ReconcileReply, error) {
		records, buckets := directoryReplicator.board.Directory().Differing(query.Summary)
		return &ReconcileReply{Buckets: buckets, Records: records}, nil
	})
}

// Run sends changes, compares directories and removes expired targets until ctx
// ends.
func (directoryReplicator *DirectoryReplicator) Run(ctx context.Context) {
	go directoryReplicator.sync(ctx)
	go directoryReplicator.expire(ctx)
	for {
		// The channel is fetched before the changes are sent, so that no change
		// in between is missed.
		changed := directoryReplicator.board.Directory().Changed()
		directoryReplicator.sendChanges(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if sleep(ctx, batchDelay) != nil {
			return
		}
	}
}

// sendChanges sends the changes made at this entry to every other entry. An entry
// that misses them gets them by a later digest.
func (directoryReplicator *DirectoryReplicator) sendChanges(ctx context.Context) {
	records := directoryReplicator.board.Directory().DrainLocalChanges()
	if len(records) == 0 {
		return
	}
	directoryReplicator.metrics.DirectoryChanges().WithLabelValues("targets").Add(float64(len(records)))
	changes := &Changes{Records: records}
	for _, member := range directoryReplicator.otherMembers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			_, _ = frame.Call[Changes, Empty](ctx, directoryReplicator.peers.Client(member.PeerAddress), MethodChanges, changes)
		}()
	}
}

// completeDirectory fills the directory of a new entry from one other entry, so
// that this entry gets neither targets nor callers before it knows the targets.
// If no other entry can be reached in time, this entry starts with what it knows.
func (directoryReplicator *DirectoryReplicator) completeDirectory(ctx context.Context, peerRotation *peerRotation) {
	defer directoryReplicator.board.Directory().MarkComplete()
	var deadline time.Time
	for {
		otherMembers, joined := directoryReplicator.syncSources()
		if joined && len(otherMembers) == 0 {
			return
		}
		if joined && deadline.IsZero() {
			deadline = time.Now().Add(initialSyncTimeout)
		}
		if len(otherMembers) > 0 {
			if _, err := directoryReplicator.exchange(ctx, peerRotation.next(otherMembers)); err == nil || time.Now().After(deadline) {
				return
			}
		}
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// syncSources returns the other entries from which the directory can be filled,
// preferably those that serve, and whether this entry is in the view.
func (directoryReplicator *DirectoryReplicator) syncSources() (otherMembers []membership.Member, joined bool) {
	view := directoryReplicator.board.Membership().View()
	_, joined = view.Member(directoryReplicator.self)
	all := directoryReplicator.otherMembers()
	for _, member := range all {
		if !member.Stopping {
			otherMembers = append(otherMembers, member)
		}
	}
	if len(otherMembers) == 0 {
		otherMembers = all
	}
	return otherMembers, joined
}

// sync fills the directory, and then compares it with one peer per SyncInterval.
func (directoryReplicator *DirectoryReplicator) sync(ctx context.Context) {
	peerRotation := new(peerRotation)
	directoryReplicator.completeDirectory(ctx, peerRotation)
	directoryReplicator.lastEqualAt = time.Now()
	for sleep(ctx, SyncInterval) == nil {
		otherMembers := directoryReplicator.otherMembers()
		if len(otherMembers) == 0 {
			continue
		}
		result, err := directoryReplicator.exchange(ctx, peerRotation.next(otherMembers))
		if err != nil {
			result = "failed"
		}
		if result == "equal" {
			directoryReplicator.lastEqualAt = time.Now()
		}
		directoryReplicator.metrics.DirectoryExchanges().WithLabelValues(result).Inc()
		directoryReplicator.metrics.DirectoryUnequal().Set(time.Since(directoryReplicator.lastEqualAt).Seconds())
	}
}

// exchange makes two directories equal and returns how, as a label for metrics. If
// the digests are equal, nothing else is sent. If the change log of either side
// contains the other side's digest, the changes since then are sent. Otherwise the
// buckets that differ are exchanged.
func (directoryReplicator *DirectoryReplicator) exchange(ctx context.Context, member *membership.Member) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	directory, client := directoryReplicator.board.Directory(), directoryReplicator.peers.Client(member.PeerAddress)
	query := &DigestQuery{From: directoryReplicator.self, Digest: directory.Digest(), Load: directoryReplicator.board.Loads().Own()}
	reply, err := frame.Call[DigestQuery, DigestReply](ctx, client, MethodDigest, query)
	if err != nil {
		return "", err
	}
	directoryReplicator.board.Loads().Set(member.ID, reply.Load)
	directoryReplicator.board.Verdicts().Adopt(reply.Quarantines)
	if reply.Digest == query.Digest {
		return "equal", nil
	}
	if reply.Found {
		directoryReplicator.merge(reply.Records)
		return "received", nil
	}
	if records, found := directory.Since(reply.Digest); found {
		_, err := frame.Call[Changes, Empty](ctx, client, MethodChanges, &Changes{Records: records})
		return "sent", err
	}
	return "reconciled", directoryReplicator.reconcile(ctx, client)
}

func (directoryReplicator *DirectoryReplicator) reconcile(ctx context.Context, client *frame.Client) error {
	directory := directoryReplicator.board.Directory()
	reply, err := frame.Call[ReconcileQuery, ReconcileReply](ctx, client, MethodReconcile, &ReconcileQuery{Summary: directory.Summary()})
	if err != nil {
		return err
	}
	records := directory.Buckets(reply.Buckets)
	directoryReplicator.merge(reply.Records)
	_, err = frame.Call[Changes, Empty](ctx, client, MethodChanges, &Changes{Records: records})
	return err
}

// compare answers the digest query of another entry, and records that entry's load.
func (directoryReplicator *DirectoryReplicator) compare(query *DigestQuery) *DigestReply {
	directory := directoryReplicator.board.Directory()
	directoryReplicator.board.Loads().Set(query.From, query.Load)
	reply := &DigestReply{Digest: directory.Digest(), Load: directoryReplicator.board.Loads().Own(), Quarantines: directoryReplicator.board.Verdicts().Quarantines()}
	if reply.Digest != query.Digest {
		reply.Records, reply.Found = directory.Since(query.Digest)
	}
	return reply
}

// merge applies the valid ones of the records that another entry has sent.
func (directoryReplicator *DirectoryReplicator) merge(records []blackboard.Record) {
	valid := records[:0:0]
	for _, record := range records {
		if record.Announcement.Check() == nil {
			valid = append(valid, record)
		}
	}
	changed := directoryReplicator.board.Directory().Merge(valid)
	directoryReplicator.metrics.DirectoryChanges().WithLabelValues("entries").Add(float64(changed))
}

func (directoryReplicator *DirectoryReplicator) expire(ctx context.Context) {
	for sleep(ctx, expireInterval) == nil {
		view := directoryReplicator.board.Membership().View()
		members := map[string]bool{}
		for _, member := range view.Members {
			members[member.ID] = true
		}
		directoryReplicator.board.Directory().Expire(func(entry string) bool { return members[entry] })
	}
}

func (directoryReplicator *DirectoryReplicator) otherMembers() []membership.Member {
	var otherMembers []membership.Member
	for _, member := range directoryReplicator.board.Membership().View().Members {
		if member.ID != directoryReplicator.self {
			otherMembers = append(otherMembers, member)
		}
	}
	return otherMembers
}

// sleep waits for the span. It returns an error if ctx ends before.
func sleep(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
