// A change has an ID and a base version, so that resending it or making it
// concurrently with another change has a defined outcome.

package operator

import (
	"time"
)

type (
	// Change replaces the tables of version Base with new ones.
	Change struct {
		// ID identifies the change and its resends.
		ID string `json:"id" msgpack:"i"`
		// Base is the version that the change is based on, 0 for the first
		// change.
		Base   uint64 `json:"base" msgpack:"b"`
		Tables Tables `json:"tables" msgpack:"t"`
		// AllowAllOut allows tables that take every failure domain out of
		// service.
		AllowAllOut bool `json:"allow_all_out,omitempty" msgpack:"o"`
		// DryRun validates the change without applying it.
		DryRun bool `json:"dry_run,omitempty" msgpack:"d,omitempty"`
		// Declared is the operator's own version number. If it is set, Base
		// is ignored and the failure domains that are out stay as they are.
		// The tables are applied if the number is higher than the current
		// one; otherwise the change is acknowledged without effect.
		Declared uint64 `json:"declared,omitempty" msgpack:"n,omitempty"`
		// Source is the document from which a declared version was generated.
		// It is stored unchanged.
		Source []byte `json:"source,omitempty" msgpack:"s,omitempty"`
	}

	// DomainChange takes one failure domain out of service, or back into
	// service. It leaves the rest of the tables unchanged.
	DomainChange struct {
		FailureDomain string `json:"failure_domain" msgpack:"f"`
		Out           bool   `json:"out" msgpack:"o"`
	}

	// ChangeReply is the reply to an accepted change, and to its resends.
	ChangeReply struct {
		ChangeID string `json:"change_id"`
		// Version is the version that the change created, or would have
		// created if it is a dry run.
		Version uint64 `json:"version"`
		DryRun  bool   `json:"dry_run,omitempty"`
	}

	// VersionedTables is one version of the tables.
	VersionedTables struct {
		Version  uint64 `json:"version"`
		ChangeID string `json:"change_id"`
		Tables   Tables `json:"tables"`
		// Declared and Source are from the newest change that set them. The API for operators
		// leaves Source out, because it may hold keys.
		Declared uint64 `json:"declared,omitempty"`
		Source   []byte `json:"source,omitempty"`
	}

	// Status describes the system for operators.
	Status struct {
		// Version is the newest accepted version.
		Version uint64 `json:"version"`
		// InForce is true if every entry uses the newest version or is certain
		// to have fenced itself, which means that it accepts no requests because
		// its lease from control has expired.
		InForce bool `json:"in_force"`
		// InForceVersion is the newest version such that every entry that isn't
		// fenced is certain to use it or a newer one. It is zero while a new
		// leader waits for the leases granted by its predecessor to expire.
		InForceVersion uint64 `json:"in_force_version"`
		// View is the number of the newest view, which is a version of the list
		// of entries.
		View uint64 `json:"view"`
		// SettledView is the newest view whose assignment of targets to home
		// entries, which send runs to them, is in effect; zero while a new leader
		// waits.
		SettledView uint64 `json:"settled_view"`
		// Leader is the ID of the control replica that leads in Term.
		Leader            string                `json:"leader"`
		Term              uint64                `json:"term"`
		Replicas          []ReplicaStatus       `json:"replicas"`
		Entries           []EntryStatus         `json:"entries"`
		FailureDomains    []FailureDomainStatus `json:"failure_domains"`
		FailureDomainsOut []string              `json:"failure_domains_out"`
	}

	// FailureDomainStatus describes a failure domain that has, or once had,
	// entries.
	FailureDomainStatus struct {
		Name    string `json:"name"`
		Out     bool   `json:"out"`
		Entries int    `json:"entries"`
	}

	// Replica identifies a control replica to add.
	Replica struct {
		// Name is the name in the settings of the replica's process.
		Name string `json:"name"`
		// Address is the replica's peer address, IP:port.
		Address string `json:"address"`
	}

	// EmptyReply is the empty reply to a command that returns no data.
	EmptyReply struct{}

	// ReplicaStatus is the status of a control replica.
	ReplicaStatus struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		// Index is the index of the last log entry that the replica is known to
		// have.
		Index uint64 `json:"index"`
		// Lag is the number of log entries that the replica is behind.
		Lag uint64 `json:"lag"`
		// Voter is false for a replica that is still catching up.
		Voter bool `json:"voter"`
	}

	// EntryStatus is the status of an entry as control last recorded it.
	EntryStatus struct {
		ID            string `json:"id"`
		Address       string `json:"address"`
		FailureDomain string `json:"failure_domain"`
		// Version and View are the version of the tables and the number of the view
		// that the entry uses.
		Version    uint64    `json:"version"`
		View       uint64    `json:"view"`
		Fenced     bool      `json:"fenced"`
		Stopping   bool      `json:"stopping"`
		LeaseUntil time.Time `json:"lease_until"`
	}
)
