// Package tcp opens and accepts TCP connections with the socket options that
// let a connection that has gone silent end within a bound.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout bounds how long written bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
)

type (
	// Dialer opens a connection to an IP:port. It stands at the interface to
	// the network, so that tests put in-memory connections in its place. A
	// nil Dialer is not usable; Dial is the one for real sockets.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
)

// Dial opens a TCP connection with keepalive and a user timeout.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// Listen accepts TCP connections with keepalive and a user timeout.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveProbes,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
