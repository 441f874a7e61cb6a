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
	// proxyPort is the port at which a proxy stands before its target.
	proxyPort = "81"
	// lateBy is beyond any hedge and within the timeout.
	lateBy = 150 * time.Millisecond
)

type (
	// tamper sends a response to a run in place of the target. It returns
	// false where the connection is to be closed.
	tamper func(to net.Conn, head, body []byte) bool

	// proxies stand before targets and pass on what they don't tamper with.
	proxies struct {
		listeners []net.Listener
		// tampers holds a tamper for each target ID.
		tampers map[string]*atomic.Pointer[tamper]
	}
)

var droppedLine = regexp.MustCompile(`comfreythread_dropped_answers_total\{reason="([a-z]+)"\} ([0-9]+)`)

// stand puts a proxy before a target that is about to start.
func (proxies *proxies) stand(network *standin.Network, announcement *target.Announcement) {
	behind := announcement.Address
	ip, _, _ := net.SplitHostPort(behind)
	announcement.Address = net.JoinHostPort(ip, proxyPort)
	listener, err := network.Listen(announcement.Address)
	if err != nil {
		panic(err)
	}
	proxies.listeners = append(proxies.listeners, listener)
	chosen := new(atomic.Pointer[tamper])
	proxies.tampers[announcement.ID] = chosen
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go pass(accepted, network.Dialer(ip), behind, chosen)
		}
	}()
}

func (proxies *proxies) close() {
	for _, listener := range proxies.listeners {
		_ = listener.Close()
	}
}

func pass(from net.Conn, dial tcp.Dialer, behind string, chosen *atomic.Pointer[tamper]) {
	defer func() { _ = from.Close() }()
	to, err := dial(context.Background(), "tcp", behind)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	requests, responses := bufio.NewReader(from), bufio.NewReader(to)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil || request.Write(to) != nil {
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
		send := chosen.Load()
		if send == nil || request.URL.Path != target.RunPath {
			send = &plain
		}
		if !(*send)(from, headOf(response.StatusCode, body), body) {
			return
		}
	}
}

var plain tamper = func(to net.Conn, head, body []byte) bool {
	return write(to, head, body)
}

func headOf(status int, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(body))
}

func write(to net.Conn, parts ...[]byte) bool {
	_, err := to.Write(bytes.Join(parts, nil))
	return err == nil
}

// rewrite changes the result in a response and keeps the response whole.
func rewrite(change func(result *target.Result)) tamper {
	return func(to net.Conn, head, body []byte) bool {
		var result target.Result
		if json.Unmarshal(body, &result) != nil || result.Checksum == 0 {
			return write(to, head, body)
		}
		change(&result)
		changed, _ := json.Marshal(&result)
		return write(to, headOf(http.StatusOK, changed), changed)
	}
}

// crossed sends each response in place of the next one.
func crossed() tamper {
	var before atomic.Pointer[[]byte]
	return func(to net.Conn, head, body []byte) bool {
		whole := slices.Concat(head, body)
		if earlier := before.Swap(&whole); earlier != nil {
			return write(to, *earlier)
		}
		return write(to, whole)
	}
}

// dropped sums over the entries how many answers were dropped for a reason.
func (load *load) dropped(expect gomega.Gomega, reason string) int {
	sum := 0
	client := http.Client{Transport: &http.Transport{DialContext: load.network.Dialer("10.0.0.9"), DisableKeepAlives: true}}
	for _, process := range load.tier.Entries() {
		response, err := client.Get("http://" + process.Settings().HTTPAddress + "/metrics")
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		expect.Expect(err).NotTo(gomega.HaveOccurred())
		for _, match := range droppedLine.FindAllSubmatch(text, -1) {
			if string(match[1]) == reason {
				count, _ := strconv.Atoi(string(match[2]))
				sum += count
			}
		}
	}
	return sum
}

// expectOwn checks that each part of each answer was made for its request.
func (load *load) expectOwn(expect gomega.Gomega) {
	for _, answer := range load.answers {
		for _, part := range answer.Parts {
			var lines standin.Lines
			expect.Expect(json.Unmarshal(part.Payload, &lines)).To(gomega.Succeed())
			expect.Expect(lines.RequestID).To(gomega.Equal(string(answer.RequestID)))
			expect.Expect(lines.Target).To(gomega.Equal(part.Target))
			expect.Expect(lines.Shard).To(gomega.Equal(part.Shard))
		}
	}
}

// partsOf counts the delivered parts that came from a target.
func (load *load) partsOf(id string) int {
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
	ginkgo.DescribeTable("that aren't the whole answer to the run are dropped, counted and replaced by another replica's",
		func(reason string, spoils bool, send tamper) {
			proxies := &proxies{tampers: map[string]*atomic.Pointer[tamper]{}}
			withOneEntry(proxies.stand, func(expect gomega.Gomega, load *load) {
				defer proxies.close()
				load.steady(100, time.Second)
				load.reset()
				tampered := load.byShard(0)[0].Announcement().ID
				before := load.dropped(expect, reason)
				proxies.tampers[tampered].Store(&send)
				load.steady(100, time.Second)
				time.Sleep(time.Second)
				expect.Expect(load.complete()).To(gomega.Equal(100))
				load.expectOwn(expect)
				expect.Expect(load.dropped(expect, reason)).To(gomega.BeNumerically(">", before))
				if spoils {
					expect.Expect(load.partsOf(tampered)).To(gomega.BeZero())
				}
			})
		},
		ginkgo.Entry("truncated, and the connection closed", "truncated", true, tamper(func(to net.Conn, head, body []byte) bool {
			write(to, head, body[:len(body)/2])
			return false
		})),
		ginkgo.Entry("truncated, with a length that fits", "damaged", true, tamper(func(to net.Conn, _, body []byte) bool {
			return write(to, headOf(http.StatusOK, body[:len(body)/2]), body[:len(body)/2])
		})),
		ginkgo.Entry("truncated payload", "damaged", true, rewrite(func(result *target.Result) { result.Payload = json.RawMessage(`{}`) })),
		ginkgo.Entry("duplicated at once", "duplicated", false, tamper(func(to net.Conn, head, body []byte) bool {
			return write(to, head, body, head, body)
		})),
		ginkgo.Entry("crossed", "crossed", false, crossed()),
		ginkgo.Entry("late", "late", true, tamper(func(to net.Conn, head, body []byte) bool {
			time.Sleep(lateBy)
			return write(to, head, body)
		})),
		ginkgo.Entry("of another request ID", "crossed", true, rewrite(func(result *target.Result) { result.RequestID = "another" })),
		ginkgo.Entry("of another attempt ID", "crossed", true, rewrite(func(result *target.Result) { result.AttemptID = "another" })),
		ginkgo.Entry("of another shard", "crossed", true, rewrite(func(result *target.Result) { result.Shard++ })),
		ginkgo.Entry("of another layout", "version", true, rewrite(func(result *target.Result) { result.Layout = "layout-9" })),
		ginkgo.Entry("of another index version", "version", true, rewrite(func(result *target.Result) { result.IndexVersion++ })),
	)

	ginkgo.It("that come again a while later reach no other request", func() {
		proxies := &proxies{tampers: map[string]*atomic.Pointer[tamper]{}}
		withOneEntry(proxies.stand, func(expect gomega.Gomega, load *load) {
			defer proxies.close()
			load.steady(100, time.Second)
			load.reset()
			send := tamper(func(to net.Conn, head, body []byte) bool {
				sent := write(to, head, body)
				time.Sleep(work)
				return sent && write(to, head, body)
			})
			proxies.tampers[load.byShard(0)[0].Announcement().ID].Store(&send)
			load.steady(400, time.Second)
			expect.Expect(load.complete()).To(gomega.Equal(400))
			load.expectOwn(expect)
		})
	})
})

var _ = ginkgo.Describe("a batch from entry to home", func() {
	// deliver sends a batch to the home of a target as another entry does, so
	// many times at once.
	deliver := func(load *load, home *tier.Process, batch *entry.Batch, times int) []*entry.Report {
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

	ginkgo.It("runs once where it is delivered twice, at the same time or later", func() {
		withTier(func(expect gomega.Gomega, load *load) {
			chosen := load.byShard(0)[0]
			id := caller.NewRequestID(time.Now().Add(time.Minute))
			batch := &entry.Batch{
				RequestID: string(id), Kind: "desk.file", Payload: []byte(`"card"`), Timeout: 300 * time.Millisecond, Layout: "layout-1",
				Attempts: []entry.BatchItem{{AttemptID: "delivered-twice", TargetID: chosen.Announcement().ID, IndexVersion: 1, Why: "first"}},
			}
			for range 2 {
				for _, home := range load.tier.Entries() {
					expect.Expect(deliver(load, home, batch, 2)).To(gomega.HaveLen(2))
				}
				expect.Expect(load.tier.Runs(id)).To(gomega.Equal(1))
			}
		})
	})
})
