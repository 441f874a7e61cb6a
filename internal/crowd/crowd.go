// Clients that send the same traffic at the same time.

package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout = 5 * time.Second
	// redialDelay is the delay before a new connection after one that couldn't be opened.
	redialDelay = 10 * time.Millisecond
	// drainBytes is the size of the buffer for answers, which are dropped.
	drainBytes = 4 << 10
	// sampleInterval is the interval at which descriptors are counted.
	sampleInterval = 5 * time.Millisecond
)

type (
	// Script sends the traffic of one connection. It returns once the connection has served its purpose or has failed; the
	// connection is then closed and replaced by a new one.
	Script func(ctx context.Context, connection net.Conn)

	// Crowd is a number of clients, each with one connection at a time.
	Crowd struct {
		Address string
		Size    int
		Script  Script

		opened atomic.Int64
	}

	// Held is what a process held at most while crowds sent.
	Held struct {
		PeakBytes   int64
		Descriptors int
		// Opened is the number of connections that the crowds opened.
		Opened int64
	}
)

// Press runs crowds at the same time for a span, and returns what the process held at most. The error says that the process has
// ended, or why it can't be measured.
func (process *Process) Press(span time.Duration, crowds ...*Crowd) (Held, error) {
	var held Held
	if err := process.resetPeak(); err != nil {
		return held, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var running sync.WaitGroup
	for _, members := range crowds {
		running.Go(func() { members.run(ctx) })
	}
	for ctx.Err() == nil {
		if open, err := process.Descriptors(); err == nil {
			held.Descriptors = max(held.Descriptors, open)
		}
		time.Sleep(sampleInterval)
	}
	running.Wait()
	for _, members := range crowds {
		held.Opened += members.opened.Load()
	}
	if !process.Alive() {
		return held, errors.New("the process has ended")
	}
	peak, err := process.peakBytes()
	held.PeakBytes = peak
	return held, err
}

// String formats what was held for a test's log.
func (held Held) String() string {
	return fmt.Sprintf("peak %d MB, %d descriptors, %d connections opened", held.PeakBytes>>20, held.Descriptors, held.Opened)
}

// run runs the script on Size connections at a time until ctx ends.
func (crowd *Crowd) run(ctx context.Context) {
	var members sync.WaitGroup
	for range crowd.Size {
		members.Go(func() {
			for ctx.Err() == nil {
				crowd.connect(ctx)
			}
		})
	}
	members.Wait()
}

func (crowd *Crowd) connect(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", crowd.Address)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
		return
	}
	crowd.opened.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	crowd.Script(ctx, connection)
	stop()
	_ = connection.Close()
}

// Send returns a script that sends a text and then reads until the peer closes the connection.
func Send(text []byte) Script {
	return func(_ context.Context, connection net.Conn) {
		if _, err := connection.Write(text); err == nil {
			Drain(connection)
		}
	}
}

// SendAgain returns a script that sends a text and then another one again and again until the connection fails. Answers are
// dropped.
func SendAgain(first, repeated []byte) Script {
	return func(_ context.Context, connection net.Conn) {
		go Drain(connection)
		_, err := connection.Write(first)
		for err == nil {
			_, err = connection.Write(repeated)
		}
	}
}

// Drain reads and drops what arrives on a connection until it ends.
func Drain(connection net.Conn) {
	_, _ = io.CopyBuffer(io.Discard, struct{ io.Reader }{connection}, make([]byte, drainBytes))
}
