// This file exists so that targets written in Go announce themselves without
// writing HTTP.

package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/exchange"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	announceTimeout = time.Second
)

type (
	// Announcer sends announcements. Construct it with NewAnnouncer.
	Announcer struct {
		client http.Client
	}
)

// NewAnnouncer returns an announcer. A nil dial uses the HTTP library's own.
func NewAnnouncer(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Announcer {
	return &Announcer{client: http.Client{
		Timeout:   announceTimeout,
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true},
	}}
}

// Announce tells the entry at an IP:port what the target is. The reply names
// the entry to renew at and when. An announcement that contradicts what is
// known is a *fault.Error.
func (announcer *Announcer) Announce(ctx context.Context, entry string, announcement *Announcement) (*Announced, error) {
	announced := new(Announced)
	err := exchange.JSON(ctx, &announcer.client, http.MethodPost, "http://"+entry+"/v1/targets", announcement, announced, new(fault.Error))
	if err != nil {
		return nil, err
	}
	return announced, nil
}
