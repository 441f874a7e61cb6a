// This file exists so that a change of the tables can be raced and resent
// with a defined outcome.

package operator

import (
	"time"
)

type (
	// Change asks for new tables in place of a named version.
	Change struct {
		// ID names the change across resends.
		ID string `json:"id" msgpack:"i"`
		// Base is the version that the operator changed. The first change
		// has base 0.
		Base   uint64 `json:"base" msgpack:"b"`
		Tables Tables `json:"tables" msgpack:"t"`
		// AllowAllOut accepts tables that take out every failure domain.
		AllowAllOut bool `json:"allow_all_out,omitempty" msgpack:"o"`
		// DryRun asks for the check alone; nothing is changed.
		DryRun bool `json:"dry_run,omitempty" msgpack:"d,omitempty"`
		// Declared is the operator's own version number. Where it is set, Base
		// and the domains that are out aren't looked at: the tables replace
		// those of any lower number, and a number that isn't higher is
		// acknowledged and changes nothing.
		Declared uint64 `json:"declared,omitempty" msgpack:"n,omitempty"`
		// Source is the document from which a declared version was made. It is
		// kept as it is.
		Source []byte `json:"source,omitempty" msgpack:"s,omitempty"`
	}

	// DomainOrder takes one failure domain out, or takes it in again. The
	// rest of the tables stays as it is.
	DomainOrder struct {
		FailureDomain string `json:"failure_domain" msgpack:"f"`
		Out           bool   `json:"out" msgpack:"o"`
	}

	// Accepted is the reply to an accepted change, and to its resends.
	Accepted struct {
		ChangeID string `json:"change_id"`
		// Version is the version that the change made. For a dry run it is
		// the version that the change would have made.
		Version uint64 `json:"version"`
		DryRun  bool   `json:"dry_run,omitempty"`
	}

	// Versioned is one version of the tables.
	Versioned struct {
		Version  uint64 `json:"version"`
		ChangeID string `json:"change_id"`
		Tables   Tables `json:"tables"`
		// Declared and Source are those of the newest change that had them.
		Declared uint64 `json:"declared,omitempty"`
		Source   []byte `json:"source,omitempty"`
	}

	// Status describes the system for operators.
	Status struct {
		// Version is the newest accepted version.
		Version uint64 `json:"version"`
		// InForce states that every entry has the newest version or has
		// certainly fenced itself.
		InForce bool `json:"in_force"`
		// InForceVersion is the newest version of which that is certain; zero
		// while a new leader waits for the leases of the earlier one to end.
		InForceVersion uint64 `json:"in_force_version"`
		View           uint64 `json:"view"`
		// SettledView is the newest view under which targets have their new
		// homes; zero while a new leader waits.
		SettledView       uint64                `json:"settled_view"`
		Leader            string                `json:"leader"`
		Term              uint64                `json:"term"`
		Replicas          []ReplicaStatus       `json:"replicas"`
		Entries           []EntryStatus         `json:"entries"`
		FailureDomains    []FailureDomainStatus `json:"failure_domains"`
		FailureDomainsOut []string              `json:"failure_domains_out"`
	}

	// FailureDomainStatus describes one failure domain that has or had
	// entries.
	FailureDomainStatus struct {
		Name    string `json:"name"`
		Out     bool   `json:"out"`
		Entries int    `json:"entries"`
	}

	// Replica names a control replica that is to be added.
	Replica struct {
		// Name is the name in the settings of the replica's process.
		Name string `json:"name"`
		// Address is the replica's peer address, IP:port.
		Address string `json:"address"`
	}

	// Done is the reply to a command that returns nothing else.
	Done struct{}

	// ReplicaStatus describes one control replica.
	ReplicaStatus struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Index   uint64 `json:"index"`
		// Lag is the number of log entries that the replica still lacks.
		Lag uint64 `json:"lag"`
		// Voter is false for a replica that still catches up.
		Voter bool `json:"voter"`
	}

	// EntryStatus describes one entry as control knows it.
	EntryStatus struct {
		ID            string    `json:"id"`
		Address       string    `json:"address"`
		FailureDomain string    `json:"failure_domain"`
		Version       uint64    `json:"version"`
		View          uint64    `json:"view"`
		Fenced        bool      `json:"fenced"`
		Stopping      bool      `json:"stopping"`
		LeaseUntil    time.Time `json:"lease_until"`
	}
)
