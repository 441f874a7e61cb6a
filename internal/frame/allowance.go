// The memory that the peers of a server take: for frames on their way in, calls in progress, and replies on their way out.

package frame

import (
	"gitlab.com/comfreythread/comfreythread/internal/inbound"
)

const (
	// callBytes is the memory of a call in progress beside its body, most of it the stack of its goroutine.
	callBytes = 4 << 10
	// largeBytes is the size from which a frame counts until the collector has freed it.
	largeBytes = 64 << 10
)

type (
	// allowance is the memory for one frame that is being read. The zero value has no bound.
	allowance struct {
		holder *inbound.Holder
		taken  int64
		// begun, if not nil, is called when the rest of a frame has to be waited for.
		begun func()
	}

	// holders are the parts of a link in its server's account; nil for one without a bound. Frames that are being read and replies
	// that are being written wait for the peer, so that a link may be closed for the memory that they take; calls in progress don't.
	holders struct {
		frames, calls, replies *inbound.Holder
	}
)

// newHolders returns the parts of a link in an account, which may be nil.
func newHolders(account *inbound.Account, drop func()) (*holders, error) {
	if account == nil {
		return nil, nil
	}
	holders := &holders{frames: account.NewHolder(drop), calls: account.NewHolder(drop), replies: account.NewHolder(drop)}
	return holders, holders.calls.Work()
}

// clear returns all that a link has taken.
func (holders *holders) clear() {
	if holders == nil {
		return
	}
	holders.frames.Clear()
	holders.calls.Clear()
	holders.replies.Clear()
}

// frame returns the allowance for the next frame.
func (holders *holders) frame(begun func()) *allowance {
	if holders == nil {
		return &allowance{begun: begun}
	}
	return &allowance{holder: holders.frames, begun: begun}
}

// beginCall counts a call in progress, and its body if that isn't counted already. The result is nil if there is no memory for it;
// otherwise it must be called when the call has ended.
func (holders *holders) beginCall(call *message) (end func()) {
	if holders == nil {
		return func() {}
	}
	bytes := int64(callBytes)
	if !call.counted {
		bytes += int64(len(call.Body))
	}
	if holders.calls.Reserve(bytes) != nil {
		return nil
	}
	return func() { holders.calls.Release(bytes) }
}

// write counts a reply while a function writes it.
func (holders *holders) write(bytes int, write func() error) error {
	if holders == nil {
		return write()
	}
	if err := holders.replies.Reserve(int64(bytes)); err != nil {
		return err
	}
	defer holders.replies.Release(int64(bytes))
	return write()
}

// Reserve counts bytes that are about to be allocated for the frame.
func (allowance *allowance) Reserve(bytes int64) error {
	if allowance.holder == nil {
		return nil
	}
	if err := allowance.holder.ReserveSoon(bytes); err != nil {
		return err
	}
	allowance.taken += bytes
	return nil
}

// Release returns a part of what the frame has taken.
func (allowance *allowance) Release(bytes int64) {
	if allowance.holder != nil {
		allowance.holder.Release(bytes)
		allowance.taken -= bytes
	}
}

// keep makes a buffer of the frame count until it is freed, if it is large, and reports whether it does.
func (allowance *allowance) keep(buffer []byte) bool {
	if allowance.holder == nil || len(buffer) < largeBytes {
		return false
	}
	allowance.holder.ReleaseWhenFreed(buffer)
	allowance.taken -= int64(len(buffer))
	return true
}

// release returns what the frame has taken.
func (allowance *allowance) release() {
	allowance.Release(allowance.taken)
}

func (allowance *allowance) frameBegun() {
	if allowance.begun != nil {
		allowance.begun()
	}
}
