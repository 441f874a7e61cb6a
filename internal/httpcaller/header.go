// Which headers concern one connection alone and aren't forwarded.

package httpcaller

import (
	"net/http"
	"net/textproto"
	"strings"
)

var (
	// hopByHop lists them (RFC 9110, 7.6.1), and the older ones in use.
	hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
)

// endToEnd returns a copy without the headers of one connection.
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
