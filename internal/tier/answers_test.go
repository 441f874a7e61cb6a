package tier_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/entry"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/internal/tier"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// proxyPort is the port of the proxy in front of a target.
	proxyPort = "81"
	// lateDelay is longer than any hedge delay and shorter than the timeout.
	lateDelay = 150 * time.Millisecond
)

type (
	// responseFault sends a faulty version of a target's response. It returns
	// false if the proxy must close the connection.
	responseFault func(to net.Conn, head, body []byte) bool

	// proxies are reverse proxies in front of targets, which can inject faults into
	// responses.
	proxies struct {
		listeners []net.Listener
		// faults holds the active fault of each target ID; nil stands for none.
		faults map[string]*atomic.Pointer[responseFault]
	}
)

var droppedAnswersMetric = regexp.MustCompile(`comfreythread_dropped_answers_total\{reason="([a-z]+)"\} ([0-9]+)`)

// add starts a proxy for a target that is about to start, and announces the
// proxy's address in place of the target's.
func (proxies *proxies) add(network *standin.Network, announcement *target.Announcement) {
	targetAddress := announcement.Address
	ip, _, _ := net.SplitHostPort(targetAddress)
	announcement.Address = net.JoinHostPort(ip, proxyPort)
	listener, err := network.Listen(announcement.Address)
	if err != nil {
		panic(err)
	}
	proxies.listeners = append(proxies.listeners, listener)
	active := new(atomic.Pointer[responseFault])
	proxies.faults[announcement.ID] = active
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go forward(accepted, network.Dialer(ip), targetAddress, active)
		}
	}()
}

func (proxies *proxies) close() {
	for _, listener := range proxies.listeners {
		_ = listener.Close()
	}
}

// forward relays a connection to a target and applies the active fault to the
// responses to runs.
func forward(client net.Conn, dial tcp.Dialer, targetAddress string, active *atomic.Pointer[responseFault]) {
	defer func() { _ = client.Close() }()
	server, err := dial(context.Background(), "tcp", targetAddress)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	requests, responses := bufio.NewReader(client), bufio.NewReader(server)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil || request.Write(server) != nil {
			return
		}
		response, err := http.ReadResponse(responses, request)
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		send := active.Load()
		if send == nil || request.URL.Path != target.RunPath {
			send = &forwardUnchanged
		}
		if !(*send)(client, responseHead(response.StatusCode, body), body) {
			return
		}
	}
}

var forwardUnchanged responseFault = func(to net.Conn, head, body []byte) bool {
	return writeAll(to, head, body)
}

func responseHead(status int, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(body))
}

func writeAll(to net.Conn, parts ...[]byte) bool {
	_, err := to.Write(bytes.Join(parts, nil))
	return err == nil
}

// rewriteResult changes the result in a response; the response stays valid HTTP and JSON.
func rewriteResult(change func(result *target.Result)) responseFault {
	return func(to net.Conn, head, body []byte) bool {
		var result target.Result
		if json.Unmarshal(body, &result) != nil || result.Checksum == 0 {
			return writeAll(to, head, body)
		}
		change(&result)
		changed, _ := json.Marshal(&result)
		return writeAll(to, responseHead(http.StatusOK, changed), changed)
	}
}

// sendPrevious answers each run with the response to the previous one, and the
// first run with its own.
func sendPrevious() responseFault {
	var previous atomic.Pointer[[]byte]
	return func(to net.Conn, head, body []byte) bool {
		response := slices.Concat(head, body)
		if earlier := previous.Swap(&response); earlier != nil {
			return writeAll(to, *earlier)
		}
		return writeAll(to, response)
	}
}

// sendWithoutEnd answers each run with a start and then the same bytes again and again.
func sendWithoutEnd(start, repeated string) responseFault {
	return func(to net.Conn, _, _ []byte) bool {
		for text := []byte(start); writeAll(to, text); {
			text = bytes.Repeat([]byte(repeated), 1000)
		}
		return false
	}
}

// droppedAnswers returns the number of answers that all entries dropped for a reason.
func (load *load) droppedAnswers(expect gomega.Gomega, reason string) int {
	sum := 0
	client := http.Client{Transport: &http.Transport{DialContext: load.network.Dialer("10.0.0.9"), DisableKeepAlives: true}}
	for _, process := range load.tier.Entries() {
		response, err := client.Get("http://" + process.Settings().HTTPAddress + "/metrics")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, match := range droppedAnswersMetric.FindAllSubmatch(text, -1) {
			if string(match[1]) == reason {
				count, _ := strconv.Atoi(string(match[2]))
				sum += count
			}
		}
	}
	return sum
}

// expectMatchingParts checks that each part of each answer belongs to its request.
func (load *load) expectMatchingParts(expect gomega.Gomega) {
	for _, answer := range load.answers {
		for _, part := range answer.Parts {
			var payload standin.ResultPayload
			expect.Expect(json.Unmarshal(part.Payload, &payload)).To(gomega.Succeed())
			expect.Expect(payload.RequestID).To(gomega.Equal(string(answer.RequestID)))
			expect.Expect(payload.Target).To(gomega.Equal(part.Target))
			expect.Expect(payload.Shard).To(gomega.Equal(part.Shard))
		}
	}
}

// partsFrom counts the parts in answers that came from a target.
func (load *load) partsFrom(id string) int {
	count := 0
	for _, answer := range load.answers {
		for _, part := range answer.Parts {
			if part.Target == id {
				count++
			}
		}
	}
	return count
}

var _ = ginkgo.Describe("answers of a target", func() {
	ginkgo.DescribeTable("that are incomplete or don't match the run are dropped, counted and replaced by another replica's",
		func(reason string, unusable bool, send responseFault) {
			proxies := &proxies{faults: map[string]*atomic.Pointer[responseFault]{}}
			withOneEntry(proxies.add, func(expect gomega.Gomega, load *load) {
				defer proxies.close()
				load.sendSteadily(100, time.Second)
				load.reset()
				faulty := load.targetsOfShard(0)[0].Announcement().ID
				before := load.droppedAnswers(expect, reason)
				proxies.faults[faulty].Store(&send)
				load.sendSteadily(100, time.Second)
				time.Sleep(time.Second)
				expect.Expect(load.completeAnswerCount()).To(gomega.Equal(100))
				load.expectMatchingParts(expect)
				expect.Expect(load.droppedAnswers(expect, reason)).To(gomega.BeNumerically(">", before))
				if unusable {
					expect.Expect(load.partsFrom(faulty)).To(gomega.BeZero())
				}
			})
		},
		ginkgo.Entry("truncated, and the connection closed", "truncated", true, responseFault(func(to net.Conn, head, body []byte) bool {
			writeAll(to, head, body[:len(body)/2])
			return false
		})),
		ginkgo.Entry("truncated, with a matching Content-Length", "damaged", true, responseFault(func(to net.Conn, _, body []byte) bool {
			return writeAll(to, responseHead(http.StatusOK, body[:len(body)/2]), body[:len(body)/2])
		})),
		ginkgo.Entry("truncated payload", "damaged", true, rewriteResult(func(result *target.Result) { result.Payload = json.RawMessage(`{}`) })),
		ginkgo.Entry("duplicated at once", "duplicated", false, responseFault(func(to net.Conn, head, body []byte) bool {
			return writeAll(to, head, body, head, body)
		})),
		ginkgo.Entry("crossed", "crossed", false, sendPrevious()),
		ginkgo.Entry("late", "late", true, responseFault(func(to net.Conn, head, body []byte) bool {
			time.Sleep(lateDelay)
			return writeAll(to, head, body)
		})),
		ginkgo.Entry("without end in the status line", "oversized", true, sendWithoutEnd("HTTP/1.1 200 ", "x")),
		ginkgo.Entry("without end in the head", "oversized", true, sendWithoutEnd("HTTP/1.1 200 OK\r\n", "X-More: x\r\n")),
		ginkgo.Entry("without end in the body", "oversized", true, sendWithoutEnd("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x")),
		ginkgo.Entry("of another request ID", "crossed", true, rewriteResult(func(result *target.Result) { result.RequestID = "another" })),
		ginkgo.Entry("of another attempt ID", "crossed", true, rewriteResult(func(result *target.Result) { result.AttemptID = "another" })),
		ginkgo.Entry("of another shard", "crossed", true, rewriteResult(func(result *target.Result) { result.Shard++ })),
		ginkgo.Entry("of another layout", "version", true, rewriteResult(func(result *target.Result) { result.Layout = "layout-9" })),
		ginkgo.Entry("of another index version", "version", true, rewriteResult(func(result *target.Result) { result.IndexVersion++ })),
	)

	ginkgo.It("that are repeated later reach no other request", func() {
		proxies := &proxies{faults: map[string]*atomic.Pointer[responseFault]{}}
		withOneEntry(proxies.add, func(expect gomega.Gomega, load *load) {
			defer proxies.close()
			load.sendSteadily(100, time.Second)
			load.reset()
			send := responseFault(func(to net.Conn, head, body []byte) bool {
				sent := writeAll(to, head, body)
				time.Sleep(runDuration)
				return sent && writeAll(to, head, body)
			})
			proxies.faults[load.targetsOfShard(0)[0].Announcement().ID].Store(&send)
			load.sendSteadily(400, time.Second)
			expect.Expect(load.completeAnswerCount()).To(gomega.Equal(400))
			load.expectMatchingParts(expect)
		})
	})
})

var _ = ginkgo.Describe("a batch from entry to home", func() {
	// sendBatch sends several copies of a batch to a home concurrently, as another
	// entry would, and returns the reports.
	sendBatch := func(load *load, home *tier.Process, batch *entry.Batch, times int) []*entry.Report {
		client := frame.NewClient(home.Settings().PeerAddress, load.network.Dialer("10.0.0.8"))
		defer client.Close()
		reports := make(chan *entry.Report, times)
		for range times {
			load.running.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), batch.Timeout)
				defer cancel()
				_ = frame.Stream(ctx, client, entry.MethodRun, batch, func(report *entry.Report) { reports <- report })
			})
		}
		load.running.Wait()
		close(reports)
		var received []*entry.Report
		for report := range reports {
			received = append(received, report)
		}
		return received
	}

	ginkgo.It("runs once if it is delivered twice, concurrently or later", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			chosen := load.targetsOfShard(0)[0]
			id := caller.NewRequestID(time.Now().Add(time.Minute))
			batch := &entry.Batch{
				RequestID: string(id), Kind: "desk.file", Payload: []byte(`"card"`), Timeout: 300 * time.Millisecond, Layout: "layout-1",
				Attempts: []entry.BatchItem{{AttemptID: "delivered-twice", TargetID: chosen.Announcement().ID, IndexVersion: 1, Reason: "first"}},
			}
			for range 2 {
				for _, home := range load.tier.Entries() {
					expect.Expect(sendBatch(load, home, batch, 2)).To(gomega.HaveLen(2))
				}
				expect.Expect(load.tier.Runs(id)).To(gomega.Equal(1))
			}
		})
	})
})
