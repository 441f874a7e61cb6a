package control_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

const never = int64(1) << 62

type (
	// operation is one read or change of the tables as an operator saw it.
	// Operations overlap unless one ended before the other began.
	operation struct {
		// id is the change ID, and in a read that of the newest version.
		id      string
		change  bool
		base    uint64
		version uint64
		// refused states that another change won.
		refused    bool
		begin, end int64
	}

	history struct {
		lock       sync.Mutex
		operations []operation
		clock      atomic.Int64
	}
)

// add notes an operation. A change without a known outcome never ends: it may
// take effect at any later time or not at all.
func (history *history) add(added operation) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.operations = append(history.operations, added)
}

// after returns the accepted change IDs, the oldest first, after an operation
// on what earlier ones made, or false where its answer would have been another.
func (operation *operation) after(accepted []string) ([]string, bool) {
	newest, open := uint64(len(accepted)), operation.end == never
	if !operation.change {
		return accepted, operation.version == newest && (newest == 0 || accepted[newest-1] == operation.id)
	}
	if made := slices.Index(accepted, operation.id); made >= 0 {
		return accepted, open || !operation.refused && operation.version == uint64(made+1)
	}
	if operation.base != newest {
		return accepted, open || operation.refused
	}
	return append(slices.Clone(accepted), operation.id), open || !operation.refused && operation.version == newest+1
}

// linearizable reports whether some order of the operations, in which none
// goes before one that had ended when it began, explains all answers.
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
		firstEnd := never
		for index := range operations {
			if done[index] == 0 {
				firstEnd = min(firstEnd, operations[index].end)
			}
		}
		if firstEnd == never {
			return true
		}
		for index := range operations {
			if done[index] == 1 || operations[index].begin > firstEnd {
				continue
			}
			after, explained := operations[index].after(accepted)
			if !explained {
				continue
			}
			done[index] = 1
			if search(after) {
				return true
			}
			done[index] = 0
		}
		return false
	}
	return search(nil)
}

func (history *history) String() string {
	var told strings.Builder
	for _, operation := range history.operations {
		fmt.Fprintf(&told, "%+v\n", operation)
	}
	return told.String()
}
