// This file exists so that what one entry learns of a target is known at all
// entries.

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
	// MethodChanges tells another entry of changed targets.
	MethodChanges = "entry.changes"
	// MethodDigest compares the directories of two entries.
	MethodDigest = "entry.digest"
	// MethodReconcile finds what differs between two directories.
	MethodReconcile = "entry.reconcile"

	// SyncInterval is the span between an entry's comparisons with a peer.
	SyncInterval = time.Second

	spreadTimeout = time.Second
	// completeTimeout bounds how long a new entry looks for one that tells it
	// the targets.
	completeTimeout = 3 * time.Second
	// batchDelay lets changes that come together travel together.
	batchDelay = 20 * time.Millisecond
	// expireInterval is the span between two looks for ended renewals.
	expireInterval = 200 * time.Millisecond
)

type (
	// Changes tells of changed targets.
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

	// DigestReply carries what the sender of a query lacks, where the
	// receiver's log reaches back to the sender's digest, and the quarantines,
	// because the sender may have been away when their verdicts were sent.
	DigestReply struct {
		Digest  blackboard.Digest   `msgpack:"d"`
		Found   bool                `msgpack:"o,omitempty"`
		Records []blackboard.Record `msgpack:"r,omitempty"`
		Load    int                 `msgpack:"l"`

		Quarantines []blackboard.Quarantine `msgpack:"q,omitempty"`
	}

	// ReconcileQuery asks for the records of the buckets that differ.
	ReconcileQuery struct {
		Summary blackboard.Summary `msgpack:"s"`
	}

	// ReconcileReply carries the receiver's records of the differing buckets,
	// whose numbers let the sender answer with its own.
	ReconcileReply struct {
		Buckets []int               `msgpack:"b"`
		Records []blackboard.Record `msgpack:"r"`
	}

	// Spreader keeps the entry's directory equal to those of the other
	// entries.
	Spreader struct {
		self    string
		board   *blackboard.Board
		peers   *Peers
		metrics *metrics.Metrics
		equalAt time.Time
	}
)

// NewSpreader returns the spreader of the entry with the given ID.
func NewSpreader(self string, board *blackboard.Board, peers *Peers, metrics *metrics.Metrics) *Spreader {
	board.Directory().SetSelf(self)
	board.Loads().SetSelf(self)
	return &Spreader{self: self, board: board, peers: peers, metrics: metrics}
}

// Register takes changes and comparisons from other entries.
func (spreader *Spreader) Register(server *frame.Server) {
	frame.Handle(server, MethodChanges, func(_ context.Context, changes *Changes) (*Empty, error) {
		spreader.merge(changes.Records)
		return &Empty{}, nil
	})
	frame.Handle(server, MethodDigest, func(_ context.Context, query *DigestQuery) (*DigestReply, error) {
		return spreader.compare(query), nil
	})
	frame.Handle(server, MethodReconcile, func(_ context.Context, query *ReconcileQuery) (*ReconcileReply, error) {
		records, buckets := spreader.board.Directory().Differing(query.Summary)
		return &ReconcileReply{Buckets: buckets, Records: records}, nil
	})
}

// Run tells of changes, compares directories and lets targets expire, until
// ctx ends.
func (spreader *Spreader) Run(ctx context.Context) {
	go spreader.sync(ctx)
	go spreader.expire(ctx)
	for {
		// Taken before the look, so that no change falls between.
		changed := spreader.board.Directory().Changed()
		spreader.spread(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if pause(ctx, batchDelay) != nil {
			return
		}
	}
}

// spread sends the changes made here to every other entry. One that misses
// them gets them by digest.
func (spreader *Spreader) spread(ctx context.Context) {
	records := spreader.board.Directory().TakeChangedHere()
	if len(records) == 0 {
		return
	}
	spreader.metrics.Changes().WithLabelValues("targets").Add(float64(len(records)))
	changes := &Changes{Records: records}
	for _, member := range spreader.others() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
			defer cancel()
			_, _ = frame.Call[Changes, Empty](ctx, spreader.peers.Client(member.PeerAddress), MethodChanges, changes)
		}()
	}
}

// complete compares the directory with that of one other entry as soon as
// there is one, so that this entry gets neither targets nor callers before it
// knows the targets. Where no other entry can be reached it goes on without.
func (spreader *Spreader) complete(ctx context.Context, turns *turns) {
	defer spreader.board.Directory().Complete()
	var until time.Time
	for {
		others, joined := spreader.serving()
		if joined && len(others) == 0 {
			return
		}
		if joined && until.IsZero() {
			until = time.Now().Add(completeTimeout)
		}
		if len(others) > 0 {
			if _, err := spreader.exchange(ctx, turns.next(others)); err == nil || time.Now().After(until) {
				return
			}
		}
		if pause(ctx, settleInterval) != nil {
			return
		}
	}
}

// serving returns the other entries to learn from, those that serve where
// there are any, and whether this entry is in the view.
func (spreader *Spreader) serving() (others []membership.Member, joined bool) {
	view := spreader.board.Membership().View()
	_, joined = view.Member(spreader.self)
	all := spreader.others()
	for _, member := range all {
		if !member.Stopping {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		others = all
	}
	return others, joined
}

func (spreader *Spreader) sync(ctx context.Context) {
	turns := new(turns)
	spreader.complete(ctx, turns)
	spreader.equalAt = time.Now()
	for pause(ctx, SyncInterval) == nil {
		others := spreader.others()
		if len(others) == 0 {
			continue
		}
		result, err := spreader.exchange(ctx, turns.next(others))
		if err != nil {
			result = "failed"
		}
		if result == "equal" {
			spreader.equalAt = time.Now()
		}
		spreader.metrics.Synced().WithLabelValues(result).Inc()
		spreader.metrics.Lag().Set(time.Since(spreader.equalAt).Seconds())
	}
}

// exchange makes two directories equal. Equal digests exchange nothing else; a
// digest that the other side's log knows is answered with the difference; and
// for an unknown one the buckets that differ are exchanged.
func (spreader *Spreader) exchange(ctx context.Context, member *membership.Member) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	directory, client := spreader.board.Directory(), spreader.peers.Client(member.PeerAddress)
	query := &DigestQuery{From: spreader.self, Digest: directory.Digest(), Load: spreader.board.Loads().Own()}
	reply, err := frame.Call[DigestQuery, DigestReply](ctx, client, MethodDigest, query)
	if err != nil {
		return "", err
	}
	spreader.board.Loads().Tell(member.ID, reply.Load)
	spreader.board.Verdicts().Adopt(reply.Quarantines)
	if reply.Digest == query.Digest {
		return "equal", nil
	}
	if reply.Found {
		spreader.merge(reply.Records)
		return "received", nil
	}
	if records, found := directory.Since(reply.Digest); found {
		_, err := frame.Call[Changes, Empty](ctx, client, MethodChanges, &Changes{Records: records})
		return "sent", err
	}
	return "reconciled", spreader.reconcile(ctx, client)
}

func (spreader *Spreader) reconcile(ctx context.Context, client *frame.Client) error {
	directory := spreader.board.Directory()
	reply, err := frame.Call[ReconcileQuery, ReconcileReply](ctx, client, MethodReconcile, &ReconcileQuery{Summary: directory.Summary()})
	if err != nil {
		return err
	}
	records := directory.Buckets(reply.Buckets)
	spreader.merge(reply.Records)
	_, err = frame.Call[Changes, Empty](ctx, client, MethodChanges, &Changes{Records: records})
	return err
}

func (spreader *Spreader) compare(query *DigestQuery) *DigestReply {
	directory := spreader.board.Directory()
	spreader.board.Loads().Tell(query.From, query.Load)
	reply := &DigestReply{Digest: directory.Digest(), Load: spreader.board.Loads().Own(), Quarantines: spreader.board.Verdicts().Quarantines()}
	if reply.Digest != query.Digest {
		reply.Records, reply.Found = directory.Since(query.Digest)
	}
	return reply
}

func (spreader *Spreader) merge(records []blackboard.Record) {
	valid := records[:0:0]
	for _, record := range records {
		if record.Announcement.Check() == nil {
			valid = append(valid, record)
		}
	}
	news := spreader.board.Directory().Merge(valid)
	spreader.metrics.Changes().WithLabelValues("entries").Add(float64(news))
}

func (spreader *Spreader) expire(ctx context.Context) {
	for pause(ctx, expireInterval) == nil {
		view := spreader.board.Membership().View()
		members := map[string]bool{}
		for _, member := range view.Members {
			members[member.ID] = true
		}
		spreader.board.Directory().Expire(func(entry string) bool { return members[entry] })
	}
}

func (spreader *Spreader) others() []membership.Member {
	var others []membership.Member
	for _, member := range spreader.board.Membership().View().Members {
		if member.ID != spreader.self {
			others = append(others, member)
		}
	}
	return others
}

func pause(ctx context.Context, span time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(span):
		return nil
	}
}
