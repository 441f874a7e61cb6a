package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// reportTime is the time from an admission to its count at the home, and from a revocation to its
	// arrival at the entries: a batch of reports and a slow link between regions.
	reportTime = 60 * time.Millisecond
)

var (
	allotmentLimits = policy.AllotmentLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

type (
	// allotmentLoad is a flood of one tenant, as entries meet it that admit by credit and report late.
	allotmentLoad struct {
		entries          int
		perSecond, burst float64
		// demand returns how many times the rate is sent at a time since the begin.
		demand func(at time.Duration) float64
		// changeAt is when another home begins to count, and lowerAt when the limit is halved; zero is never.
		changeAt, lowerAt time.Duration
	}

	// credits is what the entries know of one home's bucket.
	credits struct {
		allotment  *policy.Allotment
		credit     []int
		unreported []int
		// pending holds the functions to call at their times, in order.
		pending []pendingCall
	}

	pendingCall struct {
		at   time.Time
		call func()
	}
)

// run replays the load for 40 s and returns the times of the admissions.
func (load *allotmentLoad) run() []time.Time {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(1, uint64(load.perSecond)))
	begin := time.Unix(0, 0)
	perSecond, burst := load.perSecond, load.burst
	known := load.newHome(begin, perSecond, burst)
	var admitted []time.Time
	for at := time.Duration(0); at < 40*time.Second; at += step {
		now := begin.Add(at)
		if load.changeAt > 0 && at == load.changeAt {
			known = load.newHome(now, perSecond, burst)
		}
		if load.lowerAt > 0 && at == load.lowerAt {
			perSecond, burst = perSecond/2, burst/2
			known.allotment.SetLimit(perSecond, burst, &allotmentLimits, now)
		}
		known.deliver(now)
		for arrivals := load.demand(at) * load.perSecond * step.Seconds(); random.Float64() < arrivals; arrivals-- {
			if known.request(random.IntN(load.entries), now) {
				admitted = append(admitted, now)
			}
		}
	}
	return admitted
}

func (load *allotmentLoad) newHome(now time.Time, perSecond, burst float64) *credits {
	known := &credits{allotment: new(policy.Allotment), credit: make([]int, load.entries), unreported: make([]int, load.entries)}
	known.allotment.SetLimit(perSecond, burst, &allotmentLimits, now)
	known.allotment.Start(now)
	return known
}

func (known *credits) deliver(now time.Time) {
	for len(known.pending) > 0 && !known.pending[0].at.After(now) {
		call := known.pending[0].call
		known.pending = known.pending[1:]
		call()
	}
}

func (known *credits) later(now time.Time, call func()) {
	known.pending = append(known.pending, pendingCall{at: now.Add(reportTime), call: call})
}

// request decides on a request at an entry.
func (known *credits) request(entry int, now time.Time) bool {
	granted := known.unreported[entry] < known.credit[entry]
	if granted {
		known.unreported[entry]++
		known.later(now, func() {
			known.unreported[entry]--
			known.allotment.Count(1, now.Add(reportTime))
			known.follow(entry, now.Add(reportTime))
		})
		return true
	}
	granted, _ = known.allotment.Take(now)
	known.follow(entry, now)
	return granted
}

func (known *credits) follow(entry int, now time.Time) {
	known.credit[entry] = known.allotment.Credit(len(known.credit), now)
	if known.credit[entry] == 0 {
		known.later(now, func() {
			if known.allotment.Low(now.Add(reportTime)) {
				clear(known.credit)
			}
		})
	}
}

// mostInWindow returns the greatest number of admissions in a window that begins at from or later.
func mostInWindow(admitted []time.Time, from time.Time) int {
	most, first := 0, 0
	for last, at := range admitted {
		for at.Sub(admitted[first]) >= allotmentLimits.Window || admitted[first].Before(from) && first < last {
			first++
		}
		if !admitted[first].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

func bound(perSecond, burst float64) float64 {
	return perSecond*allotmentLimits.Window.Seconds() + burst + allotmentLimits.Tolerance(perSecond, burst)
}

// Guards against entries that together admit more than a tenant's allotment, because what each knows of the
// bucket is old: 60 to 1,600 entries that see a tenant each in turn, and one that sees all of its requests.
func TestAllotmentBoundsEachWindow(t *testing.T) {
	steady := func(time.Duration) float64 { return 4 }
	flood := func(at time.Duration) float64 {
		if at%(15*time.Second) < 8*time.Second {
			return 0
		}
		return 4
	}
	for _, perSecond := range []float64{0.5, 1.6, 10, 50} {
		for name, load := range map[string]allotmentLoad{
			"spread evenly over 60":    {entries: 60, demand: steady},
			"spread evenly over 1,600": {entries: 1600, demand: steady},
			"all at one":               {entries: 1, demand: steady},
			"idle, then a flood":       {entries: 60, demand: flood},
			"another home in a flood":  {entries: 60, demand: flood, changeAt: 10 * time.Second},
			"lowered limit":            {entries: 60, demand: steady, lowerAt: 20 * time.Second},
		} {
			t.Run(fmt.Sprintf("%s at %v", name, perSecond), func(t *testing.T) {
				load.perSecond, load.burst = perSecond, perSecond
				admitted := load.run()
				if most := mostInWindow(admitted, time.Time{}); float64(most) > bound(perSecond, perSecond) {
					t.Errorf("%d admitted in a window, %v are allowed", most, bound(perSecond, perSecond))
				}
				if load.lowerAt > 0 {
					from := time.Unix(0, 0).Add(load.lowerAt + allotmentLimits.Window)
					if most := mostInWindow(admitted, from); float64(most) > bound(perSecond/2, perSecond/2) {
						t.Errorf("%d admitted in a window after the limit was lowered, %v are allowed", most, bound(perSecond/2, perSecond/2))
					}
				}
				if minimum := int(perSecond * 15); len(admitted) < minimum {
					t.Errorf("%d admitted in 40 s, at least %d expected", len(admitted), minimum)
				}
			})
		}
	}
}

// Guards against a home that fills its bucket at the whole rate, or keeps more than the reserve, while the one
// before it may still grant.
func TestAllotmentGrantsHalfItsRateUntilItIsStarted(t *testing.T) {
	var allotment policy.Allotment
	now := time.Unix(0, 0)
	allotment.SetLimit(10, 10, &allotmentLimits, now)
	granted := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if taken, _ := allotment.Take(now); taken {
			granted++
		}
	}
	// The reserve, and 10 s at half of the rate.
	if expected := int(0.3*allotmentLimits.Tolerance(10, 10) + 0.5*10*10); granted != expected {
		t.Errorf("%d granted, expected %d", granted, expected)
	}
	now = now.Add(time.Minute)
	for granted = 0; ; granted++ {
		if taken, _ := allotment.Take(now); !taken {
			break
		}
	}
	if expected := int(0.3 * allotmentLimits.Tolerance(10, 10)); granted != expected {
		t.Errorf("%d granted after a minute without requests, expected %d", granted, expected)
	}
}

// Guards against entries without a home that together use more than the tolerance.
func TestSeparatePartsOfAnAllotmentFitIntoTheTolerance(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.6, 10, 50, 500} {
		random := rand.New(rand.NewPCG(3, uint64(perSecond)))
		limits := make([]policy.SeparateLimit, 60)
		var admitted []time.Time
		for now := time.Unix(0, 0); now.Before(time.Unix(40, 0)); now = now.Add(20 * time.Millisecond) {
			for index := range limits {
				if taken, _ := limits[index].Take(allotmentLimits.SeparateRate(perSecond, perSecond), len(limits), random.Float64(), now); taken {
					admitted = append(admitted, now)
				}
			}
		}
		if most, allowed := mostInWindow(admitted, time.Time{}), 0.6*allotmentLimits.Tolerance(perSecond, perSecond); float64(most) > allowed {
			t.Errorf("%d admitted in a window at a rate of %v, the other shares leave %v", most, perSecond, allowed)
		}
	}
}

func ExampleAllotment() {
	limits := policy.AllotmentLimits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	var allotment policy.Allotment
	now := time.Unix(0, 0)
	allotment.SetLimit(2, 4, &limits, now) // requests a second, burst
	allotment.Start(now)
	allotment.Count(6, now) // requests that entries admitted by themselves
	fmt.Println(allotment.Take(now))
	fmt.Println(allotment.Take(now))
	fmt.Println(allotment.Take(now.Add(time.Second)))
	// Output:
	// false 290ms
	// false 290ms
	// true 0s
}
