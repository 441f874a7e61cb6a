package control

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

// TestViewDeltasIncludeExceptions applies random edits and checks that each earlier view plus
// its delta gives the newest view.
func TestViewDeltasIncludeExceptions(t *testing.T) {
	random, state := rand.New(rand.NewPCG(6, 0)), &State{}
	views := []membership.View{}
	for range 200 {
		state.Apply(0, encode(t, randomEdits(random, state)))
		if newest := state.View(); len(views) == 0 || views[len(views)-1].Number != newest.Number {
			views = append(views, newest)
		}
	}
	newest := state.View()
	for _, base := range views {
		delta, known := state.viewDeltaSince(base.Number)
		if !known {
			continue
		}
		view, applied := delta.apply(&base)
		if !applied || !equalViews(view, &newest) {
			t.Fatalf("the delta from view %d is expected to lead to view %d, but doesn't", base.Number, newest.Number)
		}
	}
	if len(views) < 100 || len(newest.Exceptions) == 0 {
		t.Fatalf("got %d views and %d exceptions, expected at least 100 and 1", len(views), len(newest.Exceptions))
	}
}

// TestExceptionsForAnEarlierViewAreDiscarded checks that a delayed proposal has no effect on a
// newer view.
func TestExceptionsForAnEarlierViewAreDiscarded(t *testing.T) {
	state := &State{}
	state.Apply(0, encode(t, []command{editView{Member: membership.Member{ID: "a", Incarnation: 1}}}))
	state.Apply(0, encode(t, []command{editView{Member: membership.Member{ID: "b", Incarnation: 1}}}))
	state.Apply(0, encode(t, []command{replaceExceptions{Request: ExceptionsRequest{View: 1, Exceptions: []membership.Exception{{Target: "t", Entry: "a"}}}}}))
	if view := state.View(); view.Number != 2 || len(view.Exceptions) != 0 {
		t.Errorf("view %d has exceptions %v, expected view 2 without exceptions", view.Number, view.Exceptions)
	}
}

func TestExceptionsAreChecked(t *testing.T) {
	many := ExceptionsRequest{}
	for number := range membership.MaximumExceptions + 1 {
		many.Exceptions = append(many.Exceptions, membership.Exception{Target: fmt.Sprintf("%05d", number), Entry: "a"})
	}
	refused := []ExceptionsRequest{
		many,
		{Exceptions: []membership.Exception{{Target: "t", Entry: "a"}, {Target: "t", Entry: "b"}}},
		{Exceptions: []membership.Exception{{Target: "u", Entry: "a"}, {Target: "t", Entry: "b"}}},
		{Exceptions: []membership.Exception{{Target: "t"}}},
	}
	for index, request := range refused {
		if request.check() == nil {
			t.Errorf("request %d is accepted, expected a refusal", index)
		}
	}
	many.Exceptions = many.Exceptions[1:]
	if err := many.check(); err != nil {
		t.Error(err)
	}
}

// randomEdits returns a random edit of a member, a random change of the exceptions, or both.
func randomEdits(random *rand.Rand, state *State) []command {
	view := state.View()
	id := fmt.Sprint(random.IntN(6))
	present, known := view.Member(id)
	edit := editView{ExpectedIncarnation: present.Incarnation, Member: membership.Member{ID: id, Incarnation: present.Incarnation + 1}, Remove: known && random.IntN(3) == 0}
	request := ExceptionsRequest{View: view.Number}
	for number := range 10 {
		if random.IntN(2) == 0 {
			request.Exceptions = append(request.Exceptions, membership.Exception{Target: fmt.Sprint(number), Entry: fmt.Sprint(random.IntN(6))})
		}
	}
	switch random.IntN(3) {
	case 0:
		return []command{edit}
	case 1:
		return []command{replaceExceptions{Request: request}}
	default:
		return []command{replaceExceptions{Request: request}, edit}
	}
}

func encode(t *testing.T, commands []command) []byte {
	t.Helper()
	encoded, err := encodeCommands(commands)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func equalViews(left, right *membership.View) bool {
	members := func(view *membership.View) map[string]membership.Member {
		byID := map[string]membership.Member{}
		for _, member := range view.Members {
			byID[member.ID] = member
		}
		return byID
	}
	a, _ := msgpack.Marshal(left.Exceptions)
	b, _ := msgpack.Marshal(right.Exceptions)
	return left.Number == right.Number && string(a) == string(b) && fmt.Sprint(members(left)) == fmt.Sprint(members(right))
}
