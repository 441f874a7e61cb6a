// Package frame is the protocol between the system's own processes: msgpack
// messages in length-prefixed frames over TCP, with a version handshake, many
// calls on one connection, heartbeats all the time or on demand, deadlines,
// cancellation and a bounded number of calls in flight.
package frame
