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
	// Announcer sends announcements over HTTP. Construct it with NewAnnouncer.
	Announcer struct {
		client http.Client
	}
)

// NewAnnouncer returns an announcer. If dial is nil, the default dialer of
// net/http is used.
func NewAnnouncer(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Announcer {
	return &Announcer{client: http.Client{
		Timeout:   announceTimeout,
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true},
	}}
}

// Announce sends an announcement to an entry, given as IP:port. The reply states
// to which entry and when to announce again. The error is a *fault.Error if the
// announcement is invalid or conflicts with an earlier one.
func (announcer *Announcer) Announce(ctx context.Context, entry string, announcement *Announcement) (*AnnouncementReply, error) {
	reply := new(AnnouncementReply)
	err := exchange.JSON(ctx, &announcer.client, http.MethodPost, "http://"+entry+"/v1/targets", announcement, reply, new(fault.Error))
	if err != nil {
		return nil, err
	}
	return reply, nil
}
