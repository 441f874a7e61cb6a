// The account of the memory that clients take.

package inbound

import (
	"container/list"
	"math/bits"
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/garbage"
)

const (
	// DefaultAccountBytes is the limit of an account in a process whose memory limit isn't known.
	DefaultAccountBytes = 192 << 20
	// smallBytes is the size up to which a holder is small. An ordinary request is.
	smallBytes = 32 << 10
	// smallDivisor is the share of an account that is for small holders alone.
	smallDivisor = 8
	sizeClasses  = 64
	// waitLimit is how long ReserveSoon waits, in steps of waitStep.
	waitLimit = 100 * time.Millisecond
	waitStep  = 5 * time.Millisecond
)

var (
	// ErrNoMemory reports that what others hold leaves no memory for what a client sends or is to get.
	ErrNoMemory = errors.New("other clients take the memory for this one")
)

type (
	// Account bounds the memory that clients take together: for what they have sent, and for answers that they haven't read. When it
	// is full, large holders get no more, and small ones take the place of the largest holder that waits for its client, which is
	// dropped. The zero value has DefaultAccountBytes.
	Account struct {
		limit int64

		lock sync.Mutex
		held int64
		// working is the part of held that belongs to holders that don't wait for their clients.
		working int64
		// waiting holds those that do, by the power of two of their size, the newest last.
		waiting [sizeClasses + 1]list.List
		dropped int64
		// collector frees buffers that count until they are freed.
		collector garbage.Collector
	}

	// Holder is one client's part of an account. Create it with NewHolder.
	Holder struct {
		account *Account
		drop    func()

		// The lock of the account protects the following fields.
		held      int64
		isWorking bool
		isDropped bool
		// class and element are its place among those that wait; element is nil for others.
		class   int
		element *list.Element
	}
)

// NewAccount returns an account of a number of bytes; 0 stands for DefaultAccountBytes.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit}
}

// NewHolder returns a holder without bytes, which waits for its client. The account calls drop when it takes back what the
// holder has; the function must close the client's connection.
func (account *Account) NewHolder(drop func()) *Holder {
	return &Holder{account: account, drop: drop}
}

// Held returns the number of bytes that are held, and how many holders were dropped so far.
func (account *Account) Held() (bytes, dropped int64) {
	account.lock.Lock()
	defer account.lock.Unlock()
	return account.held, account.dropped
}

// Limit returns the number of bytes that may be held.
func (account *Account) Limit() int64 {
	if account.limit <= 0 {
		return DefaultAccountBytes
	}
	return account.limit
}

// largeLimit is the part of the account that large holders may use, so that small ones needn't drop any of them as a rule.
func (account *Account) largeLimit() int64 {
	return account.Limit() - account.Limit()/smallDivisor
}

// workingLimit is the part of the account that large holders may use while they don't wait for their clients. The rest is for
// small ones, and for clients that are still sending.
func (account *Account) workingLimit() int64 {
	return account.Limit() / 4 * 3
}

// Reserve counts bytes that are about to be allocated. The error is ErrNoMemory if they don't fit, or if the holder has been dropped.
// For a small holder, larger ones that wait for their clients are dropped first. A large one gets nothing in that way: if new large
// requests took the place of those that have half arrived, none would ever be whole.
func (holder *Holder) Reserve(bytes int64) error {
	account := holder.account
	account.lock.Lock()
	victims, err := holder.reserve(bytes)
	account.lock.Unlock()
	for _, victim := range victims {
		victim.drop()
	}
	return err
}

func (holder *Holder) reserve(bytes int64) (victims []*Holder, err error) {
	account := holder.account
	isSmall := holder.held+bytes <= smallBytes
	if holder.isDropped || !isSmall && account.held+bytes > account.largeLimit() || holder.isWorking && !account.fitsWork(holder.held, bytes) {
		return nil, ErrNoMemory
	}
	for account.held+bytes > account.Limit() {
		victim := account.largest()
		if victim == nil || victim.class <= sizeClass(holder.held+bytes) {
			return victims, ErrNoMemory
		}
		victim.clear()
		victim.isDropped = true
		account.dropped++
		victims = append(victims, victim)
	}
	holder.add(bytes)
	return victims, nil
}

// ReserveSoon is like Reserve, but waits up to 100 ms for memory.
func (holder *Holder) ReserveSoon(bytes int64) error {
	for waited := time.Duration(0); ; waited += waitStep {
		err := holder.Reserve(bytes)
		if err == nil || waited >= waitLimit {
			return err
		}
		holder.account.collector.Collect()
		time.Sleep(waitStep)
	}
}

// ReleaseWhenFreed returns bytes that were reserved for a buffer once the collector has freed it, also if the holder has been cleared
// by then. For large buffers, garbage would otherwise take as much memory as the account.
func (holder *Holder) ReleaseWhenFreed(buffer []byte) {
	account, bytes := holder.account, int64(len(buffer))
	account.lock.Lock()
	defer account.lock.Unlock()
	holder.add(-min(bytes, holder.held))
	account.held += bytes
	runtime.AddCleanup(&buffer[0], func(bytes int64) {
		account.lock.Lock()
		defer account.lock.Unlock()
		account.held -= bytes
	}, bytes)
}

// fitsWork reports whether a holder with a number of bytes may hold more of them while it doesn't wait for its client.
func (account *Account) fitsWork(held, bytes int64) bool {
	return account.working+bytes <= account.workingLimit() || held+bytes <= smallBytes
}

// largest returns the newest holder of the greatest class that waits for its client, or nil.
func (account *Account) largest() *Holder {
	for class := sizeClasses; class > 0; class-- {
		if last := account.waiting[class].Back(); last != nil {
			return last.Value.(*Holder)
		}
	}
	return nil
}

func sizeClass(bytes int64) int {
	return bits.Len64(uint64(bytes))
}

// Release returns a part of what the holder has.
func (holder *Holder) Release(bytes int64) {
	holder.account.lock.Lock()
	defer holder.account.lock.Unlock()
	holder.add(-min(bytes, holder.held))
}

// Clear returns all that the holder has. From then on it waits for its client.
func (holder *Holder) Clear() {
	holder.account.lock.Lock()
	defer holder.account.lock.Unlock()
	holder.clear()
	holder.isWorking = false
}

func (holder *Holder) clear() {
	holder.add(-holder.held)
}

// Work records that the holder doesn't wait for its client any more, so that it isn't dropped. It returns ErrNoMemory, and changes
// nothing, if others that don't wait take the memory, or if the holder has been dropped.
func (holder *Holder) Work() error {
	account := holder.account
	account.lock.Lock()
	defer account.lock.Unlock()
	switch {
	case holder.isWorking:
		return nil
	case holder.isDropped, !account.fitsWork(0, holder.held):
		return ErrNoMemory
	}
	held := holder.held
	holder.clear()
	holder.isWorking = true
	holder.add(held)
	return nil
}

// Wait records that the holder waits for its client, which has to read or to send, so that it may be dropped.
func (holder *Holder) Wait() {
	holder.account.lock.Lock()
	defer holder.account.lock.Unlock()
	held := holder.held
	holder.clear()
	holder.isWorking = false
	holder.add(held)
}

// add changes what the holder has, and its place among those that wait. The lock must be held.
func (holder *Holder) add(bytes int64) {
	account := holder.account
	holder.held += bytes
	account.held += bytes
	if holder.isWorking {
		account.working += bytes
	}
	class := sizeClass(holder.held)
	if holder.element != nil && (class != holder.class || holder.isWorking) {
		account.waiting[holder.class].Remove(holder.element)
		holder.element = nil
	}
	if holder.element == nil && class > 0 && !holder.isWorking {
		holder.element = account.waiting[class].PushBack(holder)
	}
	holder.class = class
}
