package target

import (
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"testing"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	// memoryLimit is the least memory of an entry on the platform.
	memoryLimit = 184 << 20
	// softMemoryLimit is what the process asks of the collector with that limit.
	softMemoryLimit = memoryLimit / 100 * 80
)

// Guards against targets that send bytes without end in a head or a body and take more memory than the entry has: the process
// then ends, and with it the requests of all other callers.
func TestPeakMemoryOfResponsesWithoutEnd(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softMemoryLimit))
	line := strings.Repeat("x", 1000) + "\r\n"
	for name, sent := range map[string]struct{ start, repeated string }{
		"status line":  {"HTTP/1.1 200 ", "xxxxxxxxxxxxxxxxxxxx"},
		"garbage":      {"", line},
		"one header":   {"HTTP/1.1 200 OK\r\nX-More: ", "xxxxxxxxxxxxxxxxxxxx"},
		"headers":      {"HTTP/1.1 200 OK\r\n", "X-More: " + line},
		"until closed": {"HTTP/1.1 200 OK\r\n\r\n", line},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3ea\r\n" + line + "\r\n"},
		"chunk size":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
		"trailers":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line},
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", line},
	} {
		for _, connections := range []int{1, 64} {
			t.Run(fmt.Sprintf("%s, %d connections", name, connections), func(t *testing.T) {
				budget := answer.NewBudget(memoryLimit)
				peak := standin.PeakMemory(func() {
					var running sync.WaitGroup
					for range connections {
						running.Go(func() {
							if err := readWithoutEnd(budget, sent.start, strings.Repeat(sent.repeated, 64)); err == nil || errors.Is(err, io.EOF) {
								t.Errorf("a response without end was read: %v", err)
							}
						})
					}
					running.Wait()
				})
				t.Logf("%d MB at the peak", peak>>20)
				if peak >= memoryLimit {
					t.Errorf("%d MB at the peak, the entry has %d", peak>>20, memoryLimit>>20)
				}
				if budget.Held() != 0 {
					t.Errorf("%d bytes count as held", budget.Held())
				}
			})
		}
	}
}

// readWithoutEnd reads responses from a peer that sends without end, until an error.
func readWithoutEnd(budget *answer.Budget, start, repeated string) error {
	here, there := net.Pipe()
	var sending sync.WaitGroup
	sending.Go(func() {
		for text := start; ; text = repeated {
			if _, err := io.WriteString(there, text); err != nil {
				return
			}
		}
	})
	defer sending.Wait()
	defer func() { _ = here.Close() }()
	responses := newResponseReader(here, budget)
	for {
		if err := responses.await(); err != nil {
			return err
		}
		if _, err := responses.read(); err != nil {
			return err
		}
	}
}
