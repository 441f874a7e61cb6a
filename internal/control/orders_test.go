package control

import (
	"context"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	lateClient  = "10.9.0.1"
	otherClient = "10.9.0.2"
	// operatorTimeout is how long an operator waits for the response to an order.
	operatorTimeout = 900 * time.Millisecond
)

func domainOut(out bool) *operator.DomainChange {
	return &operator.DomainChange{FailureDomain: "nord-a", Out: out}
}

// Guards against an order that is delayed on its way to the leader, is given up by the operator, and undoes a newer one
// that was acknowledged meanwhile.
func TestDelayedOrderDoesNotUndoANewerOne(t *testing.T) {
	testOrders(t, func(t *testing.T, cluster *cluster) {
		late, other := cluster.client(lateClient), cluster.client(otherClient)
		defer late.Close()
		defer other.Close()
		expectOrder(t, late, true)
		expectOrder(t, other, true)
		for number := range cluster.addresses {
			cluster.network.Cut(lateClient, cluster.ip(number))
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
			defer cancel()
			if _, err := late.SetDomainOut(ctx, domainOut(false)); err == nil {
				t.Error("the delayed order is acknowledged")
			}
		}()
		time.Sleep(time.Second)
		expectOrder(t, other, false)
		expectOrder(t, other, true)
		for number := range cluster.addresses {
			cluster.network.Heal(lateClient, cluster.ip(number))
		}
		time.Sleep(10 * time.Second)
		newest, err := other.Tables(context.Background(), 0)
		if err != nil {
			t.Fatal(err)
		}
		if !newest.Tables.IsOut("nord-a") {
			t.Errorf("the failure domain is back in service, by change %q", newest.ChangeID)
		}
	})
}

// Guards against orders with outdated tickets, and against a lost reply after which the order is never acknowledged.
func TestOrderWithAnOutdatedTicketHasNoEffect(t *testing.T) {
	testOrders(t, func(t *testing.T, cluster *cluster) {
		ctx := context.Background()
		leader := cluster.services[cluster.leader()]
		ticket, err := leader.orderTicket(ctx, &OrderTicketRequest{})
		if err != nil {
			t.Fatal(err)
		}
		order := &DomainOrder{Ticket: *ticket, Change: *domainOut(true)}
		if _, err := leader.ticketedDomain(ctx, order); err != nil {
			t.Fatal(err)
		}
		if _, err := leader.ticketedDomain(ctx, order); !isOvertaken(err) {
			t.Errorf("a ticket is used twice: %v", err)
		}
		if _, err := leader.ticketedDomain(ctx, &DomainOrder{Ticket: OrderTicket{Term: ticket.Term - 1, Orders: ticket.Orders + 1}, Change: *domainOut(false)}); !isOvertaken(err) {
			t.Errorf("the ticket of an earlier leader is valid: %v", err)
		}
		left, leave := context.WithCancel(ctx)
		leave()
		if _, err := leader.domain(left, domainOut(false)); err == nil {
			t.Error("an order is taken up although its caller has left")
		}
		time.Sleep(time.Second)
		if newest := leader.state.Newest(); !newest.Tables.IsOut("nord-a") {
			t.Errorf("the failure domain is back in service, by change %q", newest.ChangeID)
		}
		client := cluster.client(otherClient)
		defer client.Close()
		expectOrder(t, client, true)
	})
}

// Guards against an order that was read after the process had been frozen, when its sender may have given up.
func TestOrderAfterAPauseIsRefused(t *testing.T) {
	testOrders(t, func(t *testing.T, cluster *cluster) {
		client := cluster.client(otherClient)
		defer client.Close()
		monitor := new(pause.Monitor)
		client.RefuseOrdersAfterPauses(monitor)
		monitor.Tick()
		expectOrder(t, client, true)
		time.Sleep(1350 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		if _, err := client.SetDomainOut(ctx, domainOut(false)); err == nil {
			t.Error("the order is acknowledged, expected a refusal")
		}
		if newest, err := client.Tables(ctx, 0); err != nil || !newest.Tables.IsOut("nord-a") {
			t.Errorf("the order has taken effect (%v)", err)
		}
	})
}

// Guards against orders that fail while the replicas run an older build, which knows no tickets.
func TestOrderReachesReplicasOfAnOlderBuild(t *testing.T) {
	testOrders(t, func(t *testing.T, cluster *cluster) {
		cluster.withoutTickets()
		time.Sleep(4 * time.Second)
		client := cluster.client(otherClient)
		defer client.Close()
		expectOrder(t, client, true)
		expectOrder(t, client, false)
	})
}

// testOrders runs a test with replicas that elect a leader.
func testOrders(t *testing.T, body func(t *testing.T, cluster *cluster)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		cluster := startControlCluster(12*time.Millisecond, time.Millisecond)
		defer time.Sleep(time.Minute)
		defer cluster.stop()
		time.Sleep(4 * time.Second)
		body(t, cluster)
	})
}

// expectOrder gives an order as an operator would, and fails the test if it isn't acknowledged in time.
func expectOrder(t *testing.T, client *Client, out bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	if _, err := client.SetDomainOut(ctx, domainOut(out)); err != nil {
		t.Errorf("the order is not acknowledged: %v", err)
	}
}

// withoutTickets starts servers in place of those of the replicas that lack the methods of tickets.
func (cluster *cluster) withoutTickets() {
	for number, service := range cluster.services {
		cluster.servers[number].Stop()
		server := new(frame.Server)
		handle(server, service.log, MethodDomain, service.domain)
		handle(server, service.log, MethodStatus, service.status)
		cluster.replicas[number].Register(server)
		listener, _ := cluster.network.Listen(cluster.addresses[number])
		go func() { _ = server.Serve(listener) }()
		cluster.servers[number] = server
	}
}
