// Requests that arrive before the entry has received its first tables.

package httpcaller

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// awaitTables holds the request until the entry has tables, if they are expected soon. It returns false if the request
// was refused.
func (call *call) awaitTables(writer http.ResponseWriter, request *http.Request, inFlight int) bool {
	server := call.server
	startup := &policy.Startup{Contact: server.controlContact(), Uptime: server.uptime(), Remaining: call.deadlineOf(request)}
	if policy.AdmitEntry(inFlight, policy.LowestPriority()) && !server.isStopping() && !server.options.Disabled.Has(policy.MechanismStartupHolds) {
		server.awaitFirstTables(request, startup.Hold())
	}
	if call.routeIndex = server.currentRouteIndex(); call.routeIndex != nil {
		return true
	}
	startup.Contact, startup.Uptime = server.controlContact(), server.uptime()
	call.refuseFor(writer, policy.NoTables, startup.RetryAfter(rand.Float64()))
	return false
}

// awaitFirstTables waits until the entry has tables, the caller has left, or the limit has passed.
func (server *Server) awaitFirstTables(request *http.Request, limit time.Duration) {
	if limit <= 0 {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-server.board.InForce().Received():
	case <-request.Context().Done():
	case <-timer.C:
	}
}

func (server *Server) controlContact() policy.ControlContact {
	if server.options.ControlContact == nil {
		return policy.ControlSilent
	}
	return server.options.ControlContact()
}

// deadlineOf returns the time that the caller allows, or DefaultTimeout if it names none that is valid.
func (call *call) deadlineOf(request *http.Request) time.Duration {
	text := request.Header.Get(call.server.options.Headers.Deadline)
	if text == "" {
		return DefaultTimeout
	}
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(milliseconds >= 0) {
		call.server.requestLog.deadlineInvalid(call, text)
		return DefaultTimeout
	}
	return time.Duration(min(milliseconds, float64(DefaultTimeout/time.Millisecond)) * float64(time.Millisecond))
}
