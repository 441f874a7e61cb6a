// Authentication: the tenant of a request is the one that has the key in its header. Each request is
// checked against the tables in force, also on connections that were opened before them.

package httpcaller

import (
	"net/http"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	bearerScheme = "Bearer"
)

// authenticate identifies the tenant. If it returns false, the request was refused and the response
// has been written.
func (call *call) authenticate(writer http.ResponseWriter, request *http.Request) bool {
	if !call.routeIndex.tenants.NeedKeys() {
		return true
	}
	if key := bearerKey(request.Header.Values(call.server.options.Headers.Credential)); key != "" {
		call.tenant = call.routeIndex.tenants.Find(key)
	}
	switch {
	case call.route.HTTP.Public:
		return true
	case call.server.mayHoldWithdrawnKeys():
		call.refuse(writer, policy.Stale)
		return false
	case call.tenant == nil:
		call.rejectByTables(writer, http.StatusUnauthorized, reasonUnauthorized, "the request has no key of a tenant; send it in the header "+call.server.options.Headers.Credential+" behind "+bearerScheme)
		return false
	}
	return true
}

// bearerKey returns the key in the values of a header, or "" if they aren't one value with the scheme Bearer.
func bearerKey(values []string) string {
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.TrimLeft(key, " ")
}

// mayHoldWithdrawnKeys reports whether the settings ask for contact with control before keys are accepted,
// and the last contact is too long ago. It checks both the monotonic and the wall clock, because either may
// have stopped while the machine was frozen.
func (server *Server) mayHoldWithdrawnKeys() bool {
	revocation := server.options.Revocation
	if !revocation.Strict {
		return false
	}
	// The entry shortens its leases by a clock rate error, so that the contact was at most that much later.
	lastContact, now := server.board.InForce().LeaseUntil().Add(-control.LeaseDuration), time.Now()
	return max(now.Sub(lastContact), now.Round(0).Sub(lastContact.Round(0))) > revocation.Span.Std()
}

// replaceCredential removes the key from the headers for targets, and sets the tenant's name in place of
// what the caller sent. Where the tables need no keys, both headers pass.
func (call *call) replaceCredential(header http.Header) {
	if !call.routeIndex.tenants.NeedKeys() {
		return
	}
	header.Del(call.server.options.Headers.Credential)
	header.Del(call.server.options.Headers.Tenant)
	if call.tenant != nil {
		header.Set(call.server.options.Headers.Tenant, call.tenant.Name)
	}
}

// priority returns the priority of the request.
func (call *call) priority() policy.Priority {
	priority := policy.Priority{Route: call.route.HTTP.Priority}
	if call.tenant != nil && call.tenant.Priority != nil {
		priority.Tenant = *call.tenant.Priority
	}
	return priority
}
