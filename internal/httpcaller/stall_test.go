package httpcaller_test

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
)

var _ = ginkgo.Describe("a query over shards", func() {
	ginkgo.It("waits for a shard whose only target is full for a moment, instead of failing at once", func() {
		gateway := newGateway()
		gateway.addTarget("p", "nord-a", answerWith("proof-p", "0123456789abcdef"))
		var isFull atomic.Bool
		full := gateway.addTarget("q", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
			if isFull.Load() {
				writer.Header().Set(dialect.Default().NotRun, "1")
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			answerWith("proof-q", "fedcba9876543210")(writer, request)
		})
		gateway.apply(gatherTables(longTimeout))
		status, _, _ := sendUntilKnown(gateway, "/sweep/7")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
		isFull.Store(true)
		time.AfterFunc(300*time.Millisecond, func() { isFull.Store(false) })
		runs := full.runs.Load()
		response, _ := gateway.send(http.MethodGet, "/sweep/7", nil)
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		gomega.Expect(response.Header.Get(dialect.Default().MissingParts)).To(gomega.Equal("0"))
		gomega.Expect(full.runs.Load()-runs).To(gomega.BeNumerically("<", 12), "attempts at a full target")
	})
})
