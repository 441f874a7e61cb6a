// Exceptions give single targets another entry as their home (the entry through which a target
// gets its work), to even out the load. They are part of the replicated view, and entries receive
// only those that changed.

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

// replaceExceptions proposes exceptions for the next view. Any set of exceptions is safe. A set
// that was computed for an older view might not balance the load; it is discarded and computed
// again.
func (service *Service) replaceExceptions(ctx context.Context, request *ExceptionsRequest) (*ExceptionsReply, error) {
	if err := request.check(); err != nil {
		return nil, err
	}
	_, err := service.viewBatcher.submit(ctx, replaceExceptions{Request: *request})
	return &ExceptionsReply{}, err
}

func (request *ExceptionsRequest) check() error {
	problem := ""
	if len(request.Exceptions) > membership.MaximumExceptions {
		problem = fmt.Sprintf("there are more than %d exceptions", membership.MaximumExceptions)
	}
	previousTarget := ""
	for _, exception := range request.Exceptions {
		if len(exception.Target) > operator.MaximumNameBytes || len(exception.Entry) > operator.MaximumNameBytes {
			problem = "a name is too long"
		}
		if exception.Target <= previousTarget || exception.Entry == "" {
			problem = "a name is missing, or the targets aren't in order"
		}
		previousTarget = exception.Target
	}
	if problem == "" {
		return nil
	}
	return fault.New(fault.BadRequest, "the exceptions can't be taken: "+problem, "run the same release on all VMs")
}

// replaceExceptions replaces the exceptions if the request was computed for the current view and
// its exceptions differ from those of the view.
func (viewData *viewData) replaceExceptions(request *ExceptionsRequest, viewNumber uint64) {
	exceptionChanges := diffExceptions(viewData.View.Exceptions, request.Exceptions)
	if request.View != viewData.View.Number || len(exceptionChanges) == 0 {
		return
	}
	viewData.View = membership.View{Number: viewNumber, Members: viewData.View.Members, Exceptions: request.Exceptions}
	viewData.recordEdit(viewEdit{number: viewNumber, exceptionChanges: exceptionChanges})
}

// diffExceptions returns the changes that turn one list of exceptions into another. A change
// without an entry removes the exception.
func diffExceptions(from, to []membership.Exception) []membership.Exception {
	changes := map[string]string{}
	for _, exception := range from {
		changes[exception.Target] = ""
	}
	for _, exception := range to {
		changes[exception.Target] = exception.Entry
	}
	for _, exception := range from {
		if changes[exception.Target] == exception.Entry {
			delete(changes, exception.Target)
		}
	}
	return exceptionsByTarget(changes)
}

// applyExceptionChanges returns the exceptions after the changes, in the form that diffExceptions
// returns.
func applyExceptionChanges(exceptions, changes []membership.Exception) []membership.Exception {
	if len(changes) == 0 {
		return exceptions
	}
	homes := map[string]string{}
	for _, exception := range append(slices.Clone(exceptions), changes...) {
		homes[exception.Target] = exception.Entry
		if exception.Entry == "" {
			delete(homes, exception.Target)
		}
	}
	return exceptionsByTarget(homes)
}

// exceptionsByTarget returns the exceptions for a map from targets to their homes, sorted by target.
func exceptionsByTarget(homes map[string]string) []membership.Exception {
	var exceptions []membership.Exception
	for target, entry := range homes {
		exceptions = append(exceptions, membership.Exception{Target: target, Entry: entry})
	}
	slices.SortFunc(exceptions, func(a, b membership.Exception) int { return cmp.Compare(a.Target, b.Target) })
	return exceptions
}
