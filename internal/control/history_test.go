package control_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// noEnd is the end of a change with an unknown outcome.
const noEnd = int64(1) << 62

type (
	// operation is one read or change of the tables as an operator saw it. Two operations
	// overlap unless one ended before the other began.
	operation struct {
		// id is the change ID; for a read, that of the newest version.
		id     string
		change bool
		// base is the version on which a change is based, and version is the one in the answer.
		base    uint64
		version uint64
		// refused is true if another change won.
		refused    bool
		begin, end int64
	}

	history struct {
		lock       sync.Mutex
		operations []operation
		// clock is a counter that orders the begins and ends of operations.
		clock atomic.Int64
	}
)

// add records an operation. A change with an unknown outcome never ends: it may take effect at
// any later time or not at all.
func (history *history) add(added operation) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.operations = append(history.operations, added)
}

// stateAfter returns the accepted change IDs, oldest first, after the operation is applied to
// the given ones. It returns false if the operation's recorded answer contradicts them.
func (operation *operation) stateAfter(accepted []string) ([]string, bool) {
	newest, unknownOutcome := uint64(len(accepted)), operation.end == noEnd
	if !operation.change {
		return accepted, operation.version == newest && (newest == 0 || accepted[newest-1] == operation.id)
	}
	if position := slices.Index(accepted, operation.id); position >= 0 {
		return accepted, unknownOutcome || !operation.refused && operation.version == uint64(position+1)
	}
	if operation.base != newest {
		return accepted, unknownOutcome || operation.refused
	}
	return append(slices.Clone(accepted), operation.id), unknownOutcome || !operation.refused && operation.version == newest+1
}

// linearizable reports whether some order of the operations explains all answers. In that
// order, no operation may come before one that ended before it began.
func linearizable(operations []operation) bool {
	seen := map[string]bool{}
	done := make([]byte, len(operations))
	var search func(accepted []string) bool
	search = func(accepted []string) bool {
		key := string(done) + strings.Join(accepted, " ")
		if seen[key] {
			return false
		}
		seen[key] = true
		firstEnd := noEnd
		for index := range operations {
			if done[index] == 0 {
				firstEnd = min(firstEnd, operations[index].end)
			}
		}
		if firstEnd == noEnd {
			return true
		}
		for index := range operations {
			if done[index] == 1 || operations[index].begin > firstEnd {
				continue
			}
			nextAccepted, explained := operations[index].stateAfter(accepted)
			if !explained {
				continue
			}
			done[index] = 1
			if search(nextAccepted) {
				return true
			}
			done[index] = 0
		}
		return false
	}
	return search(nil)
}

func (history *history) String() string {
	var text strings.Builder
	for _, operation := range history.operations {
		fmt.Fprintf(&text, "%+v\n", operation)
	}
	return text.String()
}
