package target

import (
	"context"
	"net/http"
	"net/url"

	"gitlab.com/comfreythread/comfreythread/internal/exchange"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// HTTPReady is the state of a target that accepts new requests.
	HTTPReady HTTPState = "ready"
	// HTTPLeaving is the state of a target that accepts no new requests and
	// finishes those in progress.
	HTTPLeaving HTTPState = "leaving"

	httpTargetsPath = "/v1/http-targets/"
)

type (
	// HTTPState is the readiness that a target of HTTP routes reports.
	HTTPState string

	// HTTPAnnouncement registers a target of HTTP routes. The target sends it
	// to a control process about once a second; control treats a target as
	// silent after 4.5 s without an announcement.
	HTTPAnnouncement struct {
		// Address is the IP:port at which the target serves requests.
		Address       string `json:"address"`
		Pool          string `json:"pool"`
		FailureDomain string `json:"failure_domain"`
		// Release is the version of the target's software.
		Release string `json:"release,omitempty"`
		// Slots is the number of requests that the target runs concurrently.
		Slots int       `json:"slots"`
		State HTTPState `json:"state"`
		// StartedAt is the Unix time in milliseconds at which the target's
		// process started.
		StartedAt int64 `json:"started_at"`
		// Revision increases with each announcement since StartedAt.
		Revision uint64 `json:"revision"`
		// ColdFor is the remaining time for which the target is in cold start.
		ColdFor duration.Duration `json:"cold_for,omitempty"`
	}
)

// AnnounceHTTP sends an announcement to a control process, given as IP:port. The
// error is a *fault.Error if control refuses the announcement.
func (announcer *Announcer) AnnounceHTTP(ctx context.Context, control, id string, announcement *HTTPAnnouncement) error {
	return announcer.sendHTTP(ctx, http.MethodPut, control, id, announcement)
}

// WithdrawHTTP tells a control process, given as IP:port, that the target has
// stopped.
func (announcer *Announcer) WithdrawHTTP(ctx context.Context, control, id string) error {
	return announcer.sendHTTP(ctx, http.MethodDelete, control, id, nil)
}

func (announcer *Announcer) sendHTTP(ctx context.Context, method, control, id string, body any) error {
	return exchange.JSON(ctx, &announcer.client, method, "http://"+control+httpTargetsPath+url.PathEscape(id), body, &struct{}{}, new(fault.Error))
}
