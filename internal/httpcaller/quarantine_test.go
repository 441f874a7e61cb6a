package httpcaller_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	targetCount  = 6
	requestCount = 20
	// strikeSpan is longer than it takes to find that a target has crashed.
	strikeSpan = 200 * time.Millisecond
)

var _ = ginkgo.Describe("a request that crashes each target that runs it", func() {
	var gateway *gateway

	ginkgo.BeforeEach(func() {
		gateway = newGateway()
		gateway.apply(&operator.Tables{Routes: []operator.Route{ordersRoute()}, Pools: []operator.Pool{pool("p")}})
	})

	totalRuns := func(targets []*fakeTarget) int64 {
		sum := int64(0)
		for _, target := range targets {
			sum += target.runs.Load()
		}
		return sum
	}

	ginkgo.It("is refused as not run after two crashes, while other requests are served", func() {
		var targets []*fakeTarget
		for range targetCount {
			var target *fakeTarget
			target = gateway.addTarget("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/orders/harmful" {
					_ = target.Listener.Close()
					target.CloseClientConnections()
					return
				}
				answerWith("proof", "yes")(writer, request)
			})
			targets = append(targets, target)
		}
		sendHarmful := func() string {
			_, body := gateway.send(http.MethodPost, "/orders/harmful", strings.NewReader("x"))
			return body
		}
		gomega.Eventually(sendHarmful).WithTimeout(longTimeout).Should(gomega.ContainSubstring(`"reason":"harmful"`))
		runsUntilQuarantine := totalRuns(targets)
		gomega.Expect(runsUntilQuarantine).To(gomega.BeNumerically("<", targetCount), "some targets must be left")
		for range requestCount {
			gomega.Expect(sendHarmful()).To(gomega.ContainSubstring(`"not_run":true`))
		}
		gomega.Expect(totalRuns(targets)).To(gomega.Equal(runsUntilQuarantine))
		gomega.Eventually(func() string {
			_, body := gateway.send(http.MethodGet, "/orders/other", nil)
			return body
		}).WithTimeout(longTimeout).Should(gomega.Equal("yes"))
	})

	// A pool may have a single target, which starts again under its ID after each crash.
	ginkgo.It("is refused after crashes of several starts of one target", func() {
		var reasons []string
		for startedAt := range int64(targetCount) {
			var target *fakeTarget
			target = gateway.startTarget("target-1", startedAt+1, "p", "nord-a", func(http.ResponseWriter, *http.Request) {
				_ = target.Listener.Close()
				target.CloseClientConnections()
			})
			body := ""
			gomega.Eventually(func() bool {
				_, body = gateway.send(http.MethodPost, "/orders/harmful", strings.NewReader("x"))
				return target.runs.Load() > 0 || strings.Contains(body, `"reason":"harmful"`)
			}).WithTimeout(longTimeout).Should(gomega.BeTrue())
			reasons = append(reasons, body)
			time.Sleep(strikeSpan)
		}
		gomega.Expect(reasons[targetCount-1]).To(gomega.ContainSubstring(`"reason":"harmful"`))
	})

	ginkgo.It("isn't confused with a frequent request during unrelated crashes of targets", func() {
		var crashNext atomic.Bool
		for range targetCount {
			var target *fakeTarget
			target = gateway.addTarget("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
				if crashNext.CompareAndSwap(true, false) {
					_ = target.Listener.Close()
					target.CloseClientConnections()
					return
				}
				answerWith("proof", "yes")(writer, request)
			})
		}
		sendPopular := func() string {
			_, body := gateway.send(http.MethodPost, "/orders/popular", strings.NewReader("x"))
			return body
		}
		gomega.Eventually(sendPopular).WithTimeout(longTimeout).Should(gomega.Equal("yes"))
		for range targetCount - 2 {
			crashNext.Store(true)
			gomega.Expect(sendPopular()).NotTo(gomega.ContainSubstring("harmful"))
			gomega.Eventually(sendPopular).WithTimeout(longTimeout).Should(gomega.Equal("yes"))
		}
	})

	ginkgo.It("isn't confused with a request whose connection a healthy target closes", func() {
		gateway.addTarget("p", "nord-a", abortConnection)
		gateway.addTarget("p", "sud-a", abortConnection)
		for number := range requestCount {
			_, body := gateway.send(http.MethodGet, "/orders/same", nil)
			gomega.Expect(body).NotTo(gomega.ContainSubstring("harmful"), fmt.Sprint(number))
		}
	})
})
