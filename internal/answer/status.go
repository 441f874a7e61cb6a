package answer

import (
	"net/http"

	"github.com/go-faster/errors"
)

const (
	// maximumStatus is the greatest status that an answer may have.
	maximumStatus = 599
)

var (
	// ErrStatus reports an answer whose status isn't one.
	ErrStatus = errors.New("the answer has no valid status; the connection was closed")
)

// IsFinal reports whether a status is that of an answer, and not of an interim response or of damaged bytes.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status <= maximumStatus
}

// IsInterim reports whether a response precedes the answer and may be skipped: its status is from 100 to 199, and it has no body. The
// system asks for no change of protocol, so that 101 is none.
func IsInterim(response *http.Response) bool {
	isInterim := response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
	return isInterim && response.Header.Get("Content-Length") == "" && len(response.TransferEncoding) == 0 && response.Header.Get("Transfer-Encoding") == ""
}
