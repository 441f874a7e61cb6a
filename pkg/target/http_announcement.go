// What a target of HTTP routes says of itself, and how Go programs send it.

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
	// HTTPReady is the state of a target that takes new requests.
	HTTPReady HTTPState = "ready"
	// HTTPLeaving is the state of a target that ends what it has.
	HTTPLeaving HTTPState = "leaving"

	httpTargetsPath = "/v1/http-targets/"
)

type (
	// HTTPState is what a target of HTTP routes is fit for.
	HTTPState string

	// HTTPAnnouncement is what a target of HTTP routes tells a control process
	// about once a second. Control counts a target as silent after 4.5 s
	// without one.
	HTTPAnnouncement struct {
		// Address is the IP:port at which the target serves requests.
		Address       string `json:"address"`
		Pool          string `json:"pool"`
		FailureDomain string `json:"failure_domain"`
		// Release is the version of the target's software.
		Release string `json:"release,omitempty"`
		// Slots is the number of requests that the target runs at a time.
		Slots int       `json:"slots"`
		State HTTPState `json:"state"`
		// StartedAt is the Unix time in milliseconds at which the target's
		// process started.
		StartedAt int64 `json:"started_at"`
		// Revision grows with each announcement of one start.
		Revision uint64 `json:"revision"`
		// ColdFor is how much longer the target is in cold start.
		ColdFor duration.Duration `json:"cold_for,omitempty"`
	}
)

// AnnounceHTTP tells the control process at an IP:port what the target is. An
// announcement that can't be taken is a *fault.Error.
func (announcer *Announcer) AnnounceHTTP(ctx context.Context, control, id string, announcement *HTTPAnnouncement) error {
	return announcer.sendHTTP(ctx, http.MethodPut, control, id, announcement)
}

// EndHTTP tells the control process at an IP:port that the target has ended.
func (announcer *Announcer) EndHTTP(ctx context.Context, control, id string) error {
	return announcer.sendHTTP(ctx, http.MethodDelete, control, id, nil)
}

func (announcer *Announcer) sendHTTP(ctx context.Context, method, control, id string, body any) error {
	return exchange.JSON(ctx, &announcer.client, method, "http://"+control+httpTargetsPath+url.PathEscape(id), body, &struct{}{}, new(fault.Error))
}
