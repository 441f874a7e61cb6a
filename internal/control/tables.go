// This file exists so that changes of the tables race, repeat and roll back
// with a defined outcome, in a bounded memory.

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
	// MaximumVersions bounds the versions of the tables that are kept whole.
	MaximumVersions = 64
	// MaximumHistoryBytes bounds the versions before the newest.
	MaximumHistoryBytes = 4 << 20
	// MaximumRememberedChanges bounds the memory of change IDs.
	MaximumRememberedChanges = 4096
)

type (
	// tablesData holds the tables and the memory of the changes that made
	// them.
	tablesData struct {
		// Versions are the newest versions, the newest last.
		Versions []keptVersion `msgpack:"v"`
		// Changes are the newest accepted changes. Each made one version, so
		// their versions are consecutive.
		Changes []acceptedChange `msgpack:"c"`
	}

	keptVersion struct {
		operator.Versioned `msgpack:",inline"`
		// Bytes is the encoded size of the tables.
		Bytes int `msgpack:"b"`
	}

	acceptedChange struct {
		ID      string            `msgpack:"i"`
		Version uint64            `msgpack:"v"`
		Digest  [sha256.Size]byte `msgpack:"d"`
	}
)

func (tablesData *tablesData) newest() operator.Versioned {
	if len(tablesData.Versions) == 0 {
		return operator.Versioned{}
	}
	return tablesData.Versions[len(tablesData.Versions)-1].Versioned
}

func (tablesData *tablesData) version(version uint64) (operator.Versioned, error) {
	for _, kept := range tablesData.Versions {
		if kept.Version == version {
			return kept.Versioned, nil
		}
	}
	if newest := tablesData.newest().Version; version > newest {
		return operator.Versioned{}, fault.New(fault.NotFound,
			fmt.Sprintf("version %d doesn't exist; the newest is %d", version, newest), "ask for a version up to the newest")
	}
	return operator.Versioned{}, fault.New(fault.NotFound,
		fmt.Sprintf("version %d is no longer kept; the oldest kept is %d", version, tablesData.Versions[0].Version),
		"take the tables from your version control")
}

// change makes a new version, or answers a resend with the version that its
// first sending made.
func (tablesData *tablesData) change(change *operator.Change, view *viewData) result {
	version, known, refused := tablesData.judge(change, view)
	if refused != nil {
		return result{Fault: refused}
	}
	if known {
		return result{Version: version}
	}
	newest := tablesData.newest()
	if change.Declared != 0 {
		change.Tables.FailureDomainsOut = newest.Tables.FailureDomainsOut
		newest.Declared, newest.Source = change.Declared, change.Source
	}
	return tablesData.add(change, operator.Versioned{ChangeID: change.ID, Tables: change.Tables, Declared: newest.Declared, Source: newest.Source})
}

// order takes a failure domain out or in. Where it is so already, nothing
// changes.
func (tablesData *tablesData) order(order *operator.DomainOrder) result {
	newest := tablesData.newest()
	if newest.Tables.Out(order.FailureDomain) == order.Out {
		return result{Version: newest.Version}
	}
	out := slices.DeleteFunc(slices.Clone(newest.Tables.FailureDomainsOut), func(name string) bool { return name == order.FailureDomain })
	if order.Out {
		out = append(out, order.FailureDomain)
	}
	newest.Tables.FailureDomainsOut = out
	newest.ChangeID = fmt.Sprintf("failure domain %s out: %t, after version %d", order.FailureDomain, order.Out, newest.Version)
	return tablesData.add(&operator.Change{ID: newest.ChangeID, Base: newest.Version, Tables: newest.Tables}, newest)
}

// add makes the next version.
func (tablesData *tablesData) add(change *operator.Change, added operator.Versioned) result {
	added.Version = tablesData.newest().Version + 1
	encoded, _ := msgpack.Marshal(&added)
	tablesData.Versions = append(tablesData.Versions, keptVersion{Versioned: added, Bytes: len(encoded)})
	tablesData.Changes = append(tablesData.Changes, acceptedChange{ID: change.ID, Version: added.Version, Digest: digest(change)})
	tablesData.forget()
	return result{Version: added.Version}
}

// judge says whether a change is a resend of an accepted one, or why it is
// refused.
func (tablesData *tablesData) judge(change *operator.Change, view *viewData) (version uint64, known bool, refused *fault.Error) {
	if change.Declared != 0 {
		// A number of the operator's own that isn't higher is a resend, or was
		// overtaken.
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
	if refused := tablesData.judgeBase(change); refused != nil {
		return 0, false, refused
	}
	return 0, false, view.checkOut(change)
}

func (tablesData *tablesData) judgeBase(change *operator.Change) *fault.Error {
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

// forget drops what is over the bounds. The newest version always stays.
func (tablesData *tablesData) forget() {
	if excess := len(tablesData.Changes) - MaximumRememberedChanges; excess > 0 {
		tablesData.Changes = append([]acceptedChange(nil), tablesData.Changes[excess:]...)
	}
	last := len(tablesData.Versions) - 1
	kept, bytes := last, 0
	for kept > 0 && last-kept+1 < MaximumVersions && bytes+tablesData.Versions[kept-1].Bytes <= MaximumHistoryBytes {
		kept--
		bytes += tablesData.Versions[kept].Bytes
	}
	if kept > 0 {
		tablesData.Versions = append([]keptVersion(nil), tablesData.Versions[kept:]...)
	}
}

func digest(change *operator.Change) [sha256.Size]byte {
	content := *change
	content.ID = ""
	encoded, _ := msgpack.Marshal(&content)
	return sha256.Sum256(encoded)
}
