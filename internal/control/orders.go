// Orders of operators that carry no version of their own: taking a failure domain out of service, putting it back, and
// rollouts. The process that receives an order first gets a ticket from the leader, which names the last order that the leader
// has taken up. The order is taken up only if no other one was since, so that an order which was held up on its way, and
// whose sender may have sent a newer one elsewhere, has no effect.

package control

import (
	"context"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/replica"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// overtakenMessage is the message of the fault for an order with an outdated ticket.
	overtakenMessage = "another order was taken up since this one was received"
)

type (
	// OrderTicketRequest requests a ticket for an order.
	OrderTicketRequest struct{}

	// OrderTicket names the last order that a leader has taken up.
	OrderTicket struct {
		Term   uint64 `msgpack:"t"`
		Orders uint64 `msgpack:"o"`
	}

	// DomainOrder is a change of a failure domain with its ticket.
	DomainOrder struct {
		Ticket OrderTicket           `msgpack:"k"`
		Change operator.DomainChange `msgpack:"c"`
	}

	// RolloutOrder is the order of a rollout with its ticket.
	RolloutOrder struct {
		Ticket OrderTicket           `msgpack:"k"`
		Order  operator.RolloutOrder `msgpack:"o"`
	}

	// orderQueue takes up the orders of one leader, one at a time. Construct it with newOrderQueue.
	orderQueue struct {
		// slot holds a value while an order is in progress, which guards count.
		slot  chan struct{}
		count uint64
	}
)

func newOrderQueue() orderQueue {
	return orderQueue{slot: make(chan struct{}, 1)}
}

// lock waits for the orders in progress. It returns an error if ctx ends first.
func (orderQueue *orderQueue) lock(ctx context.Context) error {
	select {
	case orderQueue.slot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Unavailable, "an earlier order is still in progress", "try again")
	}
}

func (orderQueue *orderQueue) unlock() {
	<-orderQueue.slot
}

// orderTicket returns a ticket that lasts until the next order.
func (service *Service) orderTicket(ctx context.Context, _ *OrderTicketRequest) (*OrderTicket, error) {
	if err := service.orders.lock(ctx); err != nil {
		return nil, err
	}
	defer service.orders.unlock()
	term, leading := service.log.Term()
	if !leading {
		return nil, &replica.NotLeadingError{}
	}
	return &OrderTicket{Term: term, Orders: service.orders.count}, nil
}

// submitOrder submits an order and returns its result. A nil ticket is that of a caller of an older build.
func (service *Service) submitOrder(ctx context.Context, ticket *OrderTicket, command command) (*result, error) {
	if err := service.orders.lock(ctx); err != nil {
		return nil, err
	}
	submission, err := service.takeUpOrder(ctx, ticket, command)
	if err != nil {
		service.orders.unlock()
		return nil, err
	}
	go func() {
		<-submission.done
		service.orders.unlock()
	}()
	return submission.await(ctx)
}

// takeUpOrder queues an order unless its ticket is outdated or its caller has left.
func (service *Service) takeUpOrder(ctx context.Context, ticket *OrderTicket, command command) (*submission, error) {
	term, leading := service.log.Term()
	switch {
	case !leading:
		return nil, &replica.NotLeadingError{}
	case ctx.Err() != nil:
		return nil, fault.New(fault.Unavailable, "the caller of the order has left", "send it again")
	case ticket != nil && (ticket.Term != term || ticket.Orders != service.orders.count):
		return nil, fault.New(fault.Conflict, overtakenMessage, "send it again if it still holds")
	}
	submission, err := service.changeBatcher.begin(command)
	if err == nil {
		service.orders.count++
	}
	return submission, err
}

func (service *Service) ticketedDomain(ctx context.Context, order *DomainOrder) (*operator.ChangeReply, error) {
	return service.changeDomain(ctx, &order.Ticket, &order.Change)
}

func (service *Service) ticketedRollout(ctx context.Context, order *RolloutOrder) (*operator.Rollout, error) {
	return service.orderRollout(ctx, &order.Ticket, &order.Order)
}

// RefuseOrdersAfterPauses makes the client refuse orders that may have waited while the process was paused.
func (client *Client) RefuseOrdersAfterPauses(monitor *pause.Monitor) {
	client.pauses = monitor
}

// sendOrder gets a ticket and sends an order with it. An order that another one has overtaken is sent once more with a new
// ticket, as long as its caller waits.
func sendOrder[Out any](ctx context.Context, client *Client, send func(ticket *OrderTicket) (*Out, error)) (*Out, error) {
	for {
		if err := client.checkOrder(ctx); err != nil {
			return nil, err
		}
		ticket, err := callKnown[OrderTicketRequest, OrderTicket](ctx, client, MethodOrderTicket, &OrderTicketRequest{}, attemptTimeout)
		if frame.IsUnknownMethod(err, MethodOrderTicket) {
			return send(nil)
		}
		if err != nil {
			return nil, err
		}
		if err := client.checkOrder(ctx); err != nil {
			return nil, err
		}
		reply, err := send(ticket)
		if !isOvertaken(err) || ctx.Err() != nil {
			return reply, err
		}
	}
}

// checkOrder returns an error if the caller of an order has left or may have left.
func (client *Client) checkOrder(ctx context.Context) error {
	if ctx.Err() != nil {
		return fault.New(fault.Unavailable, "the caller of the order has left", "send it again")
	}
	return client.pauses.Check()
}

func isOvertaken(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind == fault.Conflict && typed.Message == overtakenMessage
}
