package httpcaller_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// answerStatus responds with a status and leaves the connection open.
func answerStatus(status int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(dialect.Default().Proof, "failed")
		writer.WriteHeader(status)
	}
}

func shedRequest(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(dialect.Default().NotRun, "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

var _ = ginkgo.Describe("a request of an HTTP route", func() {
	var gateway *gateway

	ginkgo.BeforeEach(func() {
		gateway = newGateway()
	})

	// sendUntilServed sends requests until the gateway has discovered targets and the
	// response isn't a refusal.
	sendUntilServed := func(path string) (*http.Response, string) {
		var response *http.Response
		var body string
		gomega.Eventually(func() int {
			response, body = gateway.send(http.MethodGet, path, nil)
			return response.StatusCode
		}).WithTimeout(longTimeout).ShouldNot(gomega.Equal(http.StatusServiceUnavailable))
		return response, body
	}

	ginkgo.It("is refused as not run, with Retry-After, before the first tables arrive", func() {
		response, body := gateway.send(http.MethodGet, "/orders/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).To(gomega.MatchRegexp(`^0\.\d+$`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":true`))
		gomega.Expect(gateway.server.Ready()).To(gomega.BeFalse())
	})

	ginkgo.It("without a matching route gets status 404", func() {
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
		response, _ := gateway.send(http.MethodGet, "/hides/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusNotFound))
	})

	ginkgo.It("is refused immediately if no target may serve it", func() {
		gateway.addTarget("p", "sud-a", answerWith("proof", "yes"))
		tables := &operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}}
		tables.Routes[0].HTTP.Regions = []string{"nord"}
		gateway.apply(tables)
		response, body := gateway.send(http.MethodGet, "/orders/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(body).To(gomega.ContainSubstring("no_target"))
	})

	ginkgo.It("gets the target's response unchanged", func() {
		gateway.addTarget("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set(dialect.Default().Proof, "proof")
			writer.Header().Set("X-Seen", request.RequestURI)
			writer.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(writer, "short and stout")
		})
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
		response, body := sendUntilServed("/orders/7?all=1")
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusTeapot))
		gomega.Expect(response.Header.Get("X-Seen")).To(gomega.Equal("/orders/7?all=1"))
		gomega.Expect(response.Header.Get(dialect.Default().Proof)).To(gomega.Equal("proof"))
		gomega.Expect(body).To(gomega.Equal("short and stout"))
	})

	// A target that is handed the caller's whole time after a part of it has passed works on requests
	// that are given up before it answers.
	ginkgo.It("hands the target the time that is left, and not the caller's deadline beside it", func() {
		var deadlines, targets []string
		gateway.addTarget("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
			deadlines, targets = request.Header.Values(dialect.Default().Deadline), request.Header.Values(dialect.Default().Target)
			writer.Header().Set(dialect.Default().Proof, "proof")
		})
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
		sendUntilServed("/orders/7")
		gomega.Expect(targets).To(gomega.Equal([]string{"target-1"}))
		gomega.Expect(deadlines).To(gomega.HaveLen(1))
		left, err := strconv.Atoi(deadlines[0])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(left).To(gomega.BeNumerically("<", callerDeadline.Milliseconds()))
	})

	ginkgo.It("is observed by route, outcome and reason, and its attempts by locality and outcome", func() {
		gateway.addTarget("p", "nord-a", answerWith("proof", "yes"))
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
		sendUntilServed("/orders/7")
		sendUntilServed("/nothing/7")
		requests := gateway.sampleCounts("comfreythread_http_request_seconds")
		gomega.Expect(requests).To(gomega.HaveKeyWithValue("answered none orders", uint64(1)))
		gomega.Expect(requests).To(gomega.HaveKeyWithValue("wrong 404 ", uint64(1)))
		gomega.Expect(gateway.sampleCounts("comfreythread_http_attempt_seconds")).To(gomega.HaveKeyWithValue("answered domain", uint64(1)))
		gomega.Expect(gateway.server.BudgetsLeft()).To(gomega.HaveKey("p"))
	})

	ginkgo.It("that may be repeated is retried at another target if the first one closes the connection, fails or sheds it", func() {
		for _, failure := range []http.HandlerFunc{abortConnection, answerStatus(http.StatusInternalServerError), shedRequest} {
			gateway = newGateway()
			gateway.addTarget("p", "nord-a", failure)
			gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
			healthy := gateway.addTarget("p", "sud-a", answerWith("proof", "yes"))
			gomega.Eventually(func() string {
				_, body := gateway.send(http.MethodGet, "/orders/7", nil)
				return body
			}).WithTimeout(longTimeout).Should(gomega.Equal("yes"))
			gomega.Expect(healthy.runs.Load()).To(gomega.BeNumerically(">", 0))
		}
	})

	ginkgo.It("that may not be repeated runs once and is never reported as not run", func() {
		for _, failure := range []http.HandlerFunc{abortConnection, answerStatus(http.StatusServiceUnavailable)} {
			gateway = newGateway()
			tables := &operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}}
			tables.Routes[0].NeverRepeat = true
			gateway.apply(tables)
			first, second := gateway.addTarget("p", "nord-a", failure), gateway.addTarget("p", "sud-a", failure)
			expectedRuns := int64(0)
			gomega.Eventually(func() int64 {
				response, _ := gateway.send(http.MethodPost, "/orders/7", strings.NewReader("cut"))
				if response.StatusCode != http.StatusServiceUnavailable {
					expectedRuns++
					gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
					gomega.Expect(response.Header.Get(dialect.Default().Proof)).To(gomega.BeEmpty())
				}
				gomega.Expect(first.runs.Load() + second.runs.Load()).To(gomega.Equal(expectedRuns))
				return expectedRuns
			}).WithTimeout(longTimeout).Should(gomega.BeNumerically(">=", 3))
		}
	})

	ginkgo.It("that may not be repeated is retried if a target states that it did not run it", func() {
		tables := &operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}}
		tables.Routes[0].NeverRepeat = true
		gateway.apply(tables)
		gateway.addTarget("p", "nord-a", shedRequest)
		gateway.addTarget("p", "sud-a", answerWith("proof", "yes"))
		gomega.Eventually(func() string {
			_, body := gateway.send(http.MethodPost, "/orders/7", strings.NewReader("cut"))
			return body
		}).WithTimeout(longTimeout).Should(gomega.Equal("yes"))
	})

	ginkgo.It("with a body above the limit gets status 413", func() {
		gateway.apply(&operator.Tables{
			Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}, HTTPLimits: &operator.HTTPLimits{BodyBytes: 10},
		})
		response, _ := gateway.send(http.MethodPost, "/orders/7", strings.NewReader("eleven byte"))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		response, _ = gateway.send(http.MethodPost, "/orders/7", io.MultiReader(strings.NewReader("eleven byte")))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	})

	ginkgo.It("with a head above the limit gets status 431", func() {
		gateway.apply(&operator.Tables{
			Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}, HTTPLimits: &operator.HTTPLimits{HeaderBytes: 200},
		})
		response, _ := gateway.send(http.MethodGet, "/orders/"+strings.Repeat("7", 200), nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	ginkgo.It("is cancelled at the target when the caller disconnects", func() {
		var arrived, ended atomic.Bool
		gateway.addTarget("p", "nord-a", func(_ http.ResponseWriter, request *http.Request) {
			arrived.Store(true)
			<-request.Context().Done()
			ended.Store(true)
		})
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			for !arrived.Load() && ctx.Err() == nil {
				request, _ := http.NewRequestWithContext(ctx, http.MethodGet, gateway.address+"/orders/7", nil)
				request.Host = "a.example"
				if response, err := http.DefaultClient.Do(request); err == nil {
					_ = response.Body.Close()
				}
			}
		}()
		gomega.Eventually(arrived.Load).WithTimeout(longTimeout).Should(gomega.BeTrue())
		cancel()
		gomega.Eventually(ended.Load).WithTimeout(longTimeout).Should(gomega.BeTrue())
	})

	ginkgo.It("is not sent to a failure domain that is out", func() {
		out := gateway.addTarget("p", "nord-a", answerWith("proof", "out"))
		gateway.addTarget("p", "sud-a", answerWith("proof", "in"))
		tables := &operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}, FailureDomainsOut: []string{"nord-a"}}
		gateway.apply(tables)
		_, body := sendUntilServed("/orders/7")
		gomega.Expect(body).To(gomega.Equal("in"))
		gomega.Expect(out.runs.Load()).To(gomega.BeZero())
	})

	ginkgo.It("is served by a stopping entry, which then closes the connection", func() {
		gateway.addTarget("p", "nord-a", answerWith("proof", "yes"))
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
		sendUntilServed("/orders/7")
		gomega.Expect(gateway.server.Ready()).To(gomega.BeTrue())
		gateway.server.Stop(time.Now().Add(longTimeout))
		response, body := gateway.send(http.MethodGet, "/orders/7", nil)
		gomega.Expect(body).To(gomega.Equal("yes"))
		gomega.Expect(response.Close).To(gomega.BeTrue())
		gomega.Expect(gateway.server.Ready()).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("a query over shards", func() {
	var gateway *gateway

	gatherTables := func(targetLatency time.Duration, minimumCoverage float64, pools ...string) *operator.Tables {
		tables := &operator.Tables{Routes: []operator.Route{{Kind: "all", HTTP: &operator.HTTPRoute{
			Host: "a.example", PathPrefix: "/all/", Timeout: duration.Of(longTimeout), TargetLatency: duration.Of(targetLatency), MaxAttempts: 2,
			Gather: &operator.Gather{Pools: pools, Top: 3, MinimumCoverage: minimumCoverage},
		}}}}
		for _, name := range pools {
			tables.Pools = append(tables.Pools, pool(name))
		}
		return tables
	}

	queryUntil := func(status int) (*http.Response, string) {
		var response *http.Response
		var body string
		gomega.Eventually(func() int {
			response, body = gateway.send(http.MethodGet, "/all/7", nil)
			return response.StatusCode
		}).WithTimeout(longTimeout).Should(gomega.Equal(status))
		return response, body
	}

	ginkgo.BeforeEach(func() {
		gateway = newGateway()
	})

	ginkgo.It("gets the greatest records of all parts, with their proofs", func() {
		gateway.addTarget("p1", "nord-a", answerWith("proof-1", "aaaaaaaaaaaaaaaadddddddddddddddd"))
		gateway.addTarget("p2", "nord-a", answerWith("proof-2", "bbbbbbbbbbbbbbbbcccccccccccccccc"))
		gateway.apply(gatherTables(longTimeout, 1, "p1", "p2"))
		response, body := queryUntil(http.StatusOK)
		gomega.Expect(body).To(gomega.Equal("ddddddddddddddddccccccccccccccccbbbbbbbbbbbbbbbb"))
		gomega.Expect(strings.Split(response.Header.Get(dialect.Default().PartProofs), ", ")).To(gomega.ConsistOf("proof-1", "proof-2"))
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("0"))
	})

	ginkgo.It("gets a response marked as partial if a shard fails and the coverage suffices", func() {
		gateway.addTarget("p1", "nord-a", answerWith("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.addTarget("p2", "nord-a", answerStatus(http.StatusInternalServerError))
		gateway.apply(gatherTables(longTimeout, 0.5, "p1", "p2"))
		response, body := queryUntil(http.StatusOK)
		gomega.Expect(body).To(gomega.Equal("aaaaaaaaaaaaaaaa"))
		gomega.Expect(response.Header.Get(dialect.Default().PartProofs)).To(gomega.Equal("proof-1"))
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("1"))
	})

	ginkgo.It("gets a response without a hanging shard shortly before the target latency", func() {
		gateway.addTarget("p1", "nord-a", answerWith("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.addTarget("p2", "nord-a", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		gateway.apply(gatherTables(300*time.Millisecond, 0.5, "p1", "p2"))
		response, _ := queryUntil(http.StatusOK)
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("1"))
	})

	ginkgo.It("is refused immediately if too few shards have targets", func() {
		gateway.addTarget("p1", "nord-a", answerWith("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.apply(gatherTables(longTimeout, 1, "p1", "p2"))
		response, body := queryUntil(http.StatusServiceUnavailable)
		gomega.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(body).To(gomega.ContainSubstring("no_target"))
	})

	ginkgo.It("that may still be running at its timeout is not reported as not run", func() {
		hang := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
		gateway.addTarget("p1", "nord-a", hang)
		gateway.addTarget("p2", "nord-a", hang)
		tables := gatherTables(100*time.Millisecond, 1, "p1", "p2")
		tables.Routes[0].HTTP.Timeout = duration.Of(300 * time.Millisecond)
		gateway.apply(tables)
		var response *http.Response
		var body string
		gomega.Eventually(func() string {
			response, body = gateway.send(http.MethodGet, "/all/7", nil)
			return body
		}).WithTimeout(longTimeout).ShouldNot(gomega.ContainSubstring("no_target"))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":false`))
	})

	ginkgo.It("that ran but can't reach its minimum coverage is not reported as not run", func() {
		gateway.addTarget("p1", "nord-a", answerWith("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.addTarget("p2", "nord-a", abortConnection)
		gateway.apply(gatherTables(longTimeout, 1, "p1", "p2"))
		_, body := queryUntil(http.StatusBadGateway)
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":false`))
	})
})
