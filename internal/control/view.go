// The view of entries changes by small edits. Recent edits are kept, so that entries can
// receive the changes in place of the whole view.

package control

import (
	"fmt"
	"slices"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumRecentEdits is the maximum number of edits that are kept to compute deltas.
	maximumRecentEdits = 256
	// maximumFailureDomains is the maximum number of failure domains that are stored.
	maximumFailureDomains = 1024
)

type (
	// viewData holds the newest view and what is needed to check and to apply edits of it.
	viewData struct {
		View membership.View `msgpack:"v"`
		// FailureDomains are the failure domains of all members that were ever in the view.
		FailureDomains []string `msgpack:"f"`
		// Term is the newest term in which a leader has begun its tenure. Members are removed
		// only by that leader.
		Term uint64 `msgpack:"t"`
		// recentEdits are the newest edits, in order. They aren't part of a snapshot: after a
		// restore, entries get whole views until new edits have been made.
		recentEdits []viewEdit
	}

	// viewEdit is one edit that led to the view with the given number. It changed exceptions if
	// exceptionChanges isn't nil, and a member otherwise.
	viewEdit struct {
		number           uint64
		member           membership.Member
		removed          bool
		exceptionChanges []membership.Exception
	}

	// ViewDelta holds the changes from the view Base to the view Number.
	ViewDelta struct {
		Base    uint64              `msgpack:"b"`
		Number  uint64              `msgpack:"n"`
		Removed []string            `msgpack:"x,omitempty"`
		Members []membership.Member `msgpack:"m,omitempty"`
		// ExceptionChanges are the exceptions that differ. An exception whose Entry is empty was
		// removed.
		ExceptionChanges []membership.Exception `msgpack:"e,omitempty"`
	}
)

// edit applies one edit if the view is as the edit expects. It copies the members, because
// readers may still use earlier views.
func (viewData *viewData) edit(edit *editView, viewNumber uint64) {
	present, known := viewData.View.Member(edit.Member.ID)
	if edit.Remove && edit.Term != viewData.Term {
		return
	}
	if present.Incarnation != edit.ExpectedIncarnation || edit.Remove && !known || !edit.Remove && known && present == edit.Member {
		return
	}
	members := slices.DeleteFunc(slices.Clone(viewData.View.Members), func(member membership.Member) bool { return member.ID == edit.Member.ID })
	if !edit.Remove {
		members = append(members, edit.Member)
		viewData.addFailureDomain(edit.Member.FailureDomain)
	}
	viewData.View = membership.View{Number: viewNumber, Members: members, Exceptions: viewData.View.Exceptions}
	viewData.recordEdit(viewEdit{number: viewNumber, member: edit.Member, removed: edit.Remove})
}

func (viewData *viewData) recordEdit(edit viewEdit) {
	viewData.recentEdits = append(viewData.recentEdits, edit)
	if excess := len(viewData.recentEdits) - maximumRecentEdits; excess > 0 {
		viewData.recentEdits = append([]viewEdit(nil), viewData.recentEdits[excess:]...)
	}
}

func (viewData *viewData) addFailureDomain(failureDomain string) {
	if slices.Contains(viewData.FailureDomains, failureDomain) || len(viewData.FailureDomains) >= maximumFailureDomains {
		return
	}
	viewData.FailureDomains = append(viewData.FailureDomains, failureDomain)
	slices.Sort(viewData.FailureDomains)
}

// deltaSince returns the changes from the view with the given number to the newest, or false if
// the edits since that view are no longer stored.
func (viewData *viewData) deltaSince(number uint64) (ViewDelta, bool) {
	delta := ViewDelta{Base: number, Number: viewData.View.Number}
	// The oldest stored edit may be one of several that led to its view, and the others may have
	// been dropped. A delta can therefore start from that view, but not from the one before.
	if number == 0 || len(viewData.recentEdits) == 0 || viewData.recentEdits[0].number > number {
		return delta, false
	}
	latestEdits, exceptionChanges := map[string]viewEdit{}, map[string]string{}
	for _, edit := range viewData.recentEdits {
		switch {
		case edit.number <= number:
		case edit.exceptionChanges != nil:
			for _, exception := range edit.exceptionChanges {
				exceptionChanges[exception.Target] = exception.Entry
			}
		default:
			latestEdits[edit.member.ID] = edit
		}
	}
	delta.ExceptionChanges = exceptionsByTarget(exceptionChanges)
	for id, edit := range latestEdits {
		if edit.removed {
			delta.Removed = append(delta.Removed, id)
		} else {
			delta.Members = append(delta.Members, edit.member)
		}
	}
	return delta, true
}

// apply returns the view that the delta leads to, or false if base isn't the view that the
// delta starts from.
func (delta *ViewDelta) apply(base *membership.View) (*membership.View, bool) {
	if base.Number != delta.Base {
		return nil, false
	}
	replaced := map[string]bool{}
	for _, id := range delta.Removed {
		replaced[id] = true
	}
	for _, member := range delta.Members {
		replaced[member.ID] = true
	}
	view := &membership.View{Number: delta.Number, Exceptions: applyExceptionChanges(base.Exceptions, delta.ExceptionChanges)}
	for _, member := range base.Members {
		if !replaced[member.ID] {
			view.Members = append(view.Members, member)
		}
	}
	view.Members = append(view.Members, delta.Members...)
	return view, true
}

// checkFailureDomainsOut checks that the failure domains that a change takes out exist, and
// that it takes out all of them only if this is explicitly allowed.
func (viewData *viewData) checkFailureDomainsOut(change *operator.Change) *fault.Error {
	var problems []fault.Problem
	for index, failureDomain := range change.Tables.FailureDomainsOut {
		if !slices.Contains(viewData.FailureDomains, failureDomain) {
			problems = append(problems, fault.Problem{
				Path:    fmt.Sprintf("failure_domains_out[%d]", index),
				Message: fmt.Sprintf("no entry of failure domain %q was ever seen; known are %q", failureDomain, viewData.FailureDomains),
				Remedy:  "correct the name",
			})
		}
	}
	if !change.AllowAllOut && viewData.takesAllDomainsOut(&change.Tables) {
		problems = append(problems, fault.Problem{
			Path:    "failure_domains_out",
			Message: "every failure domain that has entries would be out, and nothing would be served",
			Remedy:  "leave one in, or set allow_all_out (apply --allow-all-out)",
		})
	}
	if len(problems) == 0 {
		return nil
	}
	refusal := fault.New(fault.BadRequest, fmt.Sprintf("tables has %d problem(s); nothing is changed", len(problems)), "mend each listed problem and send it again")
	refusal.Problems = problems
	return refusal
}

// takesAllDomainsOut reports whether the tables take out every failure domain that has members or,
// if the view has no members, every failure domain that ever had some.
func (viewData *viewData) takesAllDomainsOut(tables *operator.Tables) bool {
	if len(tables.FailureDomainsOut) == 0 {
		return false
	}
	for _, member := range viewData.View.Members {
		if !tables.IsOut(member.FailureDomain) {
			return false
		}
	}
	if len(viewData.View.Members) > 0 {
		return true
	}
	return !slices.ContainsFunc(viewData.FailureDomains, func(known string) bool { return !tables.IsOut(known) })
}
