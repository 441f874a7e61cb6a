package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	stepInterval = 20 * time.Millisecond
	// quietSpan is enough for calls held at two places, a lease and the
	// settling of views.
	quietSpan = 30 * time.Second
)

type (
	// group is a log whose replicas may be frozen before and after each call.
	group struct {
		lock     sync.Mutex
		random   *rand.Rand
		calm     bool
		log      [][]byte
		term     uint64
		leader   int
		since    time.Time
		started  uint64
		replicas []*fakeReplica
	}

	// step is one drawn step of a run.
	step struct {
		kind, who int
		span      time.Duration
	}
)

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

func newGroup(seed uint64) *group {
	group := &group{random: rand.New(rand.NewPCG(seed, 1)), leader: -1}
	for number := range 3 {
		fake := &fakeReplica{group: group, number: number, state: &State{}}
		fake.service = NewService(fake, fake.state)
		group.replicas = append(group.replicas, fake)
	}
	return group
}

func (group *group) elect(number int) {
	group.lock.Lock()
	defer group.lock.Unlock()
	group.term, group.leader, group.since = group.term+1, number, time.Now()
	group.replicas[number].catchUp()
}

// present returns the leader, below 0 where there is none, and whether all
// faults have ended.
func (group *group) present() (leader int, calm bool) {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.leader, group.calm
}

func (group *group) intn(most int) int {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.random.IntN(most)
}

// hold delays a call, at times for as long as a frozen VM does.
func (group *group) hold() {
	group.lock.Lock()
	span := time.Duration(group.random.IntN(15)) * time.Millisecond
	if !group.calm && group.random.IntN(40) == 0 {
		span = time.Duration(group.random.IntN(7000)) * time.Millisecond
	}
	group.lock.Unlock()
	time.Sleep(span)
}

// violation compares all pairs of processes that act.
func violation(processes []*process, claimed uint64) string {
	now := time.Now()
	for _, process := range processes {
		process.lock.Lock()
		defer process.lock.Unlock()
	}
	for _, sure := range processes {
		if !sure.acts(now) {
			continue
		}
		if sure.version < claimed {
			return fmt.Sprintf("version %d is claimed to be in force, but %v acts on %d", claimed, sure.member, sure.version)
		}
		for _, other := range processes {
			if !other.acts(now) {
				continue
			}
			if sure.settled > other.yielded {
				return fmt.Sprintf("%v takes view %d as settled, but %v acts on view %d", sure.member, sure.settled, other.member, other.yielded)
			}
			if _, present := sure.view.Member(other.member.ID); !present && other.yielded < sure.view.Number {
				return fmt.Sprintf("%v takes over by view %d from %v, which acts on view %d", sure.member, sure.view.Number, other.member, other.yielded)
			}
		}
	}
	return ""
}

// claim asks a replica which version is in force everywhere.
func (group *group) claim() uint64 {
	status, err := group.replicas[group.intn(3)].service.status(context.Background(), &StatusRequest{})
	if err != nil {
		return 0
	}
	return status.InForceVersion
}

func (group *group) change(number int) {
	leader, _ := group.present()
	service := group.replicas[max(0, leader)].service
	_, _ = service.change(context.Background(), &operator.Change{ID: fmt.Sprint(number), Base: service.state.Newest().Version})
}

func (service *Service) describeHolders() (described []string) {
	service.lock.Lock()
	defer service.lock.Unlock()
	for key, holder := range service.tenure.holders {
		described = append(described, fmt.Sprintf("%v %+v", key, *holder))
	}
	return described
}

// play runs the drawn steps and returns the first broken promise.
func (group *group) play(steps []step) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, fake := range group.replicas {
		go fake.service.Run(ctx)
	}
	group.elect(0)
	var processes []*process
	for number := range 5 {
		processes = append(processes, group.start(ctx, number))
	}
	defer func() {
		for _, process := range processes {
			process.leave()
		}
	}()
	for number, step := range steps {
		target := processes[step.who%len(processes)]
		switch step.kind {
		case 0:
			group.elect(step.who % 3)
		case 1:
			target.lock.Lock()
			target.frozen = time.Now().Add(step.span * 8)
			target.lock.Unlock()
		case 2:
			// The old process goes on, as one that was cut off does.
			processes = append(processes, group.start(ctx, step.who%5))
		case 3:
			target.leave()
			processes = append(processes, group.start(ctx, step.who%5))
		case 4:
			go group.change(number)
		case 5:
			target.lock.Lock()
			target.member.Stopping = !target.member.Stopping
			target.lock.Unlock()
		}
		for end := time.Now().Add(step.span); time.Now().Before(end); time.Sleep(stepInterval) {
			if broken := violation(processes, 0); broken != "" {
				return fmt.Sprintf("step %d: %s", number, broken)
			}
		}
		if broken := violation(processes, group.claim()); broken != "" {
			return fmt.Sprintf("step %d: %s", number, broken)
		}
	}
	return group.settle(processes)
}

// settle lets all faults end and expects that the view holds exactly the
// processes that run and that all of them take it as settled.
func (group *group) settle(processes []*process) string {
	group.lock.Lock()
	group.calm = true
	group.lock.Unlock()
	group.elect(0)
	for _, process := range processes {
		process.lock.Lock()
		process.frozen = time.Time{}
		process.lock.Unlock()
	}
	time.Sleep(quietSpan)
	view := group.replicas[0].state.View()
	var expected, got []string
	for _, process := range processes {
		process.lock.Lock()
		if process.acts(time.Now()) {
			expected = append(expected, fmt.Sprint(process.member))
			if process.settled != view.Number {
				expected = append(expected, fmt.Sprintf("%v at view %d, settled %d", process.member, process.view.Number, process.settled))
			}
		}
		process.lock.Unlock()
	}
	for _, member := range view.Members {
		got = append(got, fmt.Sprint(member))
	}
	slices.Sort(expected)
	slices.Sort(got)
	if !slices.Equal(expected, got) {
		return fmt.Sprintf("after all faults the view %d holds %v, but these act: %v; holders %v", view.Number, got, expected, group.replicas[0].service.describeHolders())
	}
	return ""
}

func TestNoConclusionFromLeasesIsEverWrong(t *testing.T) {
	rapid.Check(t, func(t2 *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				kind: rapid.IntRange(0, 7).Draw(t, "kind"), who: rapid.IntRange(0, 30).Draw(t, "who"),
				span: time.Duration(rapid.IntRange(20, 1500).Draw(t, "span")) * time.Millisecond,
			}
		}), 1, 30).Draw(t2, "steps")
		seed := rapid.Uint64().Draw(t2, "seed")
		var broken string
		bubble.Test(t, func(*testing.T) {
			broken = newGroup(seed).play(steps)
			time.Sleep(time.Minute)
		})
		if broken != "" {
			t2.Fatal(broken)
		}
	})
}
