package httpcaller_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	crashing = 6
	sendings = 20
)

var _ = ginkgo.Describe("a request that crashes each target that runs it", func() {
	var gateway *gateway

	ginkgo.BeforeEach(func() {
		gateway = newGateway()
		gateway.apply(&operator.Tables{Routes: []operator.Route{orders()}, Pools: []operator.Pool{pool("p")}})
	})

	runs := func(targets []*standInTarget) int64 {
		sum := int64(0)
		for _, target := range targets {
			sum += target.runs.Load()
		}
		return sum
	}

	ginkgo.It("is refused as not run after two targets, and others are served", func() {
		var targets []*standInTarget
		for range crashing {
			var target *standInTarget
			target = gateway.add("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
				if request.URL.Path == "/orders/harmful" {
					_ = target.Listener.Close()
					target.CloseClientConnections()
					return
				}
				part("proof", "yes")(writer, request)
			})
			targets = append(targets, target)
		}
		refused := func() string {
			_, body := gateway.ask(http.MethodPost, "/orders/harmful", strings.NewReader("x"))
			return body
		}
		gomega.Eventually(refused).WithTimeout(roomySpan).Should(gomega.ContainSubstring(`"reason":"harmful"`))
		crashed := runs(targets)
		gomega.Expect(crashed).To(gomega.BeNumerically("<", crashing), "some are left")
		for range sendings {
			gomega.Expect(refused()).To(gomega.ContainSubstring(`"not_run":true`))
		}
		gomega.Expect(runs(targets)).To(gomega.Equal(crashed))
		gomega.Eventually(func() string {
			_, body := gateway.ask(http.MethodGet, "/orders/other", nil)
			return body
		}).WithTimeout(roomySpan).Should(gomega.Equal("yes"))
	})

	ginkgo.It("isn't taken for one that many send, where targets crash by themselves", func() {
		var crash atomic.Bool
		for range crashing {
			var target *standInTarget
			target = gateway.add("p", "nord-a", func(writer http.ResponseWriter, request *http.Request) {
				if crash.CompareAndSwap(true, false) {
					_ = target.Listener.Close()
					target.CloseClientConnections()
					return
				}
				part("proof", "yes")(writer, request)
			})
		}
		answered := func() string {
			_, body := gateway.ask(http.MethodPost, "/orders/popular", strings.NewReader("x"))
			return body
		}
		gomega.Eventually(answered).WithTimeout(roomySpan).Should(gomega.Equal("yes"))
		for range crashing - 2 {
			crash.Store(true)
			gomega.Expect(answered()).NotTo(gomega.ContainSubstring("harmful"))
			gomega.Eventually(answered).WithTimeout(roomySpan).Should(gomega.Equal("yes"))
		}
	})

	ginkgo.It("isn't taken for one where targets break off and are well", func() {
		gateway.add("p", "nord-a", breakOff)
		gateway.add("p", "sud-a", breakOff)
		for number := range sendings {
			_, body := gateway.ask(http.MethodGet, "/orders/same", nil)
			gomega.Expect(body).NotTo(gomega.ContainSubstring("harmful"), fmt.Sprint(number))
		}
	})
})
