// This file exists so that the view of entries changes by small edits and
// travels as what changed.

package control

import (
	"fmt"
	"slices"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// maximumDeltas bounds the views to which a difference can be given.
	maximumDeltas = 256
	// maximumFailureDomains bounds the failure domains that are remembered.
	maximumFailureDomains = 1024
)

type (
	viewData struct {
		View membership.View `msgpack:"v"`
		// FailureDomains are those of all members ever seen.
		FailureDomains []string `msgpack:"f"`
		// Term is the term of the leader that grants leases.
		Term uint64 `msgpack:"t"`
		// deltas are the newest edits; a restore empties them, after which
		// whole views are sent.
		deltas []viewEdit
	}

	// viewEdit is one edit that led to the view with the given number: of a
	// member, or of exceptions where moved isn't nil.
	viewEdit struct {
		number  uint64
		member  membership.Member
		removed bool
		moved   []membership.Exception
	}

	// ViewDelta leads from the view Base to the view Number.
	ViewDelta struct {
		Base    uint64              `msgpack:"b"`
		Number  uint64              `msgpack:"n"`
		Removed []string            `msgpack:"x,omitempty"`
		Members []membership.Member `msgpack:"m,omitempty"`
		// Moved are the exceptions that differ; one without an entry is gone.
		Moved []membership.Exception `msgpack:"e,omitempty"`
	}
)

// edit applies one edit where the view holds what the edit presupposes. The
// members are copied, because earlier views are still read.
func (viewData *viewData) edit(edit *editView, number uint64) {
	present, known := viewData.View.Member(edit.Member.ID)
	if edit.Remove && edit.Term != viewData.Term {
		return
	}
	if present.Incarnation != edit.Present || edit.Remove && !known || !edit.Remove && known && present == edit.Member {
		return
	}
	members := slices.DeleteFunc(slices.Clone(viewData.View.Members), func(member membership.Member) bool { return member.ID == edit.Member.ID })
	if !edit.Remove {
		members = append(members, edit.Member)
		viewData.see(edit.Member.FailureDomain)
	}
	viewData.View = membership.View{Number: number, Members: members, Exceptions: viewData.View.Exceptions}
	viewData.remember(viewEdit{number: number, member: edit.Member, removed: edit.Remove})
}

func (viewData *viewData) remember(edit viewEdit) {
	viewData.deltas = append(viewData.deltas, edit)
	if excess := len(viewData.deltas) - maximumDeltas; excess > 0 {
		viewData.deltas = append([]viewEdit(nil), viewData.deltas[excess:]...)
	}
}

func (viewData *viewData) see(failureDomain string) {
	if slices.Contains(viewData.FailureDomains, failureDomain) || len(viewData.FailureDomains) >= maximumFailureDomains {
		return
	}
	viewData.FailureDomains = append(viewData.FailureDomains, failureDomain)
	slices.Sort(viewData.FailureDomains)
}

func (viewData *viewData) since(number uint64) (ViewDelta, bool) {
	delta := ViewDelta{Base: number, Number: viewData.View.Number}
	// The oldest remembered edit may be one of several of its view.
	if number == 0 || len(viewData.deltas) == 0 || viewData.deltas[0].number > number {
		return delta, false
	}
	last, moved := map[string]viewEdit{}, map[string]string{}
	for _, edit := range viewData.deltas {
		switch {
		case edit.number <= number:
		case edit.moved != nil:
			for _, exception := range edit.moved {
				moved[exception.Target] = exception.Entry
			}
		default:
			last[edit.member.ID] = edit
		}
	}
	delta.Moved = sortedExceptions(moved)
	for id, edit := range last {
		if edit.removed {
			delta.Removed = append(delta.Removed, id)
		} else {
			delta.Members = append(delta.Members, edit.member)
		}
	}
	return delta, true
}

// apply returns the view that the delta leads to, or false where the base is
// another view.
func (delta *ViewDelta) apply(base *membership.View) (*membership.View, bool) {
	if base.Number != delta.Base {
		return nil, false
	}
	gone := map[string]bool{}
	for _, id := range delta.Removed {
		gone[id] = true
	}
	for _, member := range delta.Members {
		gone[member.ID] = true
	}
	view := &membership.View{Number: delta.Number, Exceptions: move(base.Exceptions, delta.Moved)}
	for _, member := range base.Members {
		if !gone[member.ID] {
			view.Members = append(view.Members, member)
		}
	}
	view.Members = append(view.Members, delta.Members...)
	return view, true
}

// checkOut checks the failure domains that a change takes out against those
// that exist.
func (viewData *viewData) checkOut(change *operator.Change) *fault.Error {
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
	if !change.AllowAllOut && viewData.allOut(&change.Tables) {
		problems = append(problems, fault.Problem{
			Path:    "failure_domains_out",
			Message: "every failure domain that has entries would be out, and nothing would be served",
			Remedy:  "leave one in, or set allow_all_out (apply --allow-all-out)",
		})
	}
	if len(problems) == 0 {
		return nil
	}
	refused := fault.New(fault.BadRequest, fmt.Sprintf("tables has %d problem(s); nothing is changed", len(problems)), "mend each listed problem and send it again")
	refused.Problems = problems
	return refused
}

func (viewData *viewData) allOut(tables *operator.Tables) bool {
	if len(tables.FailureDomainsOut) == 0 {
		return false
	}
	for _, member := range viewData.View.Members {
		if !tables.Out(member.FailureDomain) {
			return false
		}
	}
	if len(viewData.View.Members) > 0 {
		return true
	}
	return !slices.ContainsFunc(viewData.FailureDomains, func(known string) bool { return !tables.Out(known) })
}
