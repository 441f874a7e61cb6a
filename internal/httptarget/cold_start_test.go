package httptarget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	// maximumTransit is how late the late announcements of these tests may arrive. It is shorter than SilenceSpan.
	maximumTransit = 2 * time.Second
)

type (
	// plannedColdStart is a cold start some time after the one before has begun.
	plannedColdStart struct {
		after, span time.Duration
	}

	// coldTarget is a target that becomes cold several times, and what it has told the registries.
	coldTarget struct {
		cluster *cluster

		lock      sync.Mutex
		random    *rand.Rand
		coldUntil time.Time
		// told holds when announcements were acknowledged, with the end of the cold start that they tell, as
		// it is and as it looks to a registry that gets them late.
		told     []toldColdStart
		failures []string
	}

	toldColdStart struct {
		at, coldUntil, latestEnd time.Time
	}
)

// Guards against a target that becomes cold again while it is cold, of which entries hear nothing, so that they send
// requests at the full rate before it is warm (review/13).
func TestLaterColdStartsReachEntries(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		moveAfter, latePings, seed := rapid.IntRange(1, 6).Draw(rapidT, "move"), rapid.SampledFrom([]int{0, 0, 30}).Draw(rapidT, "late"), rapid.Uint64().Draw(rapidT, "seed")
		random := rand.New(rand.NewPCG(seed, 2))
		span := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
		entryAt := span(0, 8*time.Second)
		starts := make([]plannedColdStart, rapid.IntRange(1, 5).Draw(rapidT, "cold starts"))
		for index := range starts {
			starts[index] = plannedColdStart{after: span(50*time.Millisecond, 4*time.Second), span: span(100*time.Millisecond, 4*time.Second)}
		}
		var failures []string
		bubble.Test(t, func(t *testing.T) { failures = runColdStarts(t, starts, moveAfter, latePings, entryAt, seed) })
		if len(failures) > 0 {
			rapidT.Fatalf("cold starts %v, to another registry after %d announcements, %d%% late, entry at %s, seed %d: %s",
				starts, moveAfter, latePings, entryAt, seed, strings.Join(failures, "\n"))
		}
	})
}

// runColdStarts runs a target that announces itself at one registry and, after some announcements, at another one.
func runColdStarts(t *testing.T, starts []plannedColdStart, moveAfter, latePings int, entryAt time.Duration, seed uint64) []string {
	t.Helper()
	target := &coldTarget{cluster: newCluster(t, 2), random: rand.New(rand.NewPCG(seed, 1))}
	defer target.cluster.close()
	revisions := target.cluster.revisions()
	var total time.Duration
	for _, start := range starts {
		total += start.after
	}
	ctx, cancel := context.WithTimeout(context.Background(), total+8*time.Second)
	defer cancel()
	var running sync.WaitGroup
	late := 0
	target.becomeCold(starts[0].span)
	running.Go(func() {
		for index := 1; index < len(starts); index++ {
			time.Sleep(starts[index-1].after)
			target.becomeCold(starts[index].span)
		}
	})
	running.Go(func() { late = target.announce(ctx, moveAfter, latePings) })
	running.Go(func() {
		time.Sleep(entryAt)
		target.cluster.startEntry()
	})
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		target.check()
	}
	running.Wait()
	time.Sleep(maximumTransit)
	// The first announcement at each registry is published, and that the target has left the first one; each later cold start
	// may be, and so may a late announcement.
	if published, most := target.cluster.revisions()-revisions, uint64(2+len(starts)+late); published > most {
		target.failures = append(target.failures, fmt.Sprintf("%d changes were published, at most %d are expected", published, most))
	}
	return target.failures
}

// becomeCold begins a cold start. One within another doesn't end that one earlier.
func (target *coldTarget) becomeCold(span time.Duration) {
	target.lock.Lock()
	defer target.lock.Unlock()
	if until := time.Now().Add(span); until.After(target.coldUntil) {
		target.coldUntil = until
	}
}

// announce announces the target until ctx ends, and returns how many announcements were late.
func (target *coldTarget) announce(ctx context.Context, moveAfter, latePings int) (late int) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		target.lock.Lock()
		transit := time.Duration(target.random.Int64N(int64(50 * time.Millisecond)))
		if sequence > 1 && target.random.IntN(100) < latePings {
			late++
			transit = time.Duration(target.random.Int64N(int64(maximumTransit)))
		}
		coldUntil := target.coldUntil
		target.lock.Unlock()
		record := announcedRecord("t", "10.0.2.1:80", 100, uint64(sequence), StateReady)
		record.ColdFor = max(0, time.Until(coldUntil))
		node := target.cluster.nodes[min(1, sequence/(moveAfter+1))]
		go func() {
			time.Sleep(transit)
			if err := node.api.Announce(context.Background(), &record); err != nil {
				target.cluster.t.Error(err)
			}
			target.lock.Lock()
			defer target.lock.Unlock()
			target.told = append(target.told, toldColdStart{at: time.Now(), coldUntil: coldUntil, latestEnd: time.Now().Add(record.ColdFor)})
		}()
		time.Sleep(pingInterval)
	}
	return late
}

// check checks that entries limit the target while it is cold, and not much longer.
func (target *coldTarget) check() {
	target.lock.Lock()
	defer target.lock.Unlock()
	now := time.Now()
	var coldUntil, warmBy time.Time
	for _, told := range target.told {
		if now.Sub(told.at) >= learnSpan && told.coldUntil.After(coldUntil) {
			coldUntil = told.coldUntil
		}
		if told.latestEnd.After(warmBy) {
			warmBy = told.latestEnd
		}
	}
	for number, entry := range target.cluster.runningEntries() {
		known := entry.directory.Find("t", 100)
		if known == nil {
			continue
		}
		isLimited := known.Limit(coldRate, now).Named()
		if now.Before(coldUntil) && !isLimited {
			target.failures = append(target.failures, fmt.Sprintf("entry %d takes the target for warm %s before it is", number, coldUntil.Sub(now)))
		}
		if now.After(warmBy.Add(warmSlack)) && isLimited {
			target.failures = append(target.failures, fmt.Sprintf("entry %d takes the target for cold %s after it was", number, now.Sub(warmBy)))
		}
	}
}

// revisions returns the number of changes that all registries have published.
func (cluster *cluster) revisions() (revisions uint64) {
	for _, node := range cluster.nodes {
		_, revision, _ := node.runningAPI().registry.changesSince(0)
		revisions += revision
	}
	return revisions
}

// Guards against a second cold start of the length of the first one, which begins just before the second announcement, and of
// which entries hear nothing, because its rest is compared with that of the first announcement (review/13).
func TestSecondColdStartReachesEntries(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1)
		defer cluster.close()
		const span = 3 * time.Second
		for sequence := range uint64(4) {
			record := announcedRecord("t", "10.0.2.1:80", 100, sequence+1, StateReady)
			record.ColdFor = span
			if sequence > 0 {
				record.ColdFor = max(0, span+1100*time.Millisecond-time.Duration(sequence)*pingInterval)
			}
			if err := cluster.nodes[0].api.Announce(context.Background(), &record); err != nil {
				t.Fatal(err)
			}
			if sequence < 3 {
				time.Sleep(pingInterval)
			}
		}
		// 3.6 s have passed, and the target is cold for another 0.5 s.
		if target := cluster.entries[0].directory.Find("t", 100); target == nil || !target.Limit(coldRate, time.Now()).Named() {
			t.Error("the target is taken for warm before it is")
		}
	})
}
