package answer

import (
	"runtime"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/garbage"
)

const (
	// DefaultBudgetBytes is the budget of a process whose memory limit isn't known.
	DefaultBudgetBytes = 192 << 20
	// budgetDivisor is the share of a process's memory that answers may take. The collector needs as much again for answers
	// that are no longer used, and the rest of the process its own.
	budgetDivisor = 4

	// smallBytes is the size up to which an answer is small. Small answers may use the whole budget and don't wait.
	smallBytes = 64 << 10
	// waitLimit is how long a large answer waits for memory, in steps of waitStep. Its target waits meanwhile, because nothing
	// is read from the connection.
	waitLimit = 100 * time.Millisecond
	waitStep  = 5 * time.Millisecond
)

var (
	// ErrTooLarge reports an answer with a head or body that is too large.
	ErrTooLarge = errors.New("the answer is too large; it was dropped")
	// ErrNoMemory reports an answer for which other answers left no memory. It says nothing about the target.
	ErrNoMemory = errors.New("other answers take the memory for this one; it was dropped")
)

type (
	// Budget bounds the memory of the answers that a process holds. The zero value has DefaultBudgetBytes.
	Budget struct {
		limit int64
		held  atomic.Int64
		// collector frees answers that nothing uses any more.
		collector garbage.Collector
	}
)

// DropReason returns the metric label for an answer that was dropped for its size, its status or lack of memory, or "" for other errors.
func DropReason(err error) string {
	switch {
	case errors.Is(err, ErrTooLarge):
		return "oversized"
	case errors.Is(err, ErrNoMemory):
		return "no_memory"
	case errors.Is(err, ErrStatus):
		return "status"
	default:
		return ""
	}
}

// NewBudget returns the budget of a process that may use a number of bytes in all; 0 means that the limit isn't known.
func NewBudget(memoryLimit int64) *Budget {
	return &Budget{limit: memoryLimit / budgetDivisor}
}

// Held returns the number of bytes that count toward the budget now.
func (budget *Budget) Held() int64 {
	return budget.held.Load()
}

func (budget *Budget) total() int64 {
	if budget.limit <= 0 {
		return DefaultBudgetBytes
	}
	return budget.limit
}

// largeTotal is the part of the budget that large answers may use, so that small ones are served beside them.
func (budget *Budget) largeTotal() int64 {
	return budget.total() / 4 * 3
}

// MaximumBodyBytes returns the greatest body that fits: while its pieces are joined, it takes twice its size.
func (budget *Budget) MaximumBodyBytes() int64 {
	return budget.largeTotal() / 2
}

// reserve counts bytes that are about to be allocated. It returns false if more than total bytes would be held.
func (budget *Budget) reserve(bytes, total int64) bool {
	if budget.held.Add(bytes) <= total {
		return true
	}
	budget.held.Add(-bytes)
	return false
}

func (budget *Budget) release(bytes int64) {
	budget.held.Add(-bytes)
}

// reserveLarge is reserve for a part of a large answer, which waits for up to waitLimit.
func (budget *Budget) reserveLarge(bytes int64) error {
	for waited := time.Duration(0); !budget.reserve(bytes, budget.largeTotal()); waited += waitStep {
		if waited >= waitLimit {
			return ErrNoMemory
		}
		budget.collector.Collect()
		time.Sleep(waitStep)
	}
	return nil
}

// releaseWhenFreed counts the bytes of a body until the collector has freed it.
func (budget *Budget) releaseWhenFreed(body []byte) {
	runtime.AddCleanup(&body[0], budget.release, int64(cap(body)))
}
