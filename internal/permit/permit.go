// Package permit counts the requests that all entries together send to a target with a rate limit.
// The home of a target grants a permit for each request; the other entries ask it. It also counts the
// requests of tenants against their allotments, at one home for each tenant.
package permit

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/internal/metrics"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// MethodAcquire is the peer method that asks the home of a target for a permit.
	MethodAcquire = "permit.acquire"

	// acquireTimeout bounds a call: several round trips between regions.
	acquireTimeout = 100 * time.Millisecond
	// homeRetryDelay is how long after a failed call a home isn't asked again.
	homeRetryDelay = 500 * time.Millisecond
	// retentionSpan is how long the count of a target is kept after the latest demand.
	retentionSpan = 30 * time.Second
	// maximumPerSecond is the highest rate in a message that is taken for one.
	maximumPerSecond = 1e6

	// Results of a demand, as label values.
	resultGranted  = "granted"
	resultRefused  = "refused"
	separateSuffix = "_separately"
)

var (
	errNotHome = errors.New("this entry is not the target's home")
)

type (
	// Demand asks for a permit to send one request to a target.
	Demand struct {
		TargetID      string `msgpack:"t"`
		FailureDomain string `msgpack:"f"`
		// PerSecond is the limit as the asking entry knows it, and Age the time since it heard of it.
		PerSecond float64       `msgpack:"p"`
		Age       time.Duration `msgpack:"a"`
		Hedge     bool          `msgpack:"h,omitempty"`
		// Burst is the number of unused permits that are kept; 0 means those of a short time. The
		// count begins with the permits of the time for which the home has run.
		Burst float64 `msgpack:"b,omitempty"`
	}

	// Decision is the reply to a Demand.
	Decision struct {
		Granted bool `msgpack:"g"`
		// Wait is the time until the next permit, if none was granted.
		Wait time.Duration `msgpack:"w,omitempty"`
		// NotHome is true if the asked entry is not the target's home.
		NotHome bool `msgpack:"n,omitempty"`
	}

	// Permits grants the permits of the targets whose home this entry is, and asks the other homes
	// for theirs. Construct it with New.
	Permits struct {
		self   string
		board  *blackboard.Board
		client func(address string) *frame.Client
		logger *zap.Logger
		// sampled is for lines that come with requests.
		sampled   *zap.Logger
		counts    *prometheus.CounterVec
		createdAt time.Time

		lock sync.Mutex
		// granted counts the permits of all entries by target, where this entry is the target's
		// home, and separate those of this entry alone, where the home can't be asked.
		granted  map[string]*count
		separate map[string]*policy.SeparateLimit
		// avoidUntil holds the homes that didn't reply, by peer address.
		avoidUntil map[string]time.Time
		sweptAt    time.Time

		// limits is nil if the allotments of tenants aren't enforced.
		limits       *policy.AllotmentLimits
		confirmation confirmation
		allotments   *prometheus.CounterVec
		// accounts counts the requests of all entries by tenant, where this entry is the tenant's home, under
		// the view and the tables with these numbers; unstarted of them may not fill yet.
		accounts      map[string]*account
		viewNumber    uint64
		tablesVersion uint64
		unstarted     int
		// order is that of the last reply or revocation.
		order uint64
		// usages holds what this entry knows of tenants, by name, and links of homes, by peer address.
		usages map[string]*usage
		links  map[string]*homeLink
	}

	// count is the state of one target's limit.
	count struct {
		limit policy.RateLimit
		// heardAt is when the limit was heard of, and askedAt when a permit was last wanted.
		heardAt, askedAt time.Time
	}
)

// New returns the permits of the entry with the given ID. The client function returns the client
// of the entry at a peer address.
func New(self string, board *blackboard.Board, client func(address string) *frame.Client, logger *zap.Logger, metrics *metrics.Metrics) *Permits {
	return &Permits{
		self: self, board: board, client: client, logger: logger, sampled: metrics.Sample(logger), counts: metrics.Permits(), createdAt: time.Now(),
		granted: map[string]*count{}, separate: map[string]*policy.SeparateLimit{}, avoidUntil: map[string]time.Time{},
		allotments: metrics.Allotments(), accounts: map[string]*account{}, usages: map[string]*usage{}, links: map[string]*homeLink{},
		// Orders of a process have to be above those of the one before it.
		order: uint64(time.Now().UnixNano()),
	}
}

// Register adds the peer methods by which other entries ask for permits.
func (permits *Permits) Register(server *frame.Server) {
	permits.registerAllotments(server)
	frame.Handle(server, MethodAcquire, func(_ context.Context, demand *Demand) (*Decision, error) {
		decision := permits.decide(demand)
		return &decision, nil
	})
}

// Acquire reports whether a request may be sent to a target now, and otherwise for how long none
// can. It asks the target's home. If the home can't be asked, this entry uses its own part of the
// limit, which all entries can use together without exceeding it.
func (permits *Permits) Acquire(ctx context.Context, demand *Demand) (granted bool, wait time.Duration) {
	decision, err := permits.ask(ctx, demand)
	suffix := ""
	if err != nil {
		if ctx.Err() != nil {
			return false, 0
		}
		suffix = separateSuffix
		decision = permits.decideSeparately(demand)
	}
	result := resultRefused
	if decision.Granted {
		result = resultGranted
	}
	permits.counts.WithLabelValues(result + suffix).Inc()
	return decision.Granted, decision.Wait
}

// ask returns the decision of the target's home.
func (permits *Permits) ask(ctx context.Context, demand *Demand) (Decision, error) {
	home, found := permits.board.Membership().Placement().Home(demand.TargetID, demand.FailureDomain)
	if !found {
		return Decision{}, errNotHome
	}
	if home.ID == permits.self {
		decision := permits.decide(demand)
		if decision.NotHome {
			return Decision{}, errNotHome
		}
		return decision, nil
	}
	if permits.avoids(home.PeerAddress) {
		return Decision{}, frame.ErrNotSent
	}
	callContext, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	decision, err := frame.Call[Demand, Decision](callContext, permits.client(home.PeerAddress), MethodAcquire, demand)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			permits.avoid(&home, demand, err)
		}
		return Decision{}, err
	case decision.NotHome:
		return Decision{}, errNotHome
	}
	return *decision, nil
}

// decide grants or refuses a permit for a target whose home this entry is. An entry without a lease
// doesn't know whether it still is, and until its view is settled another entry may be.
func (permits *Permits) decide(demand *Demand) Decision {
	if !permits.board.Membership().MayUse(permits.self, demand.TargetID, demand.FailureDomain) || permits.board.InForce().Fenced() || !isRate(demand.PerSecond) || !isRate(demand.Burst) {
		return Decision{NotHome: true}
	}
	return permits.take(demand)
}

// decideSeparately grants or refuses a permit from this entry's own part of the limit.
func (permits *Permits) decideSeparately(demand *Demand) Decision {
	entries := len(permits.board.Membership().View().Members)
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	permits.sweep(now)
	separate := permits.separate[demand.TargetID]
	if separate == nil {
		separate = new(policy.SeparateLimit)
		permits.separate[demand.TargetID] = separate
	}
	granted, wait := separate.Take(demand.PerSecond, entries, rand.Float64(), now)
	return Decision{Granted: granted, Wait: wait}
}

// take takes a permit from the count of all entries. The rate that was heard of last applies.
func (permits *Permits) take(demand *Demand) Decision {
	permits.lock.Lock()
	defer permits.lock.Unlock()
	now := time.Now()
	permits.sweep(now)
	counted := permits.granted[demand.TargetID]
	if counted == nil {
		counted = new(count)
		permits.granted[demand.TargetID] = counted
		if demand.Burst > 0 {
			counted.limit.SetRate(demand.PerSecond, now)
			counted.limit.SetBurst(demand.Burst)
			counted.limit.Credit(now.Sub(permits.createdAt))
		} else {
			counted.limit.SetRate(demand.PerSecond, now)
			counted.limit.BeginAfter(permits.board.Membership().ChangedAt(), now)
		}
	}
	if heardAt := now.Add(-max(0, demand.Age)); !heardAt.Before(counted.heardAt) {
		counted.limit.SetRate(demand.PerSecond, now)
		counted.heardAt = heardAt
	}
	counted.askedAt = now
	granted, wait := counted.limit.Take(demand.Hedge, now)
	return Decision{Granted: granted, Wait: wait}
}

// sweep removes the counts of targets that no entry has asked for lately. The lock must be held.
func (permits *Permits) sweep(now time.Time) {
	if now.Sub(permits.sweptAt) < retentionSpan {
		return
	}
	permits.sweptAt = now
	for id, counted := range permits.granted {
		if now.Sub(counted.askedAt) >= retentionSpan {
			delete(permits.granted, id)
		}
	}
	for id, separate := range permits.separate {
		if separate.Expired(now) {
			delete(permits.separate, id)
		}
	}
	for address, until := range permits.avoidUntil {
		if now.After(until) {
			delete(permits.avoidUntil, address)
		}
	}
	permits.sweepAllotments(now)
}

func (permits *Permits) avoids(address string) bool {
	permits.lock.Lock()
	defer permits.lock.Unlock()
	return time.Now().Before(permits.avoidUntil[address])
}

// avoid records that a home didn't reply.
func (permits *Permits) avoid(home *membership.Member, demand *Demand, cause error) {
	permits.lock.Lock()
	permits.avoidUntil[home.PeerAddress] = time.Now().Add(homeRetryDelay)
	permits.lock.Unlock()
	permits.sampled.Warn("home of a limited target doesn't grant permits; using this entry's own part of the limit",
		zap.String("home", home.ID), zap.String("target", demand.TargetID), zap.Float64("per_second", demand.PerSecond), zap.Error(cause))
}

func isRate(perSecond float64) bool {
	return !math.IsNaN(perSecond) && perSecond >= 0 && perSecond <= maximumPerSecond
}
