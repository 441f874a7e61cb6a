// Package tcp opens and accepts TCP connections with the socket options that
// let a connection that has gone silent end within a bound.
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
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout bounds how long written bytes may stay unacknowledged.
	userTimeout = 5 * time.Second
	// firstDialSpan is how long one try to open a connection may take at first:
	// several round trips between regions. The system resends an opening packet
	// that was lost, or met a machine that was still starting, only after a
	// second; another try sends one sooner. Each further try takes twice as long.
	firstDialSpan = 150 * time.Millisecond
)

type (
	// Dialer opens a connection to an IP:port. It stands at the interface to
	// the network, so that tests put in-memory connections in its place. A
	// nil Dialer is not usable; Dial is the one for real sockets.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
)

// Dial opens a TCP connection with keepalive and a user timeout, trying until ctx
// ends or the peer refuses.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	for span := firstDialSpan; ; span *= 2 {
		connection, err := dialOnce(ctx, network, address, span)
		if err == nil || !IsTimeout(err) || hasEnded(ctx) {
			return connection, err
		}
	}
}

// hasEnded reports whether ctx has ended, or is about to once its timer fires.
func hasEnded(ctx context.Context) bool {
	deadline, set := ctx.Deadline()
	return ctx.Err() != nil || set && !time.Now().Before(deadline)
}

func dialOnce(ctx context.Context, network, address string, span time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// IsTimeout reports whether a call ended because its time was over.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
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
