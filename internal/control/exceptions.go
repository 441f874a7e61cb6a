// This file exists so that the exceptions that even out homes are part of the
// agreed view, and travel as what changed.

package control

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// balance takes exceptions into the next view. Any exceptions are safe; those
// that were computed for another view may not be even, and are computed again.
func (service *Service) balance(ctx context.Context, request *BalanceRequest) (*Balanced, error) {
	if err := request.check(); err != nil {
		return nil, err
	}
	_, err := service.views.submit(ctx, balanceView{Request: *request})
	return &Balanced{}, err
}

func (request *BalanceRequest) check() error {
	problem := ""
	if len(request.Exceptions) > membership.MaximumExceptions {
		problem = fmt.Sprintf("there are more than %d exceptions", membership.MaximumExceptions)
	}
	last := ""
	for _, exception := range request.Exceptions {
		if len(exception.Target) > operator.MaximumNameBytes || len(exception.Entry) > operator.MaximumNameBytes {
			problem = "a name is too long"
		}
		if exception.Target <= last || exception.Entry == "" {
			problem = "a name is missing, or the targets aren't in order"
		}
		last = exception.Target
	}
	if problem == "" {
		return nil
	}
	return fault.New(fault.BadRequest, "the exceptions can't be taken: "+problem, "run the same release on all VMs")
}

// balance replaces the exceptions where the view is the one that they are for.
func (viewData *viewData) balance(request *BalanceRequest, number uint64) {
	moved := difference(viewData.View.Exceptions, request.Exceptions)
	if request.View != viewData.View.Number || len(moved) == 0 {
		return
	}
	viewData.View = membership.View{Number: number, Members: viewData.View.Members, Exceptions: request.Exceptions}
	viewData.remember(viewEdit{number: number, moved: moved})
}

// difference returns what leads from some exceptions to others.
func difference(from, to []membership.Exception) []membership.Exception {
	moved := map[string]string{}
	for _, exception := range from {
		moved[exception.Target] = ""
	}
	for _, exception := range to {
		moved[exception.Target] = exception.Entry
	}
	for _, exception := range from {
		if moved[exception.Target] == exception.Entry {
			delete(moved, exception.Target)
		}
	}
	return sortedExceptions(moved)
}

// move applies a difference.
func move(exceptions, moved []membership.Exception) []membership.Exception {
	if len(moved) == 0 {
		return exceptions
	}
	homes := map[string]string{}
	for _, exception := range append(slices.Clone(exceptions), moved...) {
		homes[exception.Target] = exception.Entry
		if exception.Entry == "" {
			delete(homes, exception.Target)
		}
	}
	return sortedExceptions(homes)
}

func sortedExceptions(homes map[string]string) []membership.Exception {
	var exceptions []membership.Exception
	for target, entry := range homes {
		exceptions = append(exceptions, membership.Exception{Target: target, Entry: entry})
	}
	slices.SortFunc(exceptions, func(a, b membership.Exception) int { return cmp.Compare(a.Target, b.Target) })
	return exceptions
}
