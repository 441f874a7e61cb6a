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
	}

	// Accepted is the reply to an accepted change, and to its resends.
	Accepted struct {
		ChangeID string `json:"change_id"`
		Version  uint64 `json:"version"`
	}

	// Versioned is one version of the tables.
	Versioned struct {
		Version  uint64 `json:"version"`
		ChangeID string `json:"change_id"`
		Tables   Tables `json:"tables"`
	}

	// Status describes the system for operators.
	Status struct {
		// Version is the newest accepted version.
		Version uint64 `json:"version"`
		// InForce states that every entry has the newest version or has
		// certainly fenced itself.
		InForce           bool            `json:"in_force"`
		View              uint64          `json:"view"`
		Leader            string          `json:"leader"`
		Replicas          []ReplicaStatus `json:"replicas"`
		Entries           []EntryStatus   `json:"entries"`
		FailureDomainsOut []string        `json:"failure_domains_out"`
	}

	// ReplicaStatus describes one control replica.
	ReplicaStatus struct {
		ID      string `json:"id"`
		Address string `json:"address"`
		Index   uint64 `json:"index"`
		// Lag is the number of log entries that the replica still lacks.
		Lag uint64 `json:"lag"`
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
