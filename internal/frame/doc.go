// Package frame implements the RPC protocol between the system's own processes:
// msgpack messages in length-prefixed frames over TCP, with a version handshake,
// concurrent calls on one connection, heartbeats that are sent continuously or on
// demand, deadlines, cancellation and a bounded number of calls in flight.
package frame
