package web_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/web"
)

// limitedService runs a LimitedServer at 10.0.0.1:80 whose limits the test can change.
type limitedService struct {
	expect  gomega.Gomega
	network standin.Network
	server  *web.LimitedServer
	limits  atomic.Pointer[web.Limits]
	served  chan error
}

func startLimited(expect gomega.Gomega, limits web.Limits, handler http.HandlerFunc) *limitedService {
	service := &limitedService{expect: expect, served: make(chan error, 1)}
	service.limits.Store(&limits)
	listener, err := service.network.Listen("10.0.0.1:80")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	service.server = web.NewLimitedServer(handler, func() web.Limits { return *service.limits.Load() }, zap.NewNop())
	go func() { service.served <- service.server.Serve(listener) }()
	return service
}

func (service *limitedService) dial() net.Conn {
	connection, err := service.network.Dialer("10.0.0.2")(context.Background(), "tcp", "10.0.0.1:80")
	service.expect.Expect(err).NotTo(gomega.HaveOccurred())
	return connection
}

// exchange sends one request and reads its response.
func exchange(connection net.Conn) error {
	if _, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// closesAfter waits until the server closes a connection, and returns how long that took.
func (service *limitedService) closesAfter(connection net.Conn) time.Duration {
	start := time.Now()
	_, err := io.ReadAll(connection)
	service.expect.Expect(err).NotTo(gomega.HaveOccurred())
	return time.Since(start)
}

var _ = ginkgo.Describe("a server with changing limits", func() {
	empty := func(http.ResponseWriter, *http.Request) {}

	ginkgo.It("closes connections that are idle or slow to send headers by the limits in force when they were opened", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			service := startLimited(expect, web.Limits{HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}, empty)
			earlier := service.dial()
			expect.Expect(exchange(earlier)).To(gomega.Succeed())
			service.limits.Store(&web.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 20 * time.Second})
			later := service.dial()
			expect.Expect(exchange(later)).To(gomega.Succeed())
			expect.Expect(service.closesAfter(earlier)).To(gomega.BeNumerically("~", 12*time.Second, time.Second))
			expect.Expect(service.closesAfter(later)).To(gomega.BeNumerically("~", 10*time.Second, time.Second), "22 s after its request")
			slow := service.dial()
			_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
			expect.Expect(service.closesAfter(slow)).To(gomega.BeNumerically("~", 3*time.Second, time.Second))
			expect.Expect(service.server.Close()).To(gomega.Succeed())
			expect.Expect(<-service.served).To(gomega.Succeed())
		})
	})

	ginkgo.It("waits at shutdown for the requests in progress under all limits", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			service := startLimited(expect, web.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second}, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Second) })
			answered := make(chan error, 2)
			for round := range 2 {
				service.limits.Store(&web.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Duration(round+1) * time.Minute})
				connection := service.dial()
				go func() { answered <- exchange(connection) }()
				time.Sleep(time.Millisecond)
			}
			start := time.Now()
			expect.Expect(service.server.Shutdown(context.Background())).To(gomega.Succeed())
			expect.Expect(time.Since(start)).To(gomega.BeNumerically(">=", time.Second))
			expect.Expect(<-service.served).To(gomega.Succeed())
			expect.Expect(<-answered).To(gomega.Succeed())
			expect.Expect(<-answered).To(gomega.Succeed())
			_, err := service.network.Dialer("10.0.0.2")(context.Background(), "tcp", "10.0.0.1:80")
			expect.Expect(err).To(gomega.HaveOccurred())
		})
	})
})
