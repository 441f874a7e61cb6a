// One question to one pool: the first attempt, a hedge where it is overdue, and a
// retry where it failed.

package httpcaller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

const (
	// maximumSends bounds the targets that are tried for one question, those
	// that refuse included.
	maximumSends = 4
	// domainRoundTrip, regionRoundTrip and farRoundTrip are what a way within a
	// failure domain, to another one of the region, and to another region is taken
	// to last before it was measured.
	domainRoundTrip = time.Millisecond
	regionRoundTrip = 3 * time.Millisecond
	farRoundTrip    = 25 * time.Millisecond
)

const (
	placeDomain place = "domain"
	placeRegion place = "region"
	placeFar    place = "far"
)

type (
	// place is where a target stands: in the entry's failure domain, elsewhere in
	// its region, or in another one.
	place string

	// ask is one question to one pool.
	ask struct {
		call *call
		pool string
		// repeatable states that the request may run more than once.
		repeatable bool
		// useful is the moment until which an answer is of full use, and final
		// the one after which it is of none.
		useful, final time.Time

		targets    []*httptarget.Target
		candidates []policy.Candidate
		order      []int
		// next is the place in order of the target to try next.
		next int
		// sent counts attempts, arrived those that reached a target or may have,
		// and run those that may have run.
		sent, arrived, run int
		inFlight           int
		outcomes           chan attempted

		lock sync.Mutex
		// sends lists the attempts for the log, and denied states that the budget
		// allowed no further one.
		sends  []send
		denied bool
	}

	// send is one attempt: to whom, when after the request came, and what was
	// expected of the target then.
	send struct {
		target   string
		after    time.Duration
		expected time.Duration
		why      string
	}

	attempted struct {
		target  *httptarget.Target
		outcome httptarget.Outcome
	}

	// answer is what a question came to: a whole answer, or why there is none.
	answer struct {
		pool     string
		target   *httptarget.Target
		answered *httptarget.Answered
		// ran states that a target may have run the request.
		ran     bool
		reason  policy.Reason
		cause   error
		hedged  bool
		retried bool
	}
)

// newAsk prepares a question. Where no target may be asked it has none.
func (call *call) newAsk(pool string, useful time.Duration) *ask {
	final := call.begun.Add(policy.FinalMoment(call.limit))
	ask := &ask{
		call: call, pool: pool, repeatable: !call.route.NeverRepeat,
		useful: call.begun.Add(useful), final: final,
	}
	now := time.Now()
	for _, target := range call.server.directory.Pool(pool) {
		if call.allows(target) {
			ask.targets = append(ask.targets, target)
			ask.candidates = append(ask.candidates, call.server.candidate(target, now))
		}
	}
	ask.order = policy.Rank(ask.candidates, draw(len(ask.candidates)))
	ask.outcomes = make(chan attempted, maximumSends)
	return ask
}

// allows reports whether the tables let a target get requests of this route.
func (call *call) allows(target *httptarget.Target) bool {
	domain := target.FailureDomain()
	if call.indexed.tables.Out(domain) {
		return false
	}
	regions := call.route.HTTP.Regions
	if len(regions) == 0 {
		return true
	}
	for _, region := range regions {
		if call.server.options.Regions[domain] == region {
			return true
		}
	}
	return false
}

func (server *Server) candidate(target *httptarget.Target, now time.Time) policy.Candidate {
	condition := target.Condition(now)
	return policy.Candidate{
		RoundTrip: server.roundTrip(target.FailureDomain()), Slots: condition.Slots, Cold: condition.Cold, Suspect: condition.Suspect, Lost: condition.Lost,
		Measured: condition.Known, Latency: condition.Latency, Usual: condition.Usual, Forgotten: httptarget.Forgotten(condition.Age),
		Running: condition.Running, Oldest: condition.Oldest, Connected: condition.Connected,
	}
}

// place returns where a target of a failure domain stands as seen from this entry.
func (server *Server) place(domain string) place {
	switch {
	case domain == server.options.FailureDomain:
		return placeDomain
	case server.options.Regions[domain] == server.options.Region:
		return placeRegion
	}
	return placeFar
}

func (server *Server) roundTrip(domain string) time.Duration {
	switch server.place(domain) {
	case placeDomain:
		return domainRoundTrip
	case placeRegion:
		return regionRoundTrip
	case placeFar:
	}
	return farRoundTrip
}

// hopeless returns why the question needn't be asked, or zero.
func (ask *ask) hopeless() policy.Reason {
	switch {
	case len(ask.order) == 0:
		return policy.NoTarget
	case !policy.AdmitTarget(&ask.candidates[ask.order[0]], time.Until(ask.final)):
		return policy.NoRoom
	}
	return 0
}

// answer asks until there is an answer, or none is to be had, or ctx ends.
func (ask *ask) answer(ctx context.Context) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := answer{pool: ask.pool, reason: policy.NoRoom}
	if !ask.send(ctx, "first") {
		return result
	}
	hedge := time.NewTimer(ask.hedgeDelay())
	defer hedge.Stop()
	for ask.inFlight > 0 {
		select {
		case <-ctx.Done():
			result.ran, result.cause = true, ctx.Err()
			return result
		case <-hedge.C:
			if ask.maySend() && ask.spend(true) && ask.send(ctx, "hedge") {
				result.hedged = true
			}
		case attempted := <-ask.outcomes:
			ask.inFlight--
			if ask.take(attempted, &result) {
				return result
			}
			if ask.inFlight == 0 && ask.maySend() && ask.spend(false) && ask.send(ctx, "retry") {
				result.retried = true
			}
		}
	}
	result.ran = ask.run > 0
	return result
}

// take judges an outcome and reports whether it ends the question.
func (ask *ask) take(attempted attempted, result *answer) bool {
	result.target = attempted.target
	switch outcome := attempted.outcome.(type) {
	case *httptarget.Answered:
		result.answered = outcome
		ask.call.cleared()
		if outcome.Status < http.StatusInternalServerError || !ask.repeatable {
			return true
		}
		ask.note(attempted.target, "failure", zap.Int("status", outcome.Status))
	case *httptarget.Refused:
		ask.run--
		if outcome.Reason == httptarget.Unreachable || outcome.Reason == httptarget.Busy {
			ask.arrived--
		}
		result.cause = outcome.Cause
		if outcome.Reason == httptarget.Disowned {
			ask.call.server.directory.Disown(attempted.target)
		}
		ask.note(attempted.target, outcome.Reason.String(), because(outcome.Cause))
	case *httptarget.Lost:
		result.cause = outcome.Cause
		ask.note(attempted.target, "lost", because(outcome.Cause))
		ask.call.suspect(attempted.target, outcome)
		if !ask.repeatable {
			result.ran, result.answered = true, nil
			return true
		}
	}
	return false
}

func (ask *ask) note(target *httptarget.Target, outcome string, fields ...zap.Field) {
	ask.call.server.metrics.Outcomes().WithLabelValues(ask.pool, outcome).Inc()
	ask.call.server.journal.attempt(ask.call, target, outcome, ask.sent, fields...)
}

// hedgeDelay returns when a second target is asked.
func (ask *ask) hedgeDelay() time.Duration {
	if !ask.repeatable || ask.next >= len(ask.order) {
		return time.Until(ask.final)
	}
	first, second := &ask.candidates[ask.order[ask.next-1]], &ask.candidates[ask.order[ask.next]]
	return policy.HedgeDelay(first, second, time.Until(ask.useful))
}

// rank puts the targets that were not tried yet in order anew.
func (ask *ask) rank() {
	now := time.Now()
	untried := ask.order[ask.next:]
	candidates := make([]policy.Candidate, len(untried))
	for position, index := range untried {
		ask.candidates[index] = ask.call.server.candidate(ask.targets[index], now)
		candidates[position] = ask.candidates[index]
	}
	ranked := make([]int, len(untried))
	for position, chosen := range policy.Rank(candidates, draw(len(candidates))) {
		ranked[position] = untried[chosen]
	}
	copy(untried, ranked)
}

// maySend reports whether the route allows another attempt.
func (ask *ask) maySend() bool {
	allowed := max(1, ask.call.route.HTTP.MaxAttempts)
	if !ask.repeatable {
		allowed = 1
	}
	return ask.run < allowed && ask.sent < maximumSends && ask.next < len(ask.order) && time.Now().Before(ask.final) && !ask.call.harmful()
}

// spend takes an attempt beyond the first arrival from the pool's budget.
func (ask *ask) spend(hedge bool) bool {
	if ask.arrived == 0 {
		return true
	}
	server := ask.call.server
	if server.budgets.Spend(ask.pool, hedge, server.entries(), server.elapsed()) {
		return true
	}
	ask.lock.Lock()
	ask.denied = true
	ask.lock.Unlock()
	return false
}

// send sends the request to the next target in order.
func (ask *ask) send(ctx context.Context, why string) bool {
	if ask.next >= len(ask.order) {
		return false
	}
	if ask.next > 0 {
		ask.rank()
	}
	server := ask.call.server
	pool := ask.call.indexed.routes.Pool(ask.pool)
	for !ask.targets[ask.order[ask.next]].Admit(time.Now(), server.coldSpan(pool)) {
		if ask.next++; ask.next >= len(ask.order) {
			return false
		}
	}
	target := ask.targets[ask.order[ask.next]]
	ask.lock.Lock()
	ask.sends = append(ask.sends, send{target: target.ID(), after: time.Since(ask.call.begun), expected: ask.candidates[ask.order[ask.next]].Expect(), why: why})
	ask.lock.Unlock()
	ask.next++
	ask.sent++
	ask.arrived++
	ask.run++
	ask.inFlight++
	ask.call.sent.Add(1)
	server.measures.attempt(ask.pool, why)
	limit := server.connectionLimit(pool, target)
	server.workers.run(func() {
		ctx, span := tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
		defer span.End()
		begun := time.Now()
		outcome := server.sender.Send(ctx, target, &ask.call.request, ask.final, limit)
		server.measures.outcome(server.place(target.FailureDomain()), outcome, time.Since(begun))
		ask.outcomes <- attempted{target: target, outcome: outcome}
	})
	return true
}

// String describes the attempts for the log.
func (ask *ask) String() string {
	ask.lock.Lock()
	defer ask.lock.Unlock()
	var text strings.Builder
	text.WriteString(ask.pool)
	for _, send := range ask.sends {
		fmt.Fprintf(&text, " %s:%s@%s~%s", send.why, send.target, send.after.Round(time.Millisecond), send.expected.Round(time.Millisecond))
	}
	if ask.denied {
		text.WriteString(" budget-used-up")
	}
	return text.String()
}
