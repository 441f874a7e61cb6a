// The tables are versioned. Concurrent changes, resends and rollbacks have a defined outcome,
// and the history that this needs is bounded.

package control

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// MaximumVersions is the maximum number of versions of the tables that are stored in full.
	MaximumVersions = 64
	// MaximumHistoryBytes is the maximum encoded size of all stored versions before the newest.
	MaximumHistoryBytes = 4 << 20
	// MaximumRememberedChanges is the maximum number of change IDs that are stored to detect
	// resends.
	MaximumRememberedChanges = 4096
)

type (
	// tablesData holds the versions of the tables and the changes that made them.
	tablesData struct {
		// Versions are the newest versions, in ascending order.
		Versions []storedVersion `msgpack:"v"`
		// Changes are the newest accepted changes. Each made one version, so their versions are
		// consecutive.
		Changes []acceptedChange `msgpack:"c"`
	}

	storedVersion struct {
		operator.VersionedTables `msgpack:",inline"`
		// Bytes is the encoded size of the tables.
		Bytes int `msgpack:"b"`
	}

	acceptedChange struct {
		ID      string            `msgpack:"i"`
		Version uint64            `msgpack:"v"`
		Digest  [sha256.Size]byte `msgpack:"d"`
	}
)

func (tablesData *tablesData) newest() operator.VersionedTables {
	if len(tablesData.Versions) == 0 {
		return operator.VersionedTables{}
	}
	return tablesData.Versions[len(tablesData.Versions)-1].VersionedTables
}

func (tablesData *tablesData) version(version uint64) (operator.VersionedTables, error) {
	for _, stored := range tablesData.Versions {
		if stored.Version == version {
			return stored.VersionedTables, nil
		}
	}
	if newest := tablesData.newest().Version; version > newest || newest == 0 {
		return operator.VersionedTables{}, fault.New(fault.NotFound,
			fmt.Sprintf("version %d doesn't exist; the newest is %d", version, newest), "ask for a version up to the newest")
	}
	return operator.VersionedTables{}, fault.New(fault.NotFound,
		fmt.Sprintf("version %d is no longer kept; the oldest kept is %d", version, tablesData.Versions[0].Version),
		"take the tables from your version control")
}

// change makes a new version of the tables. A resend gets the version that its first sending
// made.
func (tablesData *tablesData) change(change *operator.Change, view *viewData) result {
	version, resent, refusal := tablesData.checkChange(change, view)
	if refusal != nil {
		return result{Fault: refusal}
	}
	if resent {
		return result{Version: version}
	}
	newest := tablesData.newest()
	if change.Declared != 0 {
		change.Tables.FailureDomainsOut = newest.Tables.FailureDomainsOut
		newest.Declared, newest.Source = change.Declared, change.Source
	}
	change.Tables.Rollouts = rolloutsOfPools(newest.Tables.Rollouts, change.Tables.Pools)
	return tablesData.add(change, operator.VersionedTables{ChangeID: change.ID, Tables: change.Tables, Declared: newest.Declared, Source: newest.Source})
}

// applyDomainChange takes a failure domain out of service or puts it back. It makes no version if
// the domain is already in that state.
func (tablesData *tablesData) applyDomainChange(change *operator.DomainChange) result {
	newest := tablesData.newest()
	if newest.Tables.IsOut(change.FailureDomain) == change.Out {
		return result{Version: newest.Version}
	}
	out := slices.DeleteFunc(slices.Clone(newest.Tables.FailureDomainsOut), func(name string) bool { return name == change.FailureDomain })
	if change.Out {
		out = append(out, change.FailureDomain)
	}
	newest.Tables.FailureDomainsOut = out
	newest.ChangeID = fmt.Sprintf("failure domain %s out: %t, after version %d", change.FailureDomain, change.Out, newest.Version)
	return tablesData.add(&operator.Change{ID: newest.ChangeID, Base: newest.Version, Tables: newest.Tables}, newest)
}

// add appends the next version.
func (tablesData *tablesData) add(change *operator.Change, added operator.VersionedTables) result {
	added.Version = tablesData.newest().Version + 1
	encoded, _ := msgpack.Marshal(&added)
	tablesData.Versions = append(tablesData.Versions, storedVersion{VersionedTables: added, Bytes: len(encoded)})
	tablesData.Changes = append(tablesData.Changes, acceptedChange{ID: change.ID, Version: added.Version, Digest: digest(change)})
	tablesData.trim()
	return result{Version: added.Version}
}

// checkChange returns the version with which a resend is answered, whether the change is a resend
// of an accepted one, and the reason to refuse it, if there is one. A declared version that isn't
// higher than the newest counts as a resend.
func (tablesData *tablesData) checkChange(change *operator.Change, view *viewData) (version uint64, resent bool, refusal *fault.Error) {
	if change.Declared != 0 {
		// The operator numbers declared versions. A number that isn't higher than the newest is
		// either a resend or superseded, so the change has no effect.
		newest := tablesData.newest()
		return newest.Version, change.Declared <= newest.Declared, nil
	}
	for index := range tablesData.Changes {
		accepted := &tablesData.Changes[index]
		if accepted.ID != change.ID {
			continue
		}
		if accepted.Digest != digest(change) {
			return 0, false, fault.New(fault.Conflict,
				fmt.Sprintf("change ID %q has made version %d with different content; this content is not applied", change.ID, accepted.Version),
				"send it again under a change ID of its own")
		}
		return accepted.Version, true, nil
	}
	if refusal := tablesData.checkBase(change); refusal != nil {
		return 0, false, refusal
	}
	return 0, false, view.checkFailureDomainsOut(change)
}

// checkBase returns the reason to refuse a change that isn't based on the newest version.
func (tablesData *tablesData) checkBase(change *operator.Change) *fault.Error {
	newest := tablesData.newest()
	remedy := fmt.Sprintf("get version %d, make the change again and apply it with base %d under a new change ID", newest.Version, newest.Version)
	switch {
	case change.Base == newest.Version:
		return nil
	case change.Base > newest.Version:
		return fault.New(fault.Conflict, fmt.Sprintf("change %q is based on version %d, but the newest is %d", change.ID, change.Base, newest.Version), remedy)
	case change.Base+1 < tablesData.Changes[0].Version:
		return fault.New(fault.Conflict,
			fmt.Sprintf("change %q is based on version %d, and changes are remembered from version %d only: whether it was applied before is no longer known", change.ID, change.Base, tablesData.Changes[0].Version),
			fmt.Sprintf("compare with version %d by comfreythread diff; if the change lacks, apply it with base %d under a new change ID", newest.Version, newest.Version))
	}
	winner := tablesData.Changes[change.Base+1-tablesData.Changes[0].Version]
	return fault.New(fault.Conflict,
		fmt.Sprintf("change %q is not applied: change %q won and made version %d from version %d; the newest is version %d by change %q",
			change.ID, winner.ID, winner.Version, change.Base, newest.Version, newest.ChangeID), remedy)
}

// trim drops the oldest changes and versions that exceed the limits. The newest version is
// always kept.
func (tablesData *tablesData) trim() {
	if excess := len(tablesData.Changes) - MaximumRememberedChanges; excess > 0 {
		tablesData.Changes = append([]acceptedChange(nil), tablesData.Changes[excess:]...)
	}
	last := len(tablesData.Versions) - 1
	oldest, bytes := last, 0
	for oldest > 0 && last-oldest+1 < MaximumVersions && bytes+tablesData.Versions[oldest-1].Bytes <= MaximumHistoryBytes {
		oldest--
		bytes += tablesData.Versions[oldest].Bytes
	}
	if oldest > 0 {
		tablesData.Versions = append([]storedVersion(nil), tablesData.Versions[oldest:]...)
	}
}

// digest returns a hash of a change without its ID, so that a resend is distinguished from another
// change under the same ID. The hash leaves out the rollouts, which only control writes.
func digest(change *operator.Change) [sha256.Size]byte {
	content := *change
	content.ID = ""
	content.Tables.Rollouts = nil
	encoded, _ := msgpack.Marshal(&content)
	return sha256.Sum256(encoded)
}
