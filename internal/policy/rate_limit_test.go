package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

// Guards against a bucket that grants more in some span than its rate and a quarter of a second
// of it, whatever the demand.
func TestRateLimitBoundsEachSpan(t *testing.T) {
	for _, perSecond := range []float64{0, 0.1, 1, 7.5, 40, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(perSecond)))
		var rateLimit policy.RateLimit
		start := time.Unix(0, 0)
		now := start
		rateLimit.SetRate(perSecond, now)
		var grantedAt []time.Time
		for now.Sub(start) < 30*time.Second {
			pause := time.Duration(random.ExpFloat64() * float64(2*time.Millisecond))
			if random.IntN(2000) == 0 {
				pause += 3 * time.Second
			}
			now = now.Add(pause)
			if granted, wait := rateLimit.Take(random.IntN(2) == 0, now); granted {
				grantedAt = append(grantedAt, now)
			} else if wait <= 0 {
				t.Fatalf("refused without a wait at a rate of %v", perSecond)
			}
		}
		allowed := max(1, perSecond/4) + 4*max(perSecond, 0.25)
		for first := range grantedAt {
			count := 0
			for _, at := range grantedAt[first:] {
				if at.Sub(grantedAt[first]) < 4*time.Second {
					count++
				}
			}
			if float64(count) > allowed+1e-6 {
				t.Fatalf("%d granted in 4 s at a rate of %v, %v are allowed", count, perSecond, allowed)
			}
		}
	}
}

func TestHedgesLeaveHalfOfTheKeptPermits(t *testing.T) {
	var rateLimit policy.RateLimit
	now := time.Unix(0, 0)
	rateLimit.SetRate(40, now)
	now = now.Add(time.Minute)
	hedges := 0
	for granted := true; granted; hedges++ {
		granted, _ = rateLimit.Take(true, now)
	}
	first, _ := rateLimit.Take(false, now)
	if hedges-1 != 5 || !first {
		t.Errorf("%d hedges of 10 permits were granted, and then a first attempt: %v", hedges-1, first)
	}
}

// Guards against entries without the one that counts a limit, which together send more than their
// part of it, or nothing because the part of each is below one request.
func TestSeparateLimitsStayBelowTheLimitTogether(t *testing.T) {
	const perSecond = 30
	for _, entries := range []int{1, 8, 240, 1600} {
		random := rand.New(rand.NewPCG(2, uint64(entries)))
		limits := make([]policy.SeparateLimit, entries)
		granted := 0
		start := time.Unix(0, 0)
		for now := start; now.Sub(start) < 20*time.Second; now = now.Add(20 * time.Millisecond) {
			for index := range limits {
				if taken, _ := limits[index].Take(perSecond, entries, random.Float64(), now); taken {
					granted++
				}
			}
		}
		if granted < 150 || granted > 330 {
			t.Errorf("%d entries were granted %d in 20 s of a limit of %d a second", entries, granted, perSecond)
		}
	}
}

func ExampleRateLimit() {
	var rateLimit policy.RateLimit
	now := time.Unix(0, 0)
	rateLimit.SetRate(2, now) // requests a second
	fmt.Println(rateLimit.Take(false, now))
	fmt.Println(rateLimit.Take(false, now.Add(500*time.Millisecond)))
	// Output:
	// false 500ms
	// true 0s
}

// Guards against a home that grants the whole limit in the second in which entries have used their separate parts.
func TestRateLimitBeginsAfterSeparateParts(t *testing.T) {
	// All separate parts together are at most this many permits.
	const perSecond, separateMost = 40, 16
	for _, entries := range []int{1, 3, 8, 100} {
		now := time.Now()
		separate := make([]policy.SeparateLimit, entries)
		granted := 0
		for index := range separate {
			for taken := true; taken; {
				if taken, _ = separate[index].Take(perSecond, entries, 0.5, now); taken {
					granted++
				}
			}
		}
		var limit policy.RateLimit
		limit.SetRate(perSecond, now)
		limit.BeginAfter(now, now)
		for end := now.Add(time.Second); now.Before(end); now = now.Add(time.Millisecond) {
			if taken, _ := limit.Take(false, now); taken {
				granted++
			}
		}
		if granted < perSecond-separateMost-1 || granted > perSecond+1 {
			t.Errorf("%d granted in a second over %d entries, %d are allowed", granted, entries, perSecond)
		}
	}
}
