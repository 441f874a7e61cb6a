// Queries over shards: one target of each is asked, and the greatest records of
// all parts are the answer.

package httpcaller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/policy"
)

type (
	// query is a gathered request in progress.
	query struct {
		call    *call
		shards  []string
		answers chan answer
		// open are the questions without an answer yet, by shard.
		open   map[string]*ask
		parts  [][]byte
		proofs []string
		failed int
		// pending counts the questions whose outcome isn't known yet.
		pending int
		ran     bool
		hedges  int
		retries int
	}
)

// gather asks one target of each shard and answers with what is in at the moment
// that the policy chooses.
func (call *call) gather(writer http.ResponseWriter) {
	gather := call.route.HTTP.Gather
	query := &query{call: call, shards: gather.Pools, answers: make(chan answer, len(gather.Pools)), open: map[string]*ask{}}
	state := &policy.Gathering{
		TargetLatency: call.route.HTTP.TargetLatency.Std(), Limit: call.limit, Shards: len(gather.Pools), MinimumCoverage: gather.MinimumCoverage,
	}
	ctx, cancel := context.WithCancel(call.ctx)
	defer cancel()
	if reason := query.begin(ctx, state); reason != 0 {
		call.refuse(writer, reason)
		return
	}
	verdict := query.wait(state)
	cancel()
	switch {
	case call.ctx.Err() != nil:
		call.leave()
	case verdict == policy.Answer:
		query.respond(writer, state)
	case query.ran || query.pending > 0:
		call.lost(writer, &answer{reason: policy.TooLate, ran: query.ran}, query.fields()...)
	default:
		call.refuse(writer, policy.NoRoom)
	}
}

// begin asks every shard, or returns why the minimum can't be reached.
func (query *query) begin(ctx context.Context, state *policy.Gathering) policy.Reason {
	server := query.call.server
	useful := state.TargetLatency
	if useful <= 0 {
		useful = query.call.limit
	}
	asks := make([]*ask, 0, len(query.shards))
	reason := policy.Reason(0)
	for _, pool := range query.shards {
		server.budgets.Count(pool, server.elapsed())
		ask := query.call.newAsk(pool, useful-policy.ReturnMargin)
		if hopeless := ask.hopeless(); hopeless != 0 {
			query.failed++
			reason = hopeless
			continue
		}
		asks = append(asks, ask)
	}
	state.Failed = query.failed
	if verdict, _ := state.Decide(); verdict == policy.GiveUp {
		return reason
	}
	for _, ask := range asks {
		query.open[ask.pool] = ask
		query.pending++
		server.workers.run(func() { query.answers <- ask.answer(ctx) })
	}
	return 0
}

// wait takes answers in until the policy says otherwise.
func (query *query) wait(state *policy.Gathering) policy.GatherVerdict {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		state.Elapsed, state.In, state.Failed = time.Since(query.call.begun), len(query.parts), query.failed
		verdict, until := state.Decide()
		if verdict != policy.Wait {
			return verdict
		}
		timer.Reset(max(0, until-state.Elapsed))
		select {
		case <-query.call.ctx.Done():
			return policy.GiveUp
		case answer := <-query.answers:
			query.take(&answer)
		case <-timer.C:
		}
	}
}

func (query *query) take(answer *answer) {
	query.pending--
	if answer.hedged {
		query.hedges++
	}
	if answer.retried {
		query.retries++
	}
	answered := answer.answered
	if answered == nil || answered.Status < http.StatusOK || answered.Status >= http.StatusMultipleChoices || answered.Proof == "" {
		query.failed++
		query.ran = query.ran || answer.ran || answered != nil
		return
	}
	delete(query.open, answer.pool)
	query.parts = append(query.parts, answered.Body)
	query.proofs = append(query.proofs, answered.Proof)
	query.ran = true
}

// respond answers with the greatest records of the parts that are in.
func (query *query) respond(writer http.ResponseWriter, state *policy.Gathering) {
	call := query.call
	headers := &call.server.options.Headers
	body := policy.Greatest(query.parts, call.route.HTTP.Gather.Top)
	header := writer.Header()
	header.Set(headers.PartProofs, strings.Join(query.proofs, ", "))
	header.Set(headers.MissingParts, strconv.Itoa(len(query.shards)-len(query.parts)))
	header.Set(headers.RequestID, call.request.ID)
	header.Set("Content-Type", "application/octet-stream")
	call.write(writer, http.StatusOK, body)
	call.server.metrics.Coverage().WithLabelValues(call.route.Kind).Observe(float64(state.In) / float64(state.Shards))
	outcome := outcomeAnswered
	if len(query.parts) < len(query.shards) {
		outcome = outcomePartial
	}
	call.server.measures.request(call, outcome, noReason)
	call.server.journal.gathered(call, query)
}
