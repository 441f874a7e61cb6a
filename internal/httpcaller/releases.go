// The part that rollouts have in a dispatch: which releases get its attempts, and what is seen of them.

package httpcaller

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/internal/rollout"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
)

type (
	// releases is the state of a dispatch that rollouts decide on.
	releases struct {
		// admission is nil if the pool has no rollout.
		admission *rollout.Admission
		// anyFresh is true if the release of a target has just appeared.
		anyFresh bool
		// classes holds the class of each target, or nil if all are usual.
		classes []rollout.Class
		// omitted lists the indices of untried targets that may get no attempt at present.
		omitted []int
	}

	// sending is an attempt as it was chosen: whether its target was in cold start, and its class.
	sending struct {
		target *httptarget.Target
		cold   bool
		class  rollout.Class
	}
)

// arrange moves the untried targets whose release is preferred to the front, and omits those that
// may get no attempt.
func (dispatch *dispatch) arrange() {
	releases := &dispatch.releases
	if dispatch.call.server.options.Rollouts == nil || releases.admission == nil && !releases.anyFresh {
		return
	}
	if releases.classes == nil {
		releases.classes = slices.Repeat([]rollout.Class{rollout.Usual}, len(dispatch.targets))
	}
	now := time.Now()
	untried := dispatch.order[dispatch.next:]
	for _, index := range untried {
		releases.classes[index] = dispatch.class(index, now)
	}
	slices.SortStableFunc(untried, func(left, right int) int { return cmp.Compare(releases.classes[left], releases.classes[right]) })
	kept := len(untried)
	for kept > 0 && dispatch.omits(releases.classes[untried[kept-1]]) {
		kept--
	}
	releases.omitted = append(releases.omitted, untried[kept:]...)
	dispatch.order = dispatch.order[:dispatch.next+kept]
}

// add makes room for a target that is added to those of the dispatch.
func (releases *releases) add(fresh bool) {
	releases.anyFresh = releases.anyFresh || fresh
	if releases.classes != nil {
		releases.classes = append(releases.classes, rollout.Usual)
	}
}

// restoreOmitted makes the omitted targets untried ones again, because the phase of a rollout may
// have changed.
func (dispatch *dispatch) restoreOmitted() {
	dispatch.order = append(dispatch.order, dispatch.releases.omitted...)
	dispatch.releases.omitted = dispatch.releases.omitted[:0]
}

// class returns when a target may get an attempt. A preferred one that isn't expected to answer in
// time takes its place among the others.
func (dispatch *dispatch) class(index int, now time.Time) rollout.Class {
	target, admission := dispatch.targets[index], dispatch.releases.admission
	class := admission.Class(target.Release(), dispatch.attempts == 0)
	switch {
	case class == rollout.Preferred && !policy.AdmitTarget(&dispatch.candidates[index], dispatch.hardDeadline.Sub(now)):
		return rollout.Usual
	case class == rollout.Usual && dispatch.releases.anyFresh && !admission.Names(target.Release()) && target.Condition(now).Fresh:
		return rollout.Held
	}
	return class
}

// omits reports whether untried targets of a class get no attempt.
func (dispatch *dispatch) omits(class rollout.Class) bool {
	switch class {
	case rollout.Held:
		return slices.ContainsFunc(dispatch.releases.classes, func(other rollout.Class) bool { return other < rollout.Held })
	case rollout.LastResort:
		return dispatch.knowsBetter()
	case rollout.Excluded:
		return true
	case rollout.Preferred, rollout.Usual:
	}
	return false
}

// knowsBetter reports whether the directory has targets that go before those of the class LastResort,
// even if they pause at present.
func (dispatch *dispatch) knowsBetter() bool {
	for _, target := range dispatch.call.server.directory.Pool(dispatch.pool) {
		if dispatch.call.isEligible(target) && !target.Leaving() && dispatch.releases.admission.Class(target.Release(), false) < rollout.LastResort {
			return true
		}
	}
	return false
}

func (dispatch *dispatch) newSending(index int) sending {
	sending := sending{target: dispatch.targets[index], cold: dispatch.candidates[index].Cold, class: rollout.Usual}
	if dispatch.releases.classes != nil {
		sending.class = dispatch.releases.classes[index]
	}
	return sending
}

// send sends an attempt and returns its outcome. If the rollout no longer lets the target have it, the
// attempt counts as one without a permit, so that it is made at the next target.
func (dispatch *dispatch) send(ctx context.Context, sending sending, limit int) httptarget.Outcome {
	sender, admission := dispatch.call.server.sender, dispatch.releases.admission
	if admission == nil {
		return sender.Send(ctx, sending.target, &dispatch.call.request, dispatch.hardDeadline, limit)
	}
	if !admission.Spend(sending.target.Release(), sending.class) {
		return &httptarget.Refused{Reason: httptarget.Limited}
	}
	sentAt := time.Now()
	outcome := sender.Send(ctx, sending.target, &dispatch.call.request, dispatch.hardDeadline, limit)
	dispatch.observeRelease(ctx, sending, time.Since(sentAt), outcome)
	return outcome
}

// observeRelease counts what an attempt shows of the target's release. A refusal as not run shows
// nothing: the target or the entry may just have no room.
func (dispatch *dispatch) observeRelease(ctx context.Context, sending sending, elapsed time.Duration, outcome httptarget.Outcome) {
	admission, target, cold := dispatch.releases.admission, sending.target, sending.cold
	release := target.Release()
	locality := string(dispatch.call.server.locality(target.FailureDomain()))
	switch outcome := outcome.(type) {
	case *httptarget.Answered:
		admission.Sent(release)
		admission.Observe(target.ID(), release, locality, cold, elapsed, outcome.Status >= http.StatusInternalServerError)
	case *httptarget.Refused:
		if outcome.Reason == httptarget.Shed || outcome.Reason == httptarget.WrongTarget {
			admission.Sent(release)
		}
	case *httptarget.Lost:
		admission.Sent(release)
		switch {
		case ctx.Err() != nil || tcp.IsTimeout(outcome.Cause) || !time.Now().Before(dispatch.hardDeadline):
			admission.Unanswered(target.ID(), release, locality, cold, elapsed)
		case errors.Is(outcome.Cause, answer.ErrNoMemory):
			// The entry had no memory for the answer.
		default:
			admission.Observe(target.ID(), release, locality, cold, elapsed, true)
		}
	}
}
