package httptarget

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/dialect"
)

const (
	// Ways in which a target shows where its answer ends.
	framedByLength = iota
	framedByChunks
	framedByClose
	framings
)

// wholeAnswer returns an answer with a body, and the length of its head.
func wholeAnswer(framing int, id, body string) (answer string, headBytes int) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: proof\r\n", dialect.Default().RequestID, id, dialect.Default().Proof)
	switch framing {
	case framedByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
		var chunks strings.Builder
		for rest := body; rest != ""; {
			size := min(len(rest), 20)
			fmt.Fprintf(&chunks, "%x\r\n%s\r\n", size, rest[:size])
			rest = rest[size:]
		}
		body = chunks.String() + "0\r\n\r\n"
	default:
		head += "Connection: close\r\n\r\n"
	}
	return head + body, len(head)
}

// answerWith sends a request to a target that writes some bytes and closes the connection, and returns the outcome.
func answerWith(written string) Outcome {
	sender := NewSender(dialect.Default(), func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			_, _ = io.WriteString(far, written)
		}()
		return near, nil
	})
	request := NewEncoded("q", http.MethodGet, true, []byte("GET / HTTP/1.1\r\nHost: a.example\r\n"), nil)
	return sender.Send(context.Background(), newTarget(&Record{ID: "t", Address: "10.0.0.1:80"}), request, time.Now().Add(longTimeout), 2)
}

// expectWholeOrLost fails the test if an answer that was cut after some bytes is taken for a whole one. Only the close shows
// where one without a length ends, so that its body may be any beginning of the whole one.
func expectWholeOrLost(t *testing.T, framing int, body string, cut int) {
	t.Helper()
	whole, headBytes := wholeAnswer(framing, "q", body)
	isCut := cut < len(whole) && (framing != framedByClose || cut < headBytes)
	switch outcome := answerWith(whole[:cut]).(type) {
	case *Answered:
		if isCut || !strings.HasPrefix(body, string(outcome.Body)) || framing != framedByClose && string(outcome.Body) != body {
			t.Errorf("framing %d, cut after %d of %d bytes: answered with %q", framing, cut, len(whole), outcome.Body)
		}
	case *Lost:
		if !isCut || !outcome.Sent {
			t.Errorf("framing %d, cut after %d of %d bytes: lost, sent %t: %v", framing, cut, len(whole), outcome.Sent, outcome.Cause)
		}
	default:
		t.Errorf("framing %d, cut after %d of %d bytes: %T", framing, cut, len(whole), outcome)
	}
}

// Guards against a success with an empty or short body, framed as whole, if a target closes the connection in the middle of
// its answer's head or body.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for framing := range framings {
		for _, body := range []string{"", "short", strings.Repeat("sixteen bytes...", 5)} {
			whole, _ := wholeAnswer(framing, "q", body)
			for cut := range len(whole) + 1 {
				expectWholeOrLost(t, framing, body, cut)
			}
		}
	}
}

func FuzzCutAnswer(f *testing.F) {
	f.Add(uint8(framedByLength), "short", uint16(90))
	f.Add(uint8(framedByChunks), "sixteen bytes...", uint16(130))
	f.Add(uint8(framedByClose), "\r\n\r\n", uint16(20))
	f.Fuzz(func(t *testing.T, framing uint8, body string, cut uint16) {
		whole, _ := wholeAnswer(int(framing%framings), "q", body)
		expectWholeOrLost(t, int(framing%framings), body, int(cut)%(len(whole)+1))
	})
}
