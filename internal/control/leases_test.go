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
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	stepInterval = 20 * time.Millisecond
	// convergenceTime is long enough for a call that is delayed at two places, the expiry of a
	// lease and the settling of views.
	convergenceTime = 30 * time.Second
)

type (
	// group is a replicated log whose replicas may freeze before and after each call.
	group struct {
		lock        sync.Mutex
		random      *rand.Rand
		faultsEnded bool
		log         [][]byte
		term        uint64
		leader      int
		leaderSince time.Time
		// featureLevel is the lowest feature level of the replicas as the leader knows it.
		featureLevel     int
		startedProcesses uint64
		replicas         []*fakeReplica
	}

	// step is one randomly drawn step of a run: a fault or a change of the given kind, the number
	// of the replica or process that is subject to it, and the time until the next step.
	step struct {
		kind, subject int
		span          time.Duration
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
	group := &group{random: rand.New(rand.NewPCG(seed, 1)), leader: -1, featureLevel: replica.LevelRollouts}
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
	group.term, group.leader, group.leaderSince = group.term+1, number, time.Now()
	group.replicas[number].applyLog()
}

// currentLeader returns the leader, or -1 if there is none, and whether all faults have ended.
func (group *group) currentLeader() (leader int, faultsEnded bool) {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.leader, group.faultsEnded
}

func (group *group) intn(limit int) int {
	group.lock.Lock()
	defer group.lock.Unlock()
	return group.random.IntN(limit)
}

// delayCall delays a call, sometimes for as long as a frozen VM would.
func (group *group) delayCall() {
	group.lock.Lock()
	span := time.Duration(group.random.IntN(15)) * time.Millisecond
	if !group.faultsEnded && group.random.IntN(40) == 0 {
		span = time.Duration(group.random.IntN(7000)) * time.Millisecond
	}
	group.lock.Unlock()
	time.Sleep(span)
}

// violation checks every pair of processes that may use targets, and describes the first
// conflict. It returns "" if there is none.
func violation(processes []*process, claimedInForce uint64) string {
	now := time.Now()
	for _, process := range processes {
		process.lock.Lock()
		defer process.lock.Unlock()
	}
	for _, observer := range processes {
		if !observer.mayUseTargets(now) {
			continue
		}
		if observer.tablesVersion < claimedInForce {
			return fmt.Sprintf("version %d is claimed to be in force, but %v acts on %d", claimedInForce, observer.member, observer.tablesVersion)
		}
		for _, other := range processes {
			if !other.mayUseTargets(now) {
				continue
			}
			if observer.settledView > other.releasedView {
				return fmt.Sprintf("%v takes view %d as settled, but %v acts on view %d", observer.member, observer.settledView, other.member, other.releasedView)
			}
			if _, present := observer.view.Member(other.member.ID); !present && other.releasedView < observer.view.Number {
				return fmt.Sprintf("%v takes over by view %d from %v, which acts on view %d", observer.member, observer.view.Number, other.member, other.releasedView)
			}
		}
	}
	return ""
}

// claimedInForceVersion asks a replica which version of the tables is in force everywhere.
func (group *group) claimedInForceVersion() uint64 {
	status, err := group.replicas[group.intn(3)].service.status(context.Background(), &StatusRequest{})
	if err != nil {
		return 0
	}
	return status.InForceVersion
}

func (group *group) change(number int) {
	leader, _ := group.currentLeader()
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

// run runs the drawn steps and describes the first violation. It returns "" if there is none.
func (group *group) run(steps []step) string {
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
		chosen := processes[step.subject%len(processes)]
		switch step.kind {
		case 0:
			group.elect(step.subject % 3)
		case 1:
			chosen.lock.Lock()
			chosen.frozenUntil = time.Now().Add(step.span * 8)
			chosen.lock.Unlock()
		case 2:
			// The old process keeps running, as if it had been cut off.
			processes = append(processes, group.start(ctx, step.subject%5))
		case 3:
			chosen.leave()
			processes = append(processes, group.start(ctx, step.subject%5))
		case 4:
			go group.change(number)
		case 5:
			chosen.lock.Lock()
			chosen.member.Stopping = !chosen.member.Stopping
			chosen.lock.Unlock()
		}
		for end := time.Now().Add(step.span); time.Now().Before(end); time.Sleep(stepInterval) {
			if failure := violation(processes, 0); failure != "" {
				return fmt.Sprintf("step %d: %s", number, failure)
			}
		}
		if failure := violation(processes, group.claimedInForceVersion()); failure != "" {
			return fmt.Sprintf("step %d: %s", number, failure)
		}
	}
	return group.checkConvergence(processes)
}

// checkConvergence ends all faults and checks that the view then contains exactly the running
// processes, and that all of them have the view as settled.
func (group *group) checkConvergence(processes []*process) string {
	group.lock.Lock()
	group.faultsEnded = true
	group.lock.Unlock()
	group.elect(0)
	for _, process := range processes {
		process.lock.Lock()
		process.frozenUntil = time.Time{}
		process.lock.Unlock()
	}
	time.Sleep(convergenceTime)
	view := group.replicas[0].state.View()
	var expected, got []string
	for _, process := range processes {
		process.lock.Lock()
		if process.mayUseTargets(time.Now()) {
			expected = append(expected, fmt.Sprint(process.member))
			if process.settledView != view.Number {
				expected = append(expected, fmt.Sprintf("%v at view %d, settled %d", process.member, process.view.Number, process.settledView))
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
		return fmt.Sprintf("after all faults have ended, view %d contains %v, but the active processes are %v; lease holders: %v", view.Number, got, expected, group.replicas[0].service.describeHolders())
	}
	return ""
}

func TestLeaseDecisionsAreSafeUnderFaults(t *testing.T) {
	rapid.Check(t, func(t2 *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				kind: rapid.IntRange(0, 7).Draw(t, "kind"), subject: rapid.IntRange(0, 30).Draw(t, "who"),
				span: time.Duration(rapid.IntRange(20, 1500).Draw(t, "span")) * time.Millisecond,
			}
		}), 1, 30).Draw(t2, "steps")
		seed := rapid.Uint64().Draw(t2, "seed")
		var failure string
		bubble.Test(t, func(*testing.T) {
			failure = newGroup(seed).run(steps)
			time.Sleep(time.Minute)
		})
		if failure != "" {
			t2.Fatal(failure)
		}
	})
}
