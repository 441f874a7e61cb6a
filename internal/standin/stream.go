// This file exists so that one direction of an in-memory connection behaves
// as TCP does under latency, cuts, silence and resets.

package standin

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

func (stream *stream) read(data []byte) (int, error) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	for {
		switch {
		case stream.reset:
			return 0, syscall.ECONNRESET
		case stream.closed:
			return 0, net.ErrClosed
		case stream.readLimit.expired():
			return 0, os.ErrDeadlineExceeded
		}
		if len(stream.chunks) > 0 && !time.Now().Before(stream.chunks[0].arrives) && !stream.chunks[0].arrives.IsZero() {
			return stream.take(data)
		}
		stream.changed.Wait()
	}
}

// take hands out bytes that have arrived. The lock is held.
func (stream *stream) take(data []byte) (int, error) {
	first := &stream.chunks[0]
	if first.end {
		return 0, io.EOF
	}
	taken := copy(data, first.data)
	first.data = first.data[taken:]
	stream.buffered -= taken
	if len(first.data) == 0 {
		stream.chunks = stream.chunks[1:]
	}
	stream.changed.Broadcast()
	return taken, nil
}

func (stream *stream) write(data []byte) (int, error) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	for {
		switch {
		case stream.reset:
			return 0, syscall.ECONNRESET
		case stream.closed || stream.ended():
			return 0, syscall.EPIPE
		case stream.sendLimit.expired():
			return 0, os.ErrDeadlineExceeded
		}
		if stream.buffered+len(data) <= maximumBuffered || stream.buffered == 0 {
			break
		}
		stream.changed.Wait()
	}
	stream.buffered += len(data)
	stream.send(chunk{data: append([]byte(nil), data...)})
	return len(data), nil
}

func (stream *stream) ended() bool {
	return len(stream.chunks) > 0 && stream.chunks[len(stream.chunks)-1].end
}

// send puts a chunk on its way. The lock is held. A zero arrival time means
// that a cut holds the chunk back.
func (stream *stream) send(sent chunk) {
	if stream.silent {
		return
	}
	if !stream.network.isCut(stream.direction) {
		sent.arrives = time.Now().Add(stream.network.delay(stream.direction))
		stream.wakeAt(sent.arrives)
	}
	stream.chunks = append(stream.chunks, sent)
	stream.changed.Broadcast()
}

func (stream *stream) deliverHeld() {
	arrives := time.Now().Add(stream.network.delay(stream.direction))
	stream.lock.Lock()
	defer stream.lock.Unlock()
	for index := range stream.chunks {
		if stream.chunks[index].arrives.IsZero() {
			stream.chunks[index].arrives = arrives
		}
	}
	stream.wakeAt(arrives)
	stream.changed.Broadcast()
}

// finish ends the sending side; what was sent still arrives.
func (stream *stream) finish() {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	if !stream.reset && !stream.closed && !stream.ended() {
		stream.send(chunk{end: true})
	}
}

// drop ends the receiving side.
func (stream *stream) drop() {
	stream.lock.Lock()
	stream.closed = true
	stream.discard()
	stream.lock.Unlock()
	stream.network.forget(stream)
}

func (stream *stream) abort() {
	stream.lock.Lock()
	stream.reset = true
	stream.discard()
	stream.lock.Unlock()
	stream.network.forget(stream)
}

// discard drops what is on its way and lets all that wait go on. The lock is
// held.
func (stream *stream) discard() {
	stream.chunks = nil
	stream.readLimit.stop()
	stream.sendLimit.stop()
	stream.changed.Broadcast()
}
