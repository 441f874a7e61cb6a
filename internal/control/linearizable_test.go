package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// controlGroup is a group of control processes on an in-memory network.
	controlGroup struct {
		network   standin.Network
		addresses []string
		disks     []*standin.Disk
		running   []*controlProcess
	}

	controlProcess struct {
		replica *replica.Replica
		server  *frame.Server
		cancel  context.CancelFunc
	}
)

func controlIP(number int) string { return fmt.Sprintf("10.0.%d.1", number) }

func startControlGroup(size int) *controlGroup {
	group := &controlGroup{running: make([]*controlProcess, size)}
	group.network.SetLatency(func(_, _ string) time.Duration { return 5 * time.Millisecond })
	for number := range size {
		group.addresses = append(group.addresses, controlIP(number)+":90")
		group.disks = append(group.disks, &standin.Disk{})
	}
	for number := range size {
		group.start(number)
	}
	return group
}

func (group *controlGroup) start(number int) {
	state, server := &control.State{}, &frame.Server{}
	newReplica := replica.New(replica.Options{
		Name: fmt.Sprintf("control-%d", number), Address: group.addresses[number], Peers: group.addresses,
		Dial: group.network.Dialer(controlIP(number)), Folder: "data", FileSystem: group.disks[number],
	}, state)
	service := control.NewService(newReplica, state)
	service.EnableRollouts(control.RolloutOptions{Limits: policy.RolloutLimits{Share: 0.1, Slack: 50}, Logger: zap.NewNop(), Metrics: metrics.New()})
	service.Register(server)
	newReplica.Register(server)
	listener, err := group.network.Listen(group.addresses[number])
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(listener) }()
	go service.Run(ctx)
	if err := newReplica.Start(); err != nil {
		panic(err)
	}
	group.running[number] = &controlProcess{replica: newReplica, server: server, cancel: cancel}
}

// kill stops a process between two operations of its disk, as a crash does.
func (group *controlGroup) kill(number int) {
	group.disks[number].Crash()
	group.network.Break(controlIP(number))
	stopped := group.running[number]
	stopped.cancel()
	_ = stopped.replica.Stop(context.Background())
	stopped.server.Stop()
	group.running[number] = nil
	group.disks[number].Restart(uint64(number))
}

func (group *controlGroup) stop() {
	for number := range group.running {
		group.kill(number)
	}
}

// runOperator reads and changes the tables as an operator would.
func (history *history) runOperator(group *controlGroup, random *rand.Rand, name string) {
	client := control.NewClient(group.addresses, group.network.Dialer("10.9.0.1"))
	defer client.Close()
	base, sent := uint64(0), operator.Change{}
	for number := range 12 {
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		if random.IntN(2) == 0 {
			if read, err := history.read(client); err == nil {
				base = read.Version
			}
			continue
		}
		// Without an answer, an operator usually sends the same change again.
		if sent.ID == "" || random.IntN(4) == 0 {
			sent = operator.Change{ID: fmt.Sprintf("%s-%d", name, number), Base: base}
		}
		if version, known := history.change(client, &sent); known {
			sent, base = operator.Change{}, max(base, version)
		}
	}
}

func (history *history) read(client *control.Client) (*operator.VersionedTables, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	begin := history.clock.Add(1)
	read, err := client.Tables(ctx, 0)
	if err == nil {
		history.add(operation{id: read.ChangeID, version: read.Version, begin: begin, end: history.clock.Add(1)})
	}
	return read, err
}

func (history *history) change(client *control.Client, change *operator.Change) (version uint64, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	sent := operation{id: change.ID, change: true, base: change.Base, begin: history.clock.Add(1), end: noEnd}
	accepted, err := client.Change(ctx, change)
	var refusal *fault.Error
	switch {
	case err == nil:
		sent.version, sent.end = accepted.Version, history.clock.Add(1)
	case errors.As(err, &refusal) && refusal.Kind == fault.Conflict:
		sent.refused, sent.end = true, history.clock.Add(1)
	}
	history.add(sent)
	return sent.version, sent.end != noEnd
}

// injectFault cuts off or kills a minority of the group for a while, then restores it.
func (group *controlGroup) injectFault(random *rand.Rand) {
	size := len(group.addresses)
	first := random.IntN(size)
	kill := random.IntN(2) == 0
	oneWay := random.IntN(2) == 0
	affected := 1 + random.IntN(size/2)
	forEachLink := func(visit func(from, to string)) {
		for offset := range affected {
			for other := range size {
				affectedIndex := (first + offset) % size
				if affectedIndex != other {
					visit(controlIP(affectedIndex), controlIP(other))
				}
			}
		}
	}
	if kill {
		for offset := range affected {
			group.kill((first + offset) % size)
		}
		time.Sleep(time.Second)
		for offset := range affected {
			group.start((first + offset) % size)
		}
		return
	}
	forEachLink(func(from, to string) {
		group.network.Cut(from, to)
		if !oneWay {
			group.network.Cut(to, from)
		}
	})
	time.Sleep(1500 * time.Millisecond)
	forEachLink(func(from, to string) {
		group.network.Heal(from, to)
		group.network.Heal(to, from)
	})
}

var _ = ginkgo.Describe("the tables of a group of control processes", func() {
	ginkgo.DescribeTable("are linearizable under cuts, kills and restarts", func(size int) {
		accepted, refused, reads, unknown := 0, 0, 0, 0
		for seed := range uint64(8) {
			history := &history{}
			bubble.Run(suite, func(gomega.Gomega) {
				random := rand.New(rand.NewPCG(seed, 5))
				group := startControlGroup(size)
				defer group.stop()
				var operators sync.WaitGroup
				for number := range 4 {
					operators.Go(func() {
						history.runOperator(group, rand.New(rand.NewPCG(seed, uint64(number))), fmt.Sprint("operator-", number))
					})
				}
				for range 5 {
					group.injectFault(random)
					time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
				}
				operators.Wait()
			})
			gomega.Expect(linearizable(history.operations)).To(gomega.BeTrue(), "seed %d:\n%s", seed, history)
			for _, operation := range history.operations {
				switch {
				case !operation.change:
					reads++
				case operation.end == noEnd:
					unknown++
				case operation.refused:
					refused++
				default:
					accepted++
				}
			}
		}
		ginkgo.GinkgoWriter.Println("accepted", accepted, "refused", refused, "reads", reads, "unknown", unknown)
		gomega.Expect(min(accepted, refused, reads, unknown)).To(gomega.BeNumerically(">", 10))
	},
		ginkgo.Entry("of three", 3),
		ginkgo.Entry("of five, with up to two down or cut off", 5),
	)

	ginkgo.DescribeTable("are checked by a function that detects", func(broken operation) {
		whole := []operation{
			{change: true, id: "a", base: 0, version: 1, begin: 1, end: 2},
			{change: true, id: "b", base: 1, version: 2, begin: 3, end: 6},
			{change: true, id: "c", base: 1, refused: true, begin: 4, end: 7},
			{change: true, id: "d", base: 2, begin: 5, end: noEnd},
			{id: "b", version: 2, begin: 8, end: 9},
			{change: true, id: "a", base: 0, version: 1, begin: 10, end: 11},
			{id: "d", version: 3, begin: 12, end: 13},
		}
		gomega.Expect(linearizable(whole)).To(gomega.BeTrue())
		gomega.Expect(linearizable(append(whole, broken))).To(gomega.BeFalse())
	},
		ginkgo.Entry("a stale read", operation{id: "b", version: 2, begin: 14, end: 15}),
		ginkgo.Entry("a read of nothing", operation{begin: 14, end: 15}),
		ginkgo.Entry("a read of what was refused", operation{id: "c", version: 2, begin: 5, end: 7}),
		ginkgo.Entry("a resend that is applied twice", operation{change: true, id: "b", base: 1, version: 4, begin: 14, end: 15}),
		ginkgo.Entry("a resend that is refused", operation{change: true, id: "b", base: 1, refused: true, begin: 14, end: 15}),
		ginkgo.Entry("two winners on one base", operation{change: true, id: "e", base: 1, version: 2, begin: 14, end: 15}),
		ginkgo.Entry("a refusal of the only change on the newest version", operation{change: true, id: "e", base: 3, refused: true, begin: 14, end: 15}),
	)
})
