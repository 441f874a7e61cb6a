package httpcaller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	dto "github.com/prometheus/client_model/go"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/httpcaller"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/permit"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// longTimeout is longer than any wait in these specs takes.
	longTimeout = 20 * time.Second
	// callerDeadline is the deadline that callers send.
	callerDeadline = 15 * time.Second
)

type (
	// gateway is an entry's server for HTTP routes with fake targets.
	gateway struct {
		board       blackboard.Board
		registry    *httptarget.Registry
		metrics     *metrics.Metrics
		server      *httpcaller.Server
		address     string
		targetCount int
	}

	// fakeTarget is an HTTP server that answers with a given handler and counts its runs.
	fakeTarget struct {
		*httptest.Server
		runs atomic.Int64
	}
)

func TestHTTPCaller(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "httpcaller")
}

func newGateway() *gateway {
	return newGatewayWithDialer(nil)
}

// newGatewayWithDialer returns a gateway that connects to targets by dial, or by TCP if dial is
// nil.
func newGatewayWithDialer(dial tcp.Dialer) *gateway {
	return newLoggingGateway(dial, zap.NewNop())
}

// newLoggingGateway is like newGatewayWithDialer, and writes the lines about requests to a logger.
func newLoggingGateway(dial tcp.Dialer, logger *zap.Logger) *gateway {
	gateway := &gateway{registry: httptarget.NewRegistry(1, zap.NewNop()), metrics: metrics.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	peers := new(frame.Server)
	gateway.registry.Register(peers)
	go func() { _ = peers.Serve(listener) }()
	directory := httptarget.NewDirectory(zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	watcher := httptarget.NewWatcher(directory, func() []string { return []string{listener.Addr().String()} }, nil, zap.NewNop())
	go watcher.Run(ctx)
	sender := httptarget.NewSender(dialect.Default(), dial)
	sender.Observe(logger, gateway.metrics)
	gateway.server = httpcaller.NewServer(httpcaller.Options{
		FailureDomain: "nord-a", Region: "nord", Regions: map[string]string{"nord-a": "nord", "sud-a": "sud"}, Headers: dialect.Default(),
		Budget: policy.BudgetLimits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}, &gateway.board, directory, sender, newPermits(&gateway.board, gateway.metrics), logger, gateway.metrics)
	httpServer := httptest.NewServer(gateway.server)
	gateway.address = httpServer.URL
	ginkgo.DeferCleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
		cancel()
		peers.Stop()
	})
	gomega.Eventually(directory.Synced).WithTimeout(longTimeout).Should(gomega.BeTrue())
	return gateway
}

// newPermits returns the permits of an entry without others.
func newPermits(board *blackboard.Board, metrics *metrics.Metrics) *permit.Permits {
	return permit.New("entry-1", board, nil, zap.NewNop(), metrics)
}

// addTarget starts a fake target and announces it to the registry.
func (gateway *gateway) addTarget(pool, domain string, answer http.HandlerFunc) *fakeTarget {
	gateway.targetCount++
	return gateway.startTarget(fmt.Sprint("target-", gateway.targetCount), 1, pool, domain, answer)
}

// startTarget starts a fake target under an ID and announces that start to the registry.
func (gateway *gateway) startTarget(id string, startedAt int64, pool, domain string, answer http.HandlerFunc) *fakeTarget {
	target := new(fakeTarget)
	target.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		target.runs.Add(1)
		writer.Header().Set(dialect.Default().RequestID, request.Header.Get(dialect.Default().RequestID))
		answer(writer, request)
	}))
	ginkgo.DeferCleanup(func() {
		target.CloseClientConnections()
		target.Close()
	})
	gomega.Expect(gateway.registry.Announce(httptarget.Record{
		ID: id, Pool: pool, Address: target.Listener.Addr().String(), FailureDomain: domain,
		Slots: 2, State: httptarget.StateReady, StartedAt: startedAt, Revision: 1,
	})).To(gomega.Succeed())
	return target
}

// answerWith responds with a body and a proof header, as a target does.
func answerWith(proof, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(dialect.Default().Proof, proof)
		_, _ = io.WriteString(writer, body)
	}
}

// apply puts tables in force and renews the lease.
func (gateway *gateway) apply(tables *operator.Tables) {
	gomega.Expect(tables.Check()).To(gomega.Succeed())
	gateway.board.InForce().Replace(1, tables)
	gateway.board.InForce().Renew(time.Now().Add(time.Hour))
}

func pool(name string) operator.Pool {
	return operator.Pool{Name: name, Connections: 25, HTTP: &operator.HTTPPool{}}
}

// ordersRoute returns a route with a single pool.
func ordersRoute() operator.Route {
	return operator.Route{Kind: "orders", Pool: "p", HTTP: &operator.HTTPRoute{
		Host: "a.example", PathPrefix: "/orders/", Timeout: duration.Of(longTimeout), TargetLatency: duration.Of(longTimeout), MaxAttempts: 2,
	}}
}

// send sends a request and returns the response and its body.
func (gateway *gateway) send(method, path string, body io.Reader) (*http.Response, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, gateway.address+path, body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "a.example"
	request.Header.Set(dialect.Default().RequestID, "q1")
	request.Header.Set(dialect.Default().Deadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	response, err := http.DefaultClient.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return response, string(read)
}

// sampleCounts returns the number of samples of a histogram by its label values.
func (gateway *gateway) sampleCounts(name string) map[string]uint64 {
	counts := map[string]uint64{}
	gateway.eachMetric(name, func(labelValues string, metric *dto.Metric) {
		counts[labelValues] = metric.GetHistogram().GetSampleCount()
	})
	return counts
}

// counts returns the values of a counter by its label values.
func (gateway *gateway) counts(name string) map[string]float64 {
	counts := map[string]float64{}
	gateway.eachMetric(name, func(labelValues string, metric *dto.Metric) { counts[labelValues] = metric.GetCounter().GetValue() })
	return counts
}

// eachMetric calls visit with each metric of a name and its label values, separated by spaces.
func (gateway *gateway) eachMetric(name string, visit func(labelValues string, metric *dto.Metric)) {
	families, err := gateway.metrics.Registry().Gather()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			var values []string
			for _, label := range metric.GetLabel() {
				values = append(values, label.GetValue())
			}
			visit(strings.Join(values, " "), metric)
		}
	}
}
