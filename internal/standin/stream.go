// One direction of an in-memory connection, which behaves as TCP does under latency, cuts,
// silence and resets.

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
		case stream.readDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		}
		if len(stream.chunks) > 0 && !time.Now().Before(stream.chunks[0].arrivesAt) && !stream.chunks[0].arrivesAt.IsZero() {
			return stream.readChunk(data)
		}
		stream.changed.Wait()
	}
}

// readChunk copies bytes from the first chunk, which must have arrived. The lock must be held.
func (stream *stream) readChunk(data []byte) (int, error) {
	first := &stream.chunks[0]
	if first.endOfStream {
		return 0, io.EOF
	}
	count := copy(data, first.data)
	first.data = first.data[count:]
	stream.bufferedBytes -= count
	if len(first.data) == 0 {
		stream.chunks = stream.chunks[1:]
	}
	stream.changed.Broadcast()
	return count, nil
}

func (stream *stream) write(data []byte) (int, error) {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	for {
		switch {
		case stream.reset:
			return 0, syscall.ECONNRESET
		case stream.closed && !stream.silent || stream.endSent():
			return 0, syscall.EPIPE
		case stream.writeDeadline.expired():
			return 0, os.ErrDeadlineExceeded
		}
		if stream.bufferedBytes+len(data) <= maximumBufferedBytes || stream.bufferedBytes == 0 {
			break
		}
		stream.changed.Wait()
	}
	stream.bufferedBytes += len(data)
	stream.enqueue(chunk{data: append([]byte(nil), data...)})
	return len(data), nil
}

// endSent reports whether the writer has ended the stream. The lock must be held.
func (stream *stream) endSent() bool {
	return len(stream.chunks) > 0 && stream.chunks[len(stream.chunks)-1].endOfStream
}

// enqueue schedules the delivery of a chunk, or drops the chunk if the stream is silent. During a
// cut, the chunk's arrival time stays zero, which holds the chunk back until Heal. The lock must be
// held.
func (stream *stream) enqueue(queued chunk) {
	if stream.silent {
		return
	}
	if !stream.network.isCut(stream.direction) {
		queued.arrivesAt = stream.network.departureOf(stream.direction.from, len(queued.data)).Add(stream.network.latencyOf(stream.direction))
		stream.wakeAt(queued.arrivesAt)
	}
	stream.chunks = append(stream.chunks, queued)
	stream.changed.Broadcast()
}

// scheduleHeldChunks schedules the delivery of the chunks that a cut held back.
func (stream *stream) scheduleHeldChunks() {
	arrivesAt := time.Now().Add(stream.network.latencyOf(stream.direction))
	stream.lock.Lock()
	defer stream.lock.Unlock()
	for index := range stream.chunks {
		if stream.chunks[index].arrivesAt.IsZero() {
			stream.chunks[index].arrivesAt = arrivesAt
		}
	}
	stream.wakeAt(arrivesAt)
	stream.changed.Broadcast()
}

// closeWrite shuts down the writing side, as a TCP FIN does. Data already written is still
// delivered.
func (stream *stream) closeWrite() {
	stream.lock.Lock()
	defer stream.lock.Unlock()
	if !stream.reset && !stream.closed && !stream.endSent() {
		stream.enqueue(chunk{endOfStream: true})
	}
}

// closeRead shuts down the reading side: data not yet read is dropped, and the writer gets EPIPE, unless the stream is silent.
func (stream *stream) closeRead() {
	stream.lock.Lock()
	stream.closed = true
	stream.discard()
	stream.lock.Unlock()
	stream.network.removeStream(stream)
}

// abort resets the stream, as a TCP RST does: data not yet read is dropped, and the reader and the
// writer get ECONNRESET.
func (stream *stream) abort() {
	stream.lock.Lock()
	stream.reset = true
	stream.discard()
	stream.lock.Unlock()
	stream.network.removeStream(stream)
}

// discard drops undelivered data and wakes waiting readers and writers. The lock must be held.
func (stream *stream) discard() {
	stream.chunks = nil
	stream.readDeadline.stopTimer()
	stream.writeDeadline.stopTimer()
	stream.changed.Broadcast()
}
