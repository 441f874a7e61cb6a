// Package tcp opens and accepts TCP connections with socket options that close a
// connection within a bounded time after its peer has gone silent.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// A connection without traffic whose peer is silent is closed after keepAliveIdle plus
	// keepAliveProbes intervals, that is 5 s.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
	// firstAttemptTimeout is the timeout of the first attempt to connect: several round
	// trips between regions. The kernel resends a SYN that was lost, or that reached a
	// machine still starting, only after one second; a new attempt sends one sooner.
	// The timeout doubles with each attempt.
	firstAttemptTimeout = 150 * time.Millisecond
)

type (
	// Dialer opens a connection to an IP:port. Tests substitute a Dialer for in-memory
	// connections; Dial is the one for real sockets. A nil Dialer is not usable.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
)

// Dial opens a TCP connection with keepalive and a user timeout. It retries attempts that
// time out until ctx ends.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	for timeout := firstAttemptTimeout; ; timeout *= 2 {
		connection, err := dialOnce(ctx, network, address, timeout)
		if err == nil || !IsTimeout(err) || hasEnded(ctx) {
			return connection, err
		}
	}
}

// hasEnded reports whether ctx has ended, or its deadline has passed but its timer has not
// fired yet.
func hasEnded(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return ctx.Err() != nil || hasDeadline && !time.Now().Before(deadline)
}

func dialOnce(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// IsTimeout reports whether err is a network timeout.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Listen returns a listener for TCP connections with keepalive and a user timeout.
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
