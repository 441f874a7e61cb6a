package httptarget

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/dialect"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	// memoryLimit is the least memory of an entry on the platform.
	memoryLimit = 184 << 20
	// softMemoryLimit is what the process asks of the collector with that limit.
	softMemoryLimit = memoryLimit / 100 * 80
)

// serveOnSockets serves each connection to a new listener until the test ends, and returns its address.
func serveOnSockets(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		served.Wait()
	})
	served.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			served.Go(func() { serve(connection) })
		}
	})
	return listener.Addr().String()
}

// sendConnected sends requests to a target until one is sent: on a busy machine a connection may take longer than an attempt waits.
func sendConnected(t *testing.T, sender *Sender, target *Target, limit int) Outcome {
	for {
		request := NewEncoded("q", http.MethodGet, true, []byte("GET / HTTP/1.1\r\n"), nil)
		outcome := sender.Send(t.Context(), target, request, time.Now().Add(time.Minute), limit)
		if _, refused := outcome.(*Refused); !refused {
			return outcome
		}
	}
}

func isLost(outcome Outcome) bool {
	_, lost := outcome.(*Lost)
	return lost
}

// Guards against targets that send bodies without end and take more memory than the entry has, while they send: the process then
// ends, and with it the requests of all other callers.
func TestPeakMemoryOfAnswersWithoutEnd(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(softMemoryLimit))
	line := strings.Repeat("x", 1000) + "\r\n"
	for name, sent := range map[string]struct{ start, repeated string }{
		"until closed": {"HTTP/1.1 200 OK\r\n\r\n", line},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3ea\r\n" + line + "\r\n"},
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 67000000\r\n\r\n", line},
		"one header":   {"HTTP/1.1 200 OK\r\nX-More: ", "xxxxxxxxxxxxxxxxxxxx"},
	} {
		for _, attempts := range []int{1, 2, 16, 64} {
			t.Run(fmt.Sprintf("%s, %d at a time", name, attempts), func(t *testing.T) {
				address := serveOnSockets(t, func(connection net.Conn) { sendWithoutEnd(connection, sent.start, strings.Repeat(sent.repeated, 64)) })
				sender := NewSender(dialect.Default(), nil)
				sender.UseBudget(answer.NewBudget(memoryLimit))
				target := newTarget(&Record{ID: "t", Address: address})
				peak := standin.PeakMemory(func() {
					var running sync.WaitGroup
					for range attempts {
						running.Go(func() {
							for range 2 {
								if outcome := sendConnected(t, sender, target, attempts); !isLost(outcome) {
									t.Errorf("%T for an answer without end, want that it is lost", outcome)
								}
							}
						})
					}
					running.Wait()
				})
				t.Logf("%d MB at the peak", peak>>20)
				if peak >= memoryLimit {
					t.Errorf("%d MB at the peak, the entry has %d", peak>>20, memoryLimit>>20)
				}
			})
		}
	}
}

// Guards against honest answers that are lost while targets that send without end take the memory for large ones.
func TestSmallAnswersBesideAnswersWithoutEnd(t *testing.T) {
	endless := serveOnSockets(t, func(connection net.Conn) {
		sendWithoutEnd(connection, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10))
	})
	honest := serveOnSockets(t, func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		_, _ = connection.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 20000\r\n\r\n"+strings.Repeat("x", 20000))
	})
	sender := NewSender(dialect.Default(), nil)
	sender.UseBudget(answer.NewBudget(16 << 20))
	faulty, sound := newTarget(&Record{ID: "f", Address: endless}), newTarget(&Record{ID: "s", Address: honest})
	send := func(target *Target) Outcome { return sendConnected(t, sender, target, 32) }
	done := make(chan struct{})
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					send(faulty)
				}
			}
		})
	}
	for range 50 {
		if answered, isAnswered := send(sound).(*Answered); !isAnswered || len(answered.Body) != 20000 {
			t.Error("a small answer was lost")
		}
	}
	close(done)
	running.Wait()
}

// Guards against a target that is spared for answers for which the entry itself had no memory, or isn't for answers without end.
func TestDroppedAnswersCountForTheirCause(t *testing.T) {
	for cause, failed := range map[error]bool{answer.ErrTooLarge: true, answer.ErrNoMemory: false} {
		target, now := newTarget(&Record{ID: "t", Address: "10.0.0.1:80"}), time.Now()
		target.beginAttempt(now)
		target.recordOutcome(t.Context(), &Lost{Sent: true, Cause: cause}, now, now)
		if counted := target.Condition(now).FailureShare > 0; counted != failed {
			t.Errorf("%v: counts as a failure of the target: %t, want %t", cause, counted, failed)
		}
	}
}
