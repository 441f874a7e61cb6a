package httpcaller_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// fail answers with a status and breaks no connection.
func fail(status int) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(dialect.Default().Proof, "failed")
		writer.WriteHeader(status)
	}
}

func shed(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(dialect.Default().NotRun, "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func breakOff(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

var _ = ginkgo.Describe("a request of an HTTP route", func() {
	var gateway *gateway

	ginkgo.BeforeEach(func() {
		gateway = newGateway()
	})

	// reach asks until targets are known.
	reach := func(path string) (*http.Response, string) {
		var response *http.Response
		var body string
		gomega.Eventually(func() int {
			response, body = gateway.ask(http.MethodGet, path, nil)
			return response.StatusCode
		}).WithTimeout(roomySpan).ShouldNot(gomega.Equal(http.StatusServiceUnavailable))
		return response, body
	}

	ginkgo.It("is refused as not run, with a time to come back, before the first tables", func() {
		response, body := gateway.ask(http.MethodGet, "/orders/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).To(gomega.MatchRegexp(`^0\.\d+$`))
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":true`))
		gomega.Expect(gateway.server.Ready()).To(gomega.BeFalse())
	})

	ginkgo.It("without a route is not found", func() {
		gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
		response, _ := gateway.ask(http.MethodGet, "/hides/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusNotFound))
	})

	ginkgo.It("is refused at once where no target may serve it", func() {
		gateway.add("p", "sud-a", part("proof", "yes"))
		tables := &operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}}
		tables.Routes[0].HTTP.Regions = []string{"nord"}
		gateway.apply(tables)
		response, body := gateway.ask(http.MethodGet, "/orders/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(body).To(gomega.ContainSubstring("no_target"))
	})

	ginkgo.It("gets the target's answer as it is", func() {
		gateway.add("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set(dialect.Default().Proof, "proof")
			writer.Header().Set("X-Seen", request.RequestURI)
			writer.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(writer, "short and stout")
		})
		gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
		response, body := reach("/orders/7?all=1")
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusTeapot))
		gomega.Expect(response.Header.Get("X-Seen")).To(gomega.Equal("/orders/7?all=1"))
		gomega.Expect(response.Header.Get(dialect.Default().Proof)).To(gomega.Equal("proof"))
		gomega.Expect(body).To(gomega.Equal("short and stout"))
	})

	ginkgo.It("is observed by route, outcome and reason, and its attempts by place and outcome", func() {
		gateway.add("p", "nord-a", part("proof", "yes"))
		gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
		reach("/orders/7")
		reach("/nothing/7")
		requests := gateway.observed("comfreythread_http_request_seconds")
		gomega.Expect(requests).To(gomega.HaveKeyWithValue("answered none orders", uint64(1)))
		gomega.Expect(requests).To(gomega.HaveKeyWithValue("wrong 404 ", uint64(1)))
		gomega.Expect(gateway.observed("comfreythread_http_attempt_seconds")).To(gomega.HaveKeyWithValue("answered domain", uint64(1)))
		gomega.Expect(gateway.server.BudgetsLeft()).To(gomega.HaveKey("p"))
	})

	ginkgo.It("that may be repeated goes to another target where the first breaks off, fails or sheds", func() {
		for _, bad := range []http.HandlerFunc{breakOff, fail(http.StatusInternalServerError), shed} {
			gateway = newGateway()
			gateway.add("p", "nord-a", bad)
			gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
			reachable := gateway.add("p", "sud-a", part("proof", "yes"))
			gomega.Eventually(func() string {
				_, body := gateway.ask(http.MethodGet, "/orders/7", nil)
				return body
			}).WithTimeout(roomySpan).Should(gomega.Equal("yes"))
			gomega.Expect(reachable.runs.Load()).To(gomega.BeNumerically(">", 0))
		}
	})

	ginkgo.It("that may not be repeated runs once, and is never said not to have run", func() {
		for _, bad := range []http.HandlerFunc{breakOff, fail(http.StatusServiceUnavailable)} {
			gateway = newGateway()
			tables := &operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}}
			tables.Routes[0].NeverRepeat = true
			gateway.apply(tables)
			first, second := gateway.add("p", "nord-a", bad), gateway.add("p", "sud-a", bad)
			asked := int64(0)
			gomega.Eventually(func() int64 {
				response, _ := gateway.ask(http.MethodPost, "/orders/7", strings.NewReader("cut"))
				if response.StatusCode != http.StatusServiceUnavailable {
					asked++
					gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
					gomega.Expect(response.Header.Get(dialect.Default().Proof)).To(gomega.BeEmpty())
				}
				gomega.Expect(first.runs.Load() + second.runs.Load()).To(gomega.Equal(asked))
				return asked
			}).WithTimeout(roomySpan).Should(gomega.BeNumerically(">=", 3))
		}
	})

	ginkgo.It("that may not be repeated goes on where a target states that it did not run it", func() {
		tables := &operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}}
		tables.Routes[0].NeverRepeat = true
		gateway.apply(tables)
		gateway.add("p", "nord-a", shed)
		gateway.add("p", "sud-a", part("proof", "yes"))
		gomega.Eventually(func() string {
			_, body := gateway.ask(http.MethodPost, "/orders/7", strings.NewReader("cut"))
			return body
		}).WithTimeout(roomySpan).Should(gomega.Equal("yes"))
	})

	ginkgo.It("with a body above the limit is too large", func() {
		gateway.apply(&operator.Tables{
			Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}, HTTPLimits: &operator.HTTPLimits{BodyBytes: 10},
		})
		response, _ := gateway.ask(http.MethodPost, "/orders/7", strings.NewReader("eleven byte"))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
		response, _ = gateway.ask(http.MethodPost, "/orders/7", io.MultiReader(strings.NewReader("eleven byte")))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	})

	ginkgo.It("with a head above the limit is too large", func() {
		gateway.apply(&operator.Tables{
			Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}, HTTPLimits: &operator.HTTPLimits{HeaderBytes: 200},
		})
		response, _ := gateway.ask(http.MethodGet, "/orders/"+strings.Repeat("7", 200), nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	ginkgo.It("ends at the target when the caller leaves", func() {
		var arrived, ended atomic.Bool
		gateway.add("p", "nord-a", func(_ http.ResponseWriter, request *http.Request) {
			arrived.Store(true)
			<-request.Context().Done()
			ended.Store(true)
		})
		gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
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
		gomega.Eventually(arrived.Load).WithTimeout(roomySpan).Should(gomega.BeTrue())
		cancel()
		gomega.Eventually(ended.Load).WithTimeout(roomySpan).Should(gomega.BeTrue())
	})

	ginkgo.It("gets nothing from a failure domain that is out", func() {
		out := gateway.add("p", "nord-a", part("proof", "out"))
		gateway.add("p", "sud-a", part("proof", "in"))
		tables := &operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}, FailureDomainsOut: []string{"nord-a"}}
		gateway.apply(tables)
		_, body := reach("/orders/7")
		gomega.Expect(body).To(gomega.Equal("in"))
		gomega.Expect(out.runs.Load()).To(gomega.BeZero())
	})

	ginkgo.It("at an entry that stops is served, and its connection closed", func() {
		gateway.add("p", "nord-a", part("proof", "yes"))
		gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
		reach("/orders/7")
		gomega.Expect(gateway.server.Ready()).To(gomega.BeTrue())
		gateway.server.Stop()
		response, body := gateway.ask(http.MethodGet, "/orders/7", nil)
		gomega.Expect(body).To(gomega.Equal("yes"))
		gomega.Expect(response.Close).To(gomega.BeTrue())
		gomega.Expect(gateway.server.Ready()).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("a query over shards", func() {
	var gateway *gateway

	gathered := func(latency time.Duration, minimum float64, pools ...string) *operator.Tables {
		tables := &operator.Tables{Routes: []operator.Route{{Kind: "all", HTTP: &operator.HTTPRoute{
			Host: "a.example", PathPrefix: "/all/", Timeout: duration.Of(roomySpan), TargetLatency: duration.Of(latency), MaxAttempts: 2,
			Gather: &operator.Gather{Pools: pools, Top: 3, MinimumCoverage: minimum},
		}}}}
		for _, name := range pools {
			tables.Pools = append(tables.Pools, pool(name))
		}
		return tables
	}

	query := func(status int) (*http.Response, string) {
		var response *http.Response
		var body string
		gomega.Eventually(func() int {
			response, body = gateway.ask(http.MethodGet, "/all/7", nil)
			return response.StatusCode
		}).WithTimeout(roomySpan).Should(gomega.Equal(status))
		return response, body
	}

	ginkgo.BeforeEach(func() {
		gateway = newGateway()
	})

	ginkgo.It("gets the greatest records of all parts, with their proofs", func() {
		gateway.add("p1", "nord-a", part("proof-1", "aaaaaaaaaaaaaaaadddddddddddddddd"))
		gateway.add("p2", "nord-a", part("proof-2", "bbbbbbbbbbbbbbbbcccccccccccccccc"))
		gateway.apply(gathered(roomySpan, 1, "p1", "p2"))
		response, body := query(http.StatusOK)
		gomega.Expect(body).To(gomega.Equal("ddddddddddddddddccccccccccccccccbbbbbbbbbbbbbbbb"))
		gomega.Expect(strings.Split(response.Header.Get(dialect.Default().PartProofs), ", ")).To(gomega.ConsistOf("proof-1", "proof-2"))
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("0"))
	})

	ginkgo.It("is answered in part, and says so, where a shard fails and enough is in", func() {
		gateway.add("p1", "nord-a", part("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.add("p2", "nord-a", fail(http.StatusInternalServerError))
		gateway.apply(gathered(roomySpan, 0.5, "p1", "p2"))
		response, body := query(http.StatusOK)
		gomega.Expect(body).To(gomega.Equal("aaaaaaaaaaaaaaaa"))
		gomega.Expect(response.Header.Get(dialect.Default().PartProofs)).To(gomega.Equal("proof-1"))
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("1"))
	})

	ginkgo.It("is answered without a shard that hangs once the target latency nears", func() {
		gateway.add("p1", "nord-a", part("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.add("p2", "nord-a", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		gateway.apply(gathered(300*time.Millisecond, 0.5, "p1", "p2"))
		response, _ := query(http.StatusOK)
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("1"))
	})

	ginkgo.It("is refused at once where too few shards have targets", func() {
		gateway.add("p1", "nord-a", part("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.apply(gathered(roomySpan, 1, "p1", "p2"))
		response, body := query(http.StatusServiceUnavailable)
		gomega.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		gomega.Expect(body).To(gomega.ContainSubstring("no_target"))
	})

	ginkgo.It("that may be running when its time is over is not said not to have run", func() {
		hang := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
		gateway.add("p1", "nord-a", hang)
		gateway.add("p2", "nord-a", hang)
		tables := gathered(100*time.Millisecond, 1, "p1", "p2")
		tables.Routes[0].HTTP.Timeout = duration.Of(300 * time.Millisecond)
		gateway.apply(tables)
		var response *http.Response
		var body string
		gomega.Eventually(func() string {
			response, body = gateway.ask(http.MethodGet, "/all/7", nil)
			return body
		}).WithTimeout(roomySpan).ShouldNot(gomega.ContainSubstring("no_target"))
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":false`))
	})

	ginkgo.It("that ran and can't reach its coverage is not said not to have run", func() {
		gateway.add("p1", "nord-a", part("proof-1", "aaaaaaaaaaaaaaaa"))
		gateway.add("p2", "nord-a", breakOff)
		gateway.apply(gathered(roomySpan, 1, "p1", "p2"))
		_, body := query(http.StatusBadGateway)
		gomega.Expect(body).To(gomega.ContainSubstring(`"not_run":false`))
	})
})
