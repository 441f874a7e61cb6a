// One connection of a client.

package inbound

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/pieces"
)

const (
	// A head costs more than its size once it is parsed: each line takes a place in a map, a list of values, and copies in the
	// request that is sent on.
	memoryPerHeadLine = 200
	memoryPerHeadByte = 2
	// memoryPerUnseenByte is the cost of a byte of a head whose lines weren't counted, because it was read with the previous request.
	// The shortest line has three bytes.
	memoryPerUnseenByte = memoryPerHeadByte + memoryPerHeadLine/3 + 1
	// readAheadBytes is how much of the next request net/http may read with one.
	readAheadBytes = 4 << 10
)

var (
	// ErrTooLarge reports a body above its maximum.
	ErrTooLarge = pieces.ErrTooLarge
)

type (
	// Connection is a connection of a client that a listener of a gate has accepted. The methods of nil do nothing, for servers
	// without a gate.
	Connection struct {
		net.Conn
		listener *listener
		holder   *Holder

		// The lock of the gate protects the following fields.
		phase    phase
		since    time.Time
		element  *list.Element
		isClosed bool

		// lock protects the following fields: a server may read in the background while it serves a request.
		lock sync.Mutex
		head head
		// isServed is true from the time at which a server has parsed a request until it has been answered.
		isServed bool
		// afterHead is the number of bytes read since the head ended, and bodyBytes the part of them that is known to be a body.
		afterHead, bodyBytes int64
	}

	// head counts the head of a request while it arrives.
	head struct {
		bytes, lines int
		// lineBytes is the size of the unfinished line, without a carriage return at its end.
		lineBytes int
		ended     bool
	}

	connectionKey struct{}
)

func newConnection(accepted net.Conn, listener *listener) *Connection {
	connection := &Connection{Conn: accepted, listener: listener}
	if listener.isHTTP {
		connection.holder = listener.gate.callers.NewHolder(connection.dropForMemory)
	}
	return connection
}

// dropForMemory closes a connection whose memory is needed for others.
func (connection *Connection) dropForMemory() {
	_ = connection.Close()
	connection.listener.gate.dropped(connection.listener, reasonMemory, connection.RemoteAddr())
}

// SetKeepAlive turns TCP keepalive on or off, if the connection has it.
func (connection *Connection) SetKeepAlive(on bool) error {
	if setter, supported := connection.Conn.(interface{ SetKeepAlive(on bool) error }); supported {
		return setter.SetKeepAlive(on)
	}
	return nil
}

// CloseWrite ends the sending half of the connection.
func (connection *Connection) CloseWrite() error {
	if closer, supported := connection.Conn.(interface{ CloseWrite() error }); supported {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (connection *Connection) Close() error {
	connection.leave()
	if connection.holder != nil {
		connection.holder.Clear()
	}
	return connection.Conn.Close()
}

// leave stops counting the connection.
func (connection *Connection) leave() {
	gate := connection.listener.gate
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if connection.isClosed {
		return
	}
	connection.isClosed = true
	connection.listener.phases[connection.phase].Remove(connection.element)
	connection.listener.open--
	gate.open--
}

// enter puts the connection at the end of those of a phase. The lock of the gate must be held.
func (connection *Connection) enter(phase phase) {
	if connection.isClosed {
		return
	}
	if connection.element != nil {
		connection.listener.phases[connection.phase].Remove(connection.element)
	}
	connection.phase, connection.since = phase, time.Now()
	connection.element = connection.listener.phases[phase].PushBack(connection)
}

func (connection *Connection) setPhase(phase phase) {
	gate := connection.listener.gate
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if connection.phase != phase {
		connection.enter(phase)
	}
}

// Read implements net.Conn. Of a head it returns no byte for which there is no memory.
func (connection *Connection) Read(buffer []byte) (int, error) {
	read, err := connection.Conn.Read(buffer)
	if read == 0 || !connection.listener.isHTTP {
		return read, err
	}
	connection.lock.Lock()
	isFirst := connection.head.bytes == 0
	cost, rest := connection.head.scan(buffer[:read])
	connection.afterHead += int64(rest)
	connection.lock.Unlock()
	if cost == 0 {
		return read, err
	}
	if isFirst {
		connection.setPhase(phaseReading)
	}
	if noMemory := connection.holder.Reserve(cost); noMemory != nil {
		connection.listener.gate.dropped(connection.listener, reasonMemory, connection.RemoteAddr())
		// A server closes the connection after an error of the network, and answers others.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: connection.RemoteAddr(), Err: noMemory}
	}
	return read, err
}

// Write implements net.Conn. It counts the answers of net/http to requests that it can't parse.
func (connection *Connection) Write(data []byte) (int, error) {
	if connection.listener.isHTTP {
		connection.lock.Lock()
		isServed := connection.isServed
		connection.lock.Unlock()
		if !isServed {
			connection.listener.gate.dropped(connection.listener, reasonMalformed, connection.RemoteAddr())
		}
	}
	return connection.Conn.Write(data)
}

// scan counts the bytes that belong to the head, and returns the memory that they take and the number of bytes after the head.
func (head *head) scan(text []byte) (cost int64, rest int) {
	bytes, lines := head.bytes, head.lines
	for index, character := range text {
		if head.ended {
			rest = len(text) - index
			break
		}
		head.bytes++
		switch character {
		case '\n':
			head.lines++
			head.ended = head.lineBytes == 0
			head.lineBytes = 0
		case '\r':
		default:
			head.lineBytes++
		}
	}
	return head.cost(bytes, lines), rest
}

// cost returns the memory for what was counted after a number of bytes and lines.
func (head *head) cost(bytes, lines int) int64 {
	return int64((head.bytes-bytes)*memoryPerHeadByte + (head.lines-lines)*memoryPerHeadLine)
}

// BeginRequest records that the head of a request has been parsed, and returns its size, as far as that is known: of a request that
// was sent before the answer to the previous one, a part may have been read with it.
func (connection *Connection) BeginRequest() int {
	if connection == nil {
		return 0
	}
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.head.ended, connection.isServed = true, true
	return connection.head.bytes
}

// Serve records that a request is whole, so that its connection isn't dropped while it is served. It returns ErrNoMemory if requests
// that are being served leave no memory for this one.
func (connection *Connection) Serve() error {
	if connection == nil {
		return nil
	}
	connection.setPhase(phaseServing)
	return connection.holder.Work()
}

// EndRequest records that a request has been answered, and that the next one may begin.
func (connection *Connection) EndRequest() {
	if connection == nil {
		return
	}
	connection.lock.Lock()
	readAhead := min(readAheadBytes, connection.afterHead-connection.bodyBytes)
	connection.head, connection.isServed, connection.afterHead, connection.bodyBytes = head{}, false, 0, 0
	connection.lock.Unlock()
	connection.holder.Clear()
	connection.setPhase(phaseIdle)
	_ = connection.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	if readAhead > 0 && connection.holder.Reserve(readAhead*memoryPerUnseenByte) != nil {
		connection.dropForMemory()
	}
}

// Establish records that the connection belongs to a peer. It isn't closed for other connections any more.
func (connection *Connection) Establish() {
	connection.setPhase(phaseServing)
}

// Reserve counts bytes that are about to be allocated for the request, until it has been answered. It returns ErrNoMemory if other
// clients leave no memory for them.
func (connection *Connection) Reserve(bytes int64) error {
	if connection == nil {
		return nil
	}
	return connection.holder.Reserve(bytes)
}

// MayEverHold reports whether a request could hold a number of bytes if it were the only one.
func (connection *Connection) MayEverHold(bytes int64) bool {
	return connection == nil || bytes <= connection.holder.account.workingLimit()
}

// Release returns a part of what Reserve has counted.
func (connection *Connection) Release(bytes int64) {
	if connection != nil {
		connection.holder.Release(bytes)
	}
}

// WriteAnswer writes an answer by a function. Its bytes count until the client has taken them; a client that doesn't may be dropped meanwhile.
func (connection *Connection) WriteAnswer(bytes int64, write func() error) error {
	if connection == nil {
		return write()
	}
	connection.holder.Wait()
	if err := connection.Reserve(bytes); err != nil {
		return err
	}
	defer connection.Release(bytes)
	return write()
}

// BeginAnswer records that an answer of a number of bytes is about to be written, and reports whether these could be counted. Until the
// request has been answered, the connection may then be dropped, if its client doesn't read.
func (connection *Connection) BeginAnswer(bytes int64) bool {
	if connection == nil {
		return true
	}
	connection.holder.Wait()
	if connection.Reserve(bytes) == nil {
		return true
	}
	_ = connection.holder.Work() // it stays droppable if there is no memory for its work any more
	return false
}

// ReadBody reads a body to its end. Told is its length as the client told it, negative if it didn't. It returns ErrTooLarge, at once if
// the length is above maximum, ErrNoMemory, or the error of the body. The body counts until the request has been answered.
func (connection *Connection) ReadBody(body io.Reader, told, maximum int64) ([]byte, error) {
	switch {
	case told == 0, body == http.NoBody:
		return nil, nil
	case told > maximum:
		return nil, ErrTooLarge
	}
	if told > 0 {
		body, err := pieces.ReadKnown(body, told, connection)
		connection.countBody(int64(len(body)))
		return body, err
	}
	var read pieces.Pieces
	defer func() { connection.countBody(read.Size()) }()
	if err := read.Read(body, maximum, connection.Reserve); err != nil {
		return nil, err
	}
	if single, isSingle := read.Single(); isSingle {
		return single, nil
	}
	if err := connection.Reserve(read.Size()); err != nil {
		return nil, err
	}
	defer connection.Release(read.Held())
	return read.Join(), nil
}

func (connection *Connection) countBody(bytes int64) {
	if connection == nil {
		return
	}
	connection.lock.Lock()
	defer connection.lock.Unlock()
	connection.bodyBytes += bytes
}

// Context is for http.Server.ConnContext.
func Context(ctx context.Context, accepted net.Conn) context.Context {
	if connection, isCounted := accepted.(*Connection); isCounted {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
	return ctx
}

// StateChanged is for http.Server.ConnState.
func StateChanged(accepted net.Conn, state http.ConnState) {
	if connection, isCounted := accepted.(*Connection); isCounted && state == http.StateIdle {
		connection.EndRequest()
	}
}

// ConnectionOf returns the connection of a request, or nil.
func ConnectionOf(request *http.Request) *Connection {
	connection, _ := request.Context().Value(connectionKey{}).(*Connection)
	return connection
}
