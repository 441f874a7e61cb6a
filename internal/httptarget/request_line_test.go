package httptarget

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// Guards against a request line that differs from the one that the caller sent. A path that begins with two slashes was
// passed on with a colon before it (review/15).
func FuzzRequestLine(f *testing.F) {
	for _, uri := range []string{
		"/", "//", "//a/b", "///", "/a//b", "/%2f", "/%2F..", "/a;b=c", "/?", "/a?", "/a?b=c&d", "/a??", "/a#b", "/a?b#c", "*", "/*", "/:a", "//h:80/a",
		"http://h/a", "http://h//a?b", "/\u00e4", "/\xff", "/a+b", `/a\b`, "/a|b", `/"a"`, "/..//../a", "/a/./b", "/'",
	} {
		f.Add(http.MethodGet, uri)
	}
	f.Add(http.MethodPost, "//a")
	f.Add(http.MethodOptions, "*")
	f.Add(http.MethodDelete, "//a?b")
	f.Fuzz(func(t *testing.T, method, uri string) {
		line := method + " " + uri + " HTTP/1.1\r\n"
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader(line + "Host: h\r\n\r\n")))
		if err != nil || received.Method != method || received.RequestURI != uri || method == http.MethodConnect {
			t.Skip("no request that a server reads")
		}
		request := &Request{ID: "q", Method: received.Method, URI: received.RequestURI, Host: received.Host}
		if err := request.Encode(http.Header{}, nil); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		if head, _ := request.Encoded(); !bytes.HasPrefix(head, []byte(line+"Host: ")) {
			t.Fatalf("%q is passed on as %q", line, head)
		}
	})
}

// Guards against a second request in the path of the first.
func TestRequestLineWithControlCharactersIsRefused(t *testing.T) {
	for _, uri := range []string{"/a\r\nX: y", "/a b", "/a\tb", "/a\x7f", "/\x00", ""} {
		request := &Request{ID: "q", Method: http.MethodGet, URI: uri, Host: "h"}
		if err := request.Encode(http.Header{}, nil); err == nil {
			t.Errorf("%q is passed on", uri)
		}
	}
}
