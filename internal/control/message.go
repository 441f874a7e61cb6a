// This file exists so that entries, operators' front ends and control agree
// on their messages.

package control

import (
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// MethodRenew renews an entry's lease.
	MethodRenew = "control.renew"
	// MethodChange changes the tables.
	MethodChange = "control.change"
	// MethodTables reads one version of the tables.
	MethodTables = "control.tables"
	// MethodStatus reads the status.
	MethodStatus = "control.status"
	// MethodGrant asks for a run right.
	MethodGrant = "control.grant"
	// MethodRecord records the outcome of a granted run.
	MethodRecord = "control.record"
	// MethodBalance evens out the loads of homes.
	MethodBalance = "control.balance"
	// MethodDomain takes a failure domain out or in.
	MethodDomain = "control.domain"
	// MethodReplicas changes the group of replicas.
	MethodReplicas = "control.replicas"
)

type (
	// Renewal asks for a lease and tells what the entry acts on.
	Renewal struct {
		Member membership.Member `msgpack:"m"`
		// Version is the version of the tables in force at the entry.
		Version uint64 `msgpack:"v"`
		// View is the newest view under which the entry has given up all
		// targets that are no longer its own.
		View uint64 `msgpack:"w"`
		// KnownView is the newest view that the entry has received.
		KnownView uint64 `msgpack:"k"`
		// Leave asks to be removed from the view.
		Leave bool `msgpack:"l,omitempty"`
		// Brief states that Member holds the ID, the incarnation and whether
		// it stops, because the rest is as control has it.
		Brief bool `msgpack:"b,omitempty"`
		// Group is the number of the group of replicas that the entry knows.
		Group uint64 `msgpack:"g,omitempty"`
		// AcceptsDelta states that the reply may hold Delta in place of View.
		AcceptsDelta bool `msgpack:"d,omitempty"`
	}

	// Lease is the reply to a Renewal. Tables and View are nil where the
	// entry has the newest.
	Lease struct {
		Duration time.Duration    `msgpack:"d"`
		Version  uint64           `msgpack:"v"`
		Tables   *operator.Tables `msgpack:"t,omitempty"`
		View     *membership.View `msgpack:"w,omitempty"`
		// Delta stands for View where the entry knows a recent view. Client
		// turns it into View.
		Delta *ViewDelta `msgpack:"x,omitempty"`
		// Settled is the newest view number that is settled: every process
		// that may act on an earlier view has acknowledged it, or has
		// certainly lost its lease. Zero states that none is known to be.
		Settled uint64 `msgpack:"s"`
		// Group numbers the group of replicas, and Replicas holds its peer
		// addresses where the entry knows another number.
		Group    uint64   `msgpack:"g,omitempty"`
		Replicas []string `msgpack:"r,omitempty"`
		// Unknown states that a brief renewal must be sent in full. No lease
		// is granted.
		Unknown bool `msgpack:"u,omitempty"`
	}

	// BalanceRequest replaces the exceptions of the view with the given number,
	// in the order of their targets.
	BalanceRequest struct {
		View       uint64                 `msgpack:"v"`
		Exceptions []membership.Exception `msgpack:"e"`
	}

	// Balanced is the reply to a BalanceRequest. Whether the exceptions are in
	// the view, the view itself tells.
	Balanced struct{}

	// TablesRequest asks for one version; zero asks for the newest.
	TablesRequest struct {
		Version uint64 `msgpack:"v"`
	}

	// StatusRequest asks for the status.
	StatusRequest struct{}

	// GrantRequest asks for the right to run a request once.
	GrantRequest struct {
		RequestID caller.RequestID `msgpack:"q"`
		// Nonce names this sending, so that a resend of the message itself
		// gets the same reply.
		Nonce uint64 `msgpack:"n"`
	}

	// Grant is the reply to a GrantRequest.
	Grant struct {
		// Granted states that this sending, and no other, may run.
		Granted bool `msgpack:"g"`
		// Outcome is what is known of the earlier sending where this one is
		// not granted.
		Outcome caller.RunOutcome `msgpack:"o"`
		// Expired states that the request ID has expired.
		Expired bool `msgpack:"x"`
	}

	// RecordRequest records the outcome of a granted run.
	RecordRequest struct {
		RequestID caller.RequestID  `msgpack:"q"`
		Nonce     uint64            `msgpack:"n"`
		Outcome   caller.RunOutcome `msgpack:"o"`
	}

	// Recorded is the reply to a RecordRequest.
	Recorded struct{}

	// ReplicasRequest adds or removes one replica.
	ReplicasRequest struct {
		Add    *operator.Replica `msgpack:"a,omitempty"`
		Remove string            `msgpack:"r,omitempty"`
	}

	// reply carries a reply, or names the replica to ask instead.
	reply[Body any] struct {
		Body *Body `msgpack:"b,omitempty"`
		// NotLeading states that this replica has not acted on the call.
		NotLeading bool   `msgpack:"n,omitempty"`
		Leader     string `msgpack:"l,omitempty"`
	}
)
