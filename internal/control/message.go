package control

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// MethodRenew renews an entry's lease.
	MethodRenew = "control.renew"
	// MethodChange changes the tables.
	MethodChange = "control.change"
	// MethodLeveledChange changes the tables like MethodChange. Changes that need replica.LevelRollouts are
	// sent by it, because builds without feature levels would drop a part of them and lack the method.
	MethodLeveledChange = "control.leveled_change"
	// MethodRequireKeysChange changes the tables like MethodChange, for changes that need replica.LevelRequireKeys.
	MethodRequireKeysChange = "control.require_keys_change"
	// MethodTables reads one version of the tables.
	MethodTables = "control.tables"
	// MethodTablesUpdate reads an update of the tables in parts, from any replica.
	MethodTablesUpdate = "control.tables_update"
	// MethodStatus reads the status of control.
	MethodStatus = "control.status"
	// MethodGrant requests a run right.
	MethodGrant = "control.grant"
	// MethodRecord records the outcome of a granted run.
	MethodRecord = "control.record"
	// MethodExceptions replaces the exceptions of the view. An exception gives a single target another
	// entry as its home, to even out the load.
	MethodExceptions = "control.balance"
	// MethodDomain takes a failure domain out of service or puts it back.
	MethodDomain = "control.domain"
	// MethodOrderTicket requests a ticket for an order.
	MethodOrderTicket = "control.order_ticket"
	// MethodTicketedDomain is MethodDomain with a ticket.
	MethodTicketedDomain = "control.ticketed_domain"
	// MethodTicketedRollout is MethodRollout with a ticket.
	MethodTicketedRollout = "control.ticketed_rollout"
	// MethodReplicas adds or removes a control replica.
	MethodReplicas = "control.replicas"
	// MethodRollout orders a rollout.
	MethodRollout = "control.rollout"
	// MethodRolloutState reads the newest rollout of a pool.
	MethodRolloutState = "control.rollout_state"
	// MethodRolloutEvidence reports what an entry has seen of the releases of a rollout, and returns
	// grants.
	MethodRolloutEvidence = "control.rollout_evidence"
)

type (
	// Renewal requests a lease and reports the version of the tables and the view that the
	// entry uses.
	Renewal struct {
		Member membership.Member `msgpack:"m"`
		// TablesVersion is the version of the tables in force at the entry.
		TablesVersion uint64 `msgpack:"v"`
		// ReleasedView is the newest view for which the entry has released all targets that it is
		// no longer home to.
		ReleasedView uint64 `msgpack:"w"`
		// KnownView is the newest view that the entry has received.
		KnownView uint64 `msgpack:"k"`
		// Leave requests removal from the view.
		Leave bool `msgpack:"l,omitempty"`
		// Brief is true if Member holds only the ID, the incarnation and the fields that may
		// change (Stopping, Leaving and Reserve), because control already has the others.
		Brief bool `msgpack:"b,omitempty"`
		// GroupHash is the hash of the list of replica addresses that the entry received last.
		GroupHash uint64 `msgpack:"g,omitempty"`
		// AcceptsDelta is true if the reply may contain Delta in place of View.
		AcceptsDelta bool `msgpack:"d,omitempty"`
		// Level is the feature level of the entry's build.
		Level int `msgpack:"f,omitempty"`
		// AcceptsUpdates is true if the reply may contain Update in place of Tables, or neither.
		AcceptsUpdates bool `msgpack:"u,omitempty"`
	}

	// Lease is the reply to a Renewal. Tables and View are nil if the entry already has the
	// newest.
	Lease struct {
		Duration      time.Duration    `msgpack:"d"`
		TablesVersion uint64           `msgpack:"v"`
		Tables        *operator.Tables `msgpack:"t,omitempty"`
		// Update is the encoded TablesUpdate from the entry's version. If both Tables and Update are missing, the entry
		// asks for the update by MethodTablesUpdate.
		Update []byte           `msgpack:"y,omitempty"`
		View   *membership.View `msgpack:"w,omitempty"`
		// Delta, the changes since the entry's view, replaces View if that view is recent. Client
		// turns it into View.
		Delta *ViewDelta `msgpack:"x,omitempty"`
		// SettledView is the newest view number that is settled: every process that may act on an
		// earlier view has acknowledged it, or its lease has certainly expired. 0 means that no
		// view is known to be settled.
		SettledView uint64 `msgpack:"s"`
		// GroupHash is the hash of the list of the peer addresses of the replica group. Replicas
		// holds the list if the renewal had another hash.
		GroupHash uint64   `msgpack:"g,omitempty"`
		Replicas  []string `msgpack:"r,omitempty"`
		// UnknownMember is true if no lease was granted and the entry must send the brief renewal
		// again in full.
		UnknownMember bool `msgpack:"u,omitempty"`
	}

	// ExceptionsRequest replaces the exceptions of the view with the given number. The exceptions
	// are sorted by target.
	ExceptionsRequest struct {
		View       uint64                 `msgpack:"v"`
		Exceptions []membership.Exception `msgpack:"e"`
	}

	// ExceptionsReply is the reply to an ExceptionsRequest. It doesn't state whether the
	// exceptions were applied; the next view shows that.
	ExceptionsReply struct{}

	// TablesRequest requests one version of the tables; version 0 requests the newest.
	TablesRequest struct {
		Version uint64 `msgpack:"v"`
	}

	// UpdateRequest requests the update from the version Base of the tables to Version, from the byte at Offset on. Offset
	// holds only for an update with the checksum Sum; the parts of another one begin at 0.
	UpdateRequest struct {
		Base    uint64 `msgpack:"b,omitempty"`
		Version uint64 `msgpack:"v"`
		Offset  int    `msgpack:"o,omitempty"`
		Sum     uint64 `msgpack:"s,omitempty"`
	}

	// UpdatePart is a part of an encoded TablesUpdate, which has Size bytes and the checksum Sum in all.
	UpdatePart struct {
		Size   int    `msgpack:"n"`
		Sum    uint64 `msgpack:"s"`
		Offset int    `msgpack:"o,omitempty"`
		Data   []byte `msgpack:"d"`
	}

	// StatusRequest requests the status of control.
	StatusRequest struct{}

	// GrantRequest requests the right to run a request once.
	GrantRequest struct {
		RequestID caller.RequestID `msgpack:"q"`
		// Nonce identifies one sending of the request by a caller. A GrantRequest that is sent
		// again with the same nonce gets the same reply.
		Nonce uint64 `msgpack:"n"`
	}

	// Grant is the reply to a GrantRequest.
	Grant struct {
		// Granted is true if this sending, and no other, may run.
		Granted bool `msgpack:"g"`
		// Outcome is the known outcome of the earlier sending if this one isn't granted.
		Outcome caller.RunOutcome `msgpack:"o"`
		// Expired is true if the request ID has expired.
		Expired bool `msgpack:"x"`
	}

	// RecordRequest records the outcome of a granted run.
	RecordRequest struct {
		RequestID caller.RequestID  `msgpack:"q"`
		Nonce     uint64            `msgpack:"n"`
		Outcome   caller.RunOutcome `msgpack:"o"`
	}

	// RecordReply is the reply to a RecordRequest.
	RecordReply struct{}

	// RolloutStateRequest requests the newest rollout of a pool.
	RolloutStateRequest struct {
		Pool string `msgpack:"p"`
	}

	// RolloutReport is what one entry has seen of the rollouts in progress.
	RolloutReport struct {
		Entry       string              `msgpack:"e"`
		Incarnation uint64              `msgpack:"i"`
		Pools       []PoolRolloutReport `msgpack:"p"`
	}

	// PoolRolloutReport is what one entry has seen of the rollout of one pool. All counts are
	// cumulative since the entry learned of the rollout, so that a lost report loses nothing.
	PoolRolloutReport struct {
		Pool      string    `msgpack:"p"`
		StartedAt time.Time `msgpack:"s"`
		// Requests counts the requests that the entry sent to the pool, hedges and retries included, and
		// Sent those of them that it sent to the new release.
		Requests uint64 `msgpack:"n"`
		Sent     uint64 `msgpack:"m"`
		// Unused is the number of grants that the entry holds.
		Unused   int                    `msgpack:"u"`
		Evidence policy.RolloutEvidence `msgpack:"e"`
	}

	// RolloutGrants is the reply to a RolloutReport.
	RolloutGrants struct {
		Pools []PoolRolloutGrants `msgpack:"p"`
	}

	// PoolRolloutGrants lets an entry send requests to the new release of one pool.
	PoolRolloutGrants struct {
		Pool      string                `msgpack:"p"`
		StartedAt time.Time             `msgpack:"s"`
		Phase     operator.RolloutPhase `msgpack:"h"`
		// Grants is the number of requests that may be sent to the new release within ValidFor. It
		// replaces the unused grants.
		Grants   int           `msgpack:"g"`
		ValidFor time.Duration `msgpack:"v"`
	}

	// ReplicasRequest adds or removes one replica.
	ReplicasRequest struct {
		Add    *operator.Replica `msgpack:"a,omitempty"`
		Remove string            `msgpack:"r,omitempty"`
	}

	// reply holds the reply of the leader, or the address of the leader if another replica was
	// called.
	reply[Body any] struct {
		Body *Body `msgpack:"b,omitempty"`
		// NotLeading is true if this replica doesn't lead and hasn't acted on the call.
		NotLeading bool   `msgpack:"n,omitempty"`
		Leader     string `msgpack:"l,omitempty"`
		// Replicas are the peer addresses of the group as a replica that doesn't lead knows them.
		Replicas []string `msgpack:"g,omitempty"`
	}
)
