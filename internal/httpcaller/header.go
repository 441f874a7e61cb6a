// Removal of hop-by-hop headers, which are not forwarded.

package httpcaller

import (
	"net/http"
	"net/textproto"
	"strings"
)

var (
	// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1),
	// including older ones that are still in use.
	hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
)

// endToEnd returns a copy of header without hop-by-hop headers, including those named
// by Connection.
func endToEnd(header http.Header) http.Header {
	copied := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			copied.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(copied, name)
	}
	return copied
}
