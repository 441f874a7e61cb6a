package httpcaller_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// shortTimeout is the timeout of routes whose requests are given up.
	shortTimeout = 300 * time.Millisecond
)

// gatherTables returns tables with a query over two shards, both of which an answer needs.
func gatherTables(timeout time.Duration) *operator.Tables {
	route := operator.Route{Kind: "sweep", HTTP: &operator.HTTPRoute{
		Host: "a.example", PathPrefix: "/sweep/", Timeout: duration.Of(timeout), TargetLatency: duration.Of(timeout / 2), MaxAttempts: 2,
		Gather: &operator.Gather{Pools: []string{"p", "q"}, Top: 5, MinimumCoverage: 1},
	}}
	return &operator.Tables{Routes: []operator.Route{route}, Pools: []operator.Pool{pool("p"), pool("q")}}
}

// sendUntilKnown sends requests until the gateway knows a target of each pool, and returns the last
// response's status, header and body.
func sendUntilKnown(gateway *gateway, path string) (status int, header http.Header, body string) {
	send := func() (int, http.Header, string) {
		response, body := gateway.send(http.MethodGet, path, nil)
		gomega.Expect(response.Body.Close()).To(gomega.Succeed())
		return response.StatusCode, response.Header, body
	}
	gomega.Eventually(func() string {
		status, header, body = send()
		return body
	}).WithTimeout(longTimeout).ShouldNot(gomega.ContainSubstring("no_target"))
	return status, header, body
}

// hangingDialer connects to nothing until its context ends.
func hangingDialer(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

var _ = ginkgo.Describe("a request that is given up", func() {
	ginkgo.It("has not run if nothing was sent to a target, and says so", func() {
		for _, path := range []string{"/orders/7", "/sweep/7"} {
			gateway := newGatewayWithDialer(hangingDialer)
			first, second := gateway.addTarget("p", "nord-a", answerWith("proof", "yes")), gateway.addTarget("q", "nord-a", answerWith("proof", "yes"))
			tables := gatherTables(shortTimeout)
			orders := ordersRoute()
			orders.HTTP.Timeout, orders.HTTP.TargetLatency = duration.Of(shortTimeout), duration.Of(shortTimeout)
			tables.Routes = append(tables.Routes, orders)
			gateway.apply(tables)
			status, header, body := sendUntilKnown(gateway, path)
			gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), path)
			gomega.Expect(header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":true`))
			gomega.Expect(first.runs.Load() + second.runs.Load()).To(gomega.BeZero())
		}
	})

	ginkgo.It("may have run if it was sent to one of the shards, and its missing parts are counted by reason", func() {
		gateway := newGateway()
		gateway.addTarget("p", "nord-a", answerWith("proof", "yes"))
		gateway.addTarget("q", "nord-a", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		gateway.apply(gatherTables(shortTimeout))
		status, _, body := sendUntilKnown(gateway, "/sweep/7")
		gomega.Expect(status).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":false`))
		gomega.Expect(gateway.counts("comfreythread_missing_parts_total")).To(gomega.HaveKeyWithValue("late sweep", gomega.BeNumerically(">=", 1)))
	})
})

var _ = ginkgo.Describe("a defect in one attempt", func() {
	ginkgo.It("ends neither the process nor other requests", func() {
		var panicking atomic.Bool
		panicking.Store(true)
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if panicking.Load() {
				panic("defect")
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		gateway := newGatewayWithDialer(dial)
		gateway.addTarget("p", "nord-a", answerWith("proof-p", "yes"))
		gateway.addTarget("q", "nord-a", answerWith("proof-q", "yes"))
		tables := gatherTables(longTimeout)
		tables.Routes = append(tables.Routes, ordersRoute())
		gateway.apply(tables)
		for _, path := range []string{"/sweep/7", "/orders/7"} {
			status, _, _ := sendUntilKnown(gateway, path)
			gomega.Expect(status).To(gomega.BeNumerically(">=", http.StatusInternalServerError))
		}
		// A task delivers its outcome before its panic is counted.
		gomega.Eventually(func() float64 { return gateway.counts("comfreythread_panics_total")[""] }).WithTimeout(longTimeout).Should(gomega.BeNumerically(">=", 2))
		panicking.Store(false)
		for _, path := range []string{"/sweep/7", "/orders/7"} {
			response, _ := gateway.send(http.MethodGet, path, nil)
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK), path)
		}
	})
})
