package relay

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
)

// Guards against a request whose route or tenant allows some regions only, and whose body goes to entries in other regions
// because its target has crashed and those may have a link to it (review/10).
func TestRequestIsPassedToEntriesInAllowedRegionsOnly(t *testing.T) {
	board := boardOf(9)
	regions := map[string]string{}
	for _, member := range board.Membership().View().Members {
		regions[member.PeerAddress] = member.Region
	}
	for _, pinned := range []bool{false, true} {
		var lock sync.Mutex
		asked := map[string]bool{}
		relay := New(Options{
			Self: "entry-1", FailureDomain: nearDomain, Region: "sud", Regions: map[string]string{"nord-a": "nord", nearDomain: "sud", "sud-b": "sud"},
			Client: func(address string) *frame.Client {
				return frame.NewClient(address, func(context.Context, string, string) (net.Conn, error) {
					lock.Lock()
					defer lock.Unlock()
					asked[regions[address]] = true
					return nil, syscall.ECONNREFUSED
				})
			},
		}, board, httptarget.NewDirectory(zap.NewNop()), httptarget.NewSender(dialect.Default(), nil), zap.NewNop(), metrics.New())
		request := &httptarget.Request{ID: "q", AllowsRegion: func(region string) bool { return region == "sud" }}
		if _, sent := relay.Send(context.Background(), new(httptarget.Target), request, time.Now().Add(time.Second), pinned); sent {
			t.Error("the request is sent although no entry can be reached")
		}
		if asked["nord"] || !asked["sud"] {
			t.Errorf("pinned %t: entries in these regions get the request: %v", pinned, asked)
		}
	}
}
