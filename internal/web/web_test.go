package web_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/web"
)

type (
	body struct {
		Value int `json:"value"`
	}
)

var suite *testing.T

func TestWeb(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "web")
}

// send writes raw bytes to a server, then one space after each pause, and returns the
// response's status and body.
func send(expect gomega.Gomega, raw string, pauses ...time.Duration) (int, string) {
	network := &standin.Network{}
	listener, err := network.Listen("10.0.0.1:80")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	engine := web.NewEngine()
	engine.POST("/value", func(ginContext *gin.Context) {
		if err := web.Decode(ginContext, new(body)); err != nil {
			web.RespondError(ginContext, err)
			return
		}
		ginContext.Status(http.StatusNoContent)
	})
	engine.GET("/defect", func(*gin.Context) { panic("defect") })
	server := web.NewServer(engine)
	go func() { _ = web.Serve(server, listener) }()
	defer func() { _ = server.Close() }()
	connection, err := network.Dialer("10.0.0.2")(context.Background(), "tcp", "10.0.0.1:80")
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, raw)
	for _, pause := range pauses {
		time.Sleep(pause)
		_, _ = io.WriteString(connection, " ")
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

var _ = ginkgo.Describe("a server", func() {
	post := "POST /value HTTP/1.1\r\nHost: x\r\nContent-Length: "
	ginkgo.DescribeTable("responds to valid and invalid requests", func(raw string, status int, kind string, pauses ...time.Duration) {
		bubble.Run(suite, func(expect gomega.Gomega) {
			gotStatus, content := send(expect, raw, pauses...)
			expect.Expect(gotStatus).To(gomega.Equal(status), content)
			expect.Expect(content).To(gomega.ContainSubstring(kind))
		})
	},
		ginkgo.Entry("well formed", post+"11\r\n\r\n{\"value\":1}", 204, ""),
		ginkgo.Entry("malformed", post+"10\r\n\r\n{\"value\":1", 400, `"bad_request"`),
		ginkgo.Entry("unknown field", post+"9\r\n\r\n{\"val\":1}", 400, `use one of value`),
		ginkgo.Entry("too large", post+"5000000\r\n\r\n"+strings.Repeat(" ", 5000000), 413, `"too_large"`),
		ginkgo.Entry("too slow", post+"99\r\n\r\n{", 408, `"too_slow"`, 11*time.Second),
		ginkgo.Entry("headers too large", "GET /value HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 64<<10)+"\r\n\r\n", 431, ""),
		ginkgo.Entry("unknown path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404, `"not_found"`),
		ginkgo.Entry("wrong method", "GET /value HTTP/1.1\r\nHost: x\r\n\r\n", 405, `"bad_request"`),
		ginkgo.Entry("defect", "GET /defect HTTP/1.1\r\nHost: x\r\n\r\n", 500, `"internal"`),
		ginkgo.Entry("no HTTP", "\x00\x01\r\n\r\n", 400, ""),
	)

	ginkgo.It("ends a connection whose headers never end", func() {
		bubble.Run(suite, func(expect gomega.Gomega) {
			network := &standin.Network{}
			listener, _ := network.Listen("10.0.0.1:80")
			server := web.NewServer(web.NewEngine())
			go func() { _ = web.Serve(server, listener) }()
			defer func() { _ = server.Close() }()
			connection, _ := network.Dialer("10.0.0.2")(context.Background(), "tcp", "10.0.0.1:80")
			_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: ")
			start := time.Now()
			_, err := io.ReadAll(connection)
			expect.Expect(err).NotTo(gomega.HaveOccurred())
			expect.Expect(time.Since(start)).To(gomega.BeNumerically("<=", 2*time.Second))
		})
	})
})
