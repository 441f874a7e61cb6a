package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
	"go.opentelemetry.io/otel/trace"

	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

// TestEncode parses an encoded message with net/http and compares it with the
// original.
func TestEncode(t *testing.T) {
	expect := gomega.NewWithT(t)
	span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1}, SpanID: trace.SpanID{2}, TraceFlags: trace.FlagsSampled})
	run := &target.Run{RequestID: "q<&>\n\"é", AttemptID: "a", Payload: json.RawMessage(`{"a":[1,"b"]}`), Layout: "l", Shard: 3}
	for address, host := range map[string]string{"10.0.0.7:8080": "10.0.0.7:8080", "[fe80::1]:80": "[fe80::1]:80"} {
		encoded, err := encodeRequest(trace.ContextWithSpanContext(context.Background(), span), http.MethodPost, address, target.RunPath, run)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		reader := bufio.NewReader(bytes.NewReader(encoded))
		read, err := http.ReadRequest(reader)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		expect.Expect([]string{read.Method, read.URL.Path, read.Host, read.Header.Get("Content-Type")}).To(gomega.Equal([]string{http.MethodPost, target.RunPath, host, "application/json"}))
		expect.Expect(read.Header.Get("traceparent")).To(gomega.Equal("00-01000000000000000000000000000000-0200000000000000-01"))
		body, err := io.ReadAll(read.Body)
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		var reread target.Run
		expect.Expect(json.Unmarshal(body, &reread)).To(gomega.Succeed())
		expect.Expect(&reread).To(gomega.Equal(run))
		expect.Expect(reader.Buffered()).To(gomega.BeZero())
	}
}

// TestEncodeBadAddress checks that an address can't inject headers into a
// request.
func TestEncodeBadAddress(t *testing.T) {
	expect := gomega.NewWithT(t)
	for _, address := range []string{"10.0.0.7:80\r\nX: y", "10.0.0.7 :80", "[fe80::1%a\r\nX: y]:80"} {
		_, err := encodeRequest(context.Background(), http.MethodPost, address, target.RunPath, struct{}{})
		expect.Expect(err).To(gomega.HaveOccurred())
	}
}
