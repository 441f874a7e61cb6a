package httpcaller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/httpcaller"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	alphaKey        = "alpha-secret-1"
	alphaCredential = "Bearer " + alphaKey
	unknownKey      = "unknown-secret"
)

type (
	// seenHeaders holds the headers of the requests that reached targets.
	seenHeaders struct {
		lock    sync.Mutex
		headers []http.Header
	}
)

// recorded returns a handler that records the headers of requests.
func (seen *seenHeaders) recorded(answer http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		seen.lock.Lock()
		seen.headers = append(seen.headers, request.Header.Clone())
		seen.lock.Unlock()
		answer(writer, request)
	}
}

// take returns the headers since the last call, as the tenants' names and credentials.
func (seen *seenHeaders) take() []string {
	seen.lock.Lock()
	defer seen.lock.Unlock()
	var texts []string
	for _, header := range seen.headers {
		texts = append(texts, fmt.Sprint(header.Values(dialect.Default().Tenant), header.Values(dialect.Default().Credential)))
	}
	seen.headers = nil
	return texts
}

// tenantTables returns tables with the tenant alpha and a public route beside that of orders.
func tenantTables(keys ...string) *operator.Tables {
	open := ordersRoute()
	open.Kind, open.HTTP.PathPrefix, open.HTTP.Public = "open", "/open/", true
	alpha := operator.Tenant{Name: "alpha"}
	for _, key := range keys {
		alpha.KeyDigests = append(alpha.KeyDigests, operator.KeyDigest(key))
	}
	return &operator.Tables{
		Routes: []operator.Route{ordersRoute(), open}, Pools: []operator.Pool{pool("p")},
		Tenants: []operator.Tenant{alpha, {Name: "beta", KeyDigests: []string{operator.KeyDigest("beta-secret")}}},
	}
}

// sendAs sends a request with credentials and a spoofed tenant, and reports whether it went over a
// connection that was open before.
func (gateway *gateway) sendAs(path string, credentials ...string) (response *http.Response, body string, reused bool) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, gateway.address+path, strings.NewReader("body"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "a.example"
	request.Header.Set(dialect.Default().RequestID, "q1")
	request.Header.Set(dialect.Default().Tenant, "beta")
	request.Header["Authorization"] = credentials
	response, err = http.DefaultClient.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response, string(read), reused
}

var _ = ginkgo.Describe("a request with tenants in the tables", func() {
	var gateway *gateway
	var seen *seenHeaders
	var logs *observer.ObservedLogs

	ginkgo.BeforeEach(func() {
		core, observed := observer.New(zap.DebugLevel)
		seen, logs = new(seenHeaders), observed
		gateway = newLoggingGateway(nil, zap.New(core))
	})

	statusOf := func(path string, credentials ...string) int {
		response, _, _ := gateway.sendAs(path, credentials...)
		return response.StatusCode
	}
	eventuallyServed := func(path string) {
		gomega.Eventually(func() int { return statusOf(path, alphaCredential) }).WithTimeout(longTimeout).Should(gomega.Equal(http.StatusOK))
	}

	// Guards against callers that are served without a key, and against targets that trust a spoofed name.
	ginkgo.It("is served if its key is known, and refused with 401 otherwise, on the same connection", func() {
		gateway.addTarget("p", "nord-a", seen.recorded(answerWith("proof", "yes")))
		gateway.apply(tenantTables(alphaKey))
		eventuallyServed("/orders/7")
		gomega.Expect(statusOf("/orders/7", "bearer  "+alphaKey)).To(gomega.Equal(http.StatusOK))
		gomega.Expect(seen.take()).To(gomega.HaveEach("[alpha] []"))
		for _, credentials := range [][]string{
			nil, {""}, {"Bearer"}, {"Bearer "}, {"Bearer " + unknownKey}, {alphaKey}, {"Basic " + alphaKey}, {alphaCredential, alphaCredential}, {"Bearer " + operator.KeyDigest(alphaKey)},
		} {
			response, body, reused := gateway.sendAs("/orders/7", credentials...)
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusUnauthorized), "%v", credentials)
			gomega.Expect(response.Header.Get("WWW-Authenticate")).To(gomega.Equal("Bearer"))
			gomega.Expect(body).To(gomega.And(gomega.ContainSubstring(`"reason":"unauthorized"`), gomega.ContainSubstring(`"not_run":true`)))
			gomega.Expect(reused).To(gomega.BeTrue())
		}
		gomega.Expect(seen.take()).To(gomega.BeEmpty())
	})

	// Guards against a public route that asks for a key, or passes on a key or a name that a caller made up.
	ginkgo.It("to a public route needs no key, and a known one names the tenant", func() {
		gateway.addTarget("p", "nord-a", seen.recorded(answerWith("proof", "yes")))
		gateway.apply(tenantTables(alphaKey))
		eventuallyServed("/open/7")
		seen.take()
		for _, credential := range []string{alphaCredential, "Bearer " + unknownKey, ""} {
			gomega.Expect(statusOf("/open/7", credential)).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(seen.take()).To(gomega.Equal([]string{"[alpha] []", "[] []", "[] []"}))
	})

	// Guards against a key that stays in force on connections that were opened before it was withdrawn.
	ginkgo.It("follows keys that are added and withdrawn, on a connection that stays open", func() {
		gateway.addTarget("p", "nord-a", answerWith("proof", "yes"))
		gateway.apply(tenantTables(alphaKey))
		eventuallyServed("/orders/7")
		gateway.board.InForce().Replace(2, tenantTables("alpha-secret-2"))
		response, _, reused := gateway.sendAs("/orders/7", alphaCredential)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusUnauthorized))
		gomega.Expect(reused).To(gomega.BeTrue())
		gomega.Expect(statusOf("/orders/7", "Bearer alpha-secret-2")).To(gomega.Equal(http.StatusOK))
	})

	// Guards against deployments without tenants that lose their callers' headers.
	ginkgo.It("passes both headers if the tables hold no tenants", func() {
		gateway.addTarget("p", "nord-a", seen.recorded(answerWith("proof", "yes")))
		tables := tenantTables()
		tables.Tenants = nil
		gateway.apply(tables)
		eventuallyServed("/orders/7")
		gomega.Expect(seen.take()).To(gomega.HaveEach("[beta] [" + alphaCredential + "]"))
	})

	// Guards against a key that is forwarded, or a name that is missing, in all but the first attempt.
	ginkgo.It("names the tenant and hides the key in retries, hedges and parts of queries", func() {
		hang := func(_ http.ResponseWriter, request *http.Request) {
			// The end of the connection is noticed only once the body is read.
			_, _ = io.Copy(io.Discard, request.Body)
			<-request.Context().Done()
		}
		for name, first := range map[string]http.HandlerFunc{"retried": answerStatus(http.StatusInternalServerError), "hedged": hang, "gathered": answerWith("proof", "aaaaaaaaaaaaaaaa")} {
			gateway = newGateway()
			tables := tenantTables(alphaKey)
			tables.Routes[0].HTTP.TargetLatency = duration.Of(shortTimeout)
			secondPool := "p"
			if name == "gathered" {
				secondPool = "q"
				tables.Routes[0].Pool, tables.Routes[0].HTTP.Gather = "", &operator.Gather{Pools: []string{"p", "q"}, Top: 5, MinimumCoverage: 1}
				tables.Pools = append(tables.Pools, pool("q"))
			}
			gateway.addTarget("p", "nord-a", seen.recorded(first))
			gateway.addTarget(secondPool, "sud-a", seen.recorded(answerWith("proof", "bbbbbbbbbbbbbbbb")))
			gateway.apply(tables)
			gomega.Eventually(func() int {
				seen.take()
				eventuallyServed("/orders/7")
				texts := seen.take()
				gomega.Expect(texts).To(gomega.HaveEach("[alpha] []"))
				return len(texts)
			}).WithTimeout(longTimeout).Should(gomega.Equal(2), name)
		}
	})

	// Guards against a tenant whose regions widen those of the route, or the other way round.
	ginkgo.It("is sent only to regions that the route and the tenant allow", func() {
		nord, sud := gateway.addTarget("p", "nord-a", answerWith("proof", "yes")), gateway.addTarget("p", "sud-a", answerWith("proof", "yes"))
		tables := tenantTables(alphaKey)
		tables.Tenants[0].Regions = []string{"sud", "ouest"}
		gateway.apply(tables)
		eventuallyServed("/orders/7")
		gomega.Expect(nord.runs.Load()).To(gomega.BeZero())
		tables = tenantTables(alphaKey)
		tables.Tenants[0].Regions, tables.Routes[0].HTTP.Regions = []string{"sud"}, []string{"nord"}
		gateway.board.InForce().Replace(2, tables)
		runs := sud.runs.Load()
		_, body, _ := gateway.sendAs("/orders/7", alphaCredential)
		gomega.Expect(body).To(gomega.ContainSubstring("no_target"))
		gomega.Expect(nord.runs.Load() + sud.runs.Load()).To(gomega.Equal(runs))
	})

	// Guards against keys in logs and metrics, and against lines and series that don't tell the tenant.
	ginkgo.It("leaves the tenant's name and no key in logs and metrics, in a bounded number of series", func() {
		gateway.addTarget("p", "nord-a", answerWith("proof", "yes"))
		tables := tenantTables(alphaKey)
		tables.Tenants[0].RatePerSecond, tables.Tenants[1].RatePerSecond = 500, 1
		for number := range 40 {
			tables.Tenants = append(tables.Tenants, operator.Tenant{Name: fmt.Sprint("tenant-", number), RatePerSecond: float64(100 + number)})
		}
		gateway.apply(tables)
		eventuallyServed("/orders/7")
		statusOf("/orders/7", "Bearer beta-secret")
		statusOf("/orders/7", "Bearer "+unknownKey)
		gomega.Expect(gateway.counts("comfreythread_tenant_requests_total")).To(gomega.And(
			gomega.HaveKeyWithValue("answered alpha", 1.0), gomega.HaveKeyWithValue("answered other", 1.0), gomega.Not(gomega.HaveKey("answered beta"))))
		gomega.Expect(logs.FilterField(zap.String("tenant", "alpha")).FilterMessage("request answered").Len()).To(gomega.BeNumerically(">", 0))
		gomega.Expect(logs.FilterField(zap.Int("status", http.StatusUnauthorized)).Len()).To(gomega.Equal(1))
		for _, line := range logs.All() {
			gomega.Expect(fmt.Sprint(line.Message, line.ContextMap())).NotTo(gomega.ContainSubstring("secret"))
		}
		families, err := gateway.metrics.Registry().Gather()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(fmt.Sprint(families)).NotTo(gomega.ContainSubstring("secret"))
		tables = tenantTables(alphaKey)
		tables.Tenants[0].Name = "alpha-2"
		gateway.board.InForce().Replace(2, tables)
		statusOf("/orders/7", alphaCredential)
		gomega.Expect(gateway.counts("comfreythread_tenant_requests_total")).NotTo(gomega.HaveKey("answered alpha"))
	})
})

// Guards against a withdrawn key that is accepted for longer than strict revocation allows, and against refusals
// that the settings don't ask for, while an entry is without contact with control.
func TestStrictRevocationRefusesKeysWithoutContact(t *testing.T) {
	for _, row := range []struct {
		strict  bool
		path    string
		without time.Duration
		reason  string
	}{
		{true, "/orders/7", 4900 * time.Millisecond, "no_target"}, {true, "/orders/7", 5100 * time.Millisecond, "stale"},
		{true, "/open/7", 5100 * time.Millisecond, "no_target"}, {false, "/orders/7", 5100 * time.Millisecond, "no_target"},
	} {
		t.Run(fmt.Sprint(row), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				var board blackboard.Board
				metrics := metrics.New()
				server := httpcaller.NewServer(httpcaller.Options{
					Headers: dialect.Default(), Revocation: settings.Revocation{Strict: row.strict, Span: duration.Of(5 * time.Second)},
				}, &board, httptarget.NewDirectory(zap.NewNop()), httptarget.NewSender(dialect.Default(), nil), newPermits(&board, metrics), zap.NewNop(), metrics)
				defer server.Close()
				board.InForce().Replace(1, tenantTables(alphaKey))
				board.InForce().Renew(time.Now().Add(control.LeaseDuration))
				time.Sleep(row.without)
				request := httptest.NewRequest(http.MethodGet, row.path, nil)
				request.Host = "a.example"
				request.Header.Set("Authorization", alphaCredential)
				recorder := httptest.NewRecorder()
				server.ServeHTTP(recorder, request)
				if body := recorder.Body.String(); recorder.Code != http.StatusServiceUnavailable || !strings.Contains(body, `"`+row.reason+`"`) || !strings.Contains(body, `"not_run":true`) {
					t.Errorf("status %d, body %s, expected reason %s", recorder.Code, body, row.reason)
				}
			})
		})
	}
}

// Guards against a key that reaches a target, or a name that doesn't, through another entry, whose tables may be
// older.
func TestTenantIsNamedThroughAnotherEntry(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 2, 1)
		tables := *fleet.tables
		tables.Tenants = tenantTables(alphaKey).Tenants
		fleet.entries[0].board.InForce().Replace(2, &tables)
		fleet.entries[0].refused.Store(true)
		request := httptest.NewRequest(http.MethodGet, "/orders/7", nil)
		request.Host = "a.example"
		request.Header.Set("Authorization", alphaCredential)
		recorder := httptest.NewRecorder()
		fleet.entries[0].server.ServeHTTP(recorder, request)
		arrivals := fleet.targets[0].arrivals
		if recorder.Code != http.StatusOK || len(arrivals) != 1 || arrivals[0].ip != fleet.entries[1].ip {
			t.Fatalf("status %d, arrivals %v, expected one through the other entry", recorder.Code, arrivals)
		}
		if header := arrivals[0].header; header.Get(dialect.Default().Tenant) != "alpha" || header.Get("Authorization") != "" {
			t.Errorf("the target got %v", header)
		}
	})
}
