// Starting the deployment's stand-in targets.

package tier

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Target is a running stand-in target of a tier.
	Target struct {
		*standin.Target
		ip string
	}
)

func (tier *Tier) startTargets(ctx context.Context) error {
	renewalContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	tier.stopRenewals = cancel
	for _, pool := range tier.options.Deployment.Pools {
		for _, announcement := range tier.options.Deployment.Announcements(pool) {
			if err := tier.startTarget(ctx, renewalContext, announcement); err != nil {
				return err
			}
		}
	}
	return nil
}

// startTarget starts a target and announces it. Its announcement is renewed until renewalContext
// ends.
func (tier *Tier) startTarget(ctx, renewalContext context.Context, announcement target.Announcement) error {
	number := len(tier.targets)
	ip, address := "127.0.0.1", "127.0.0.1:0"
	if tier.options.Network != nil {
		ip = fmt.Sprintf("10.%d.%d.%d", tier.domainNumber(announcement.FailureDomain), 2+number/250, 1+number%250)
		address = net.JoinHostPort(ip, httpPort)
	}
	network := tier.network(address)
	listener, err := network.Listen(ctx, address)
	if err != nil {
		return errors.Wrap(err, "listen as target")
	}
	announcement.Address = listener.Addr().String()
	behaviour := standin.Behaviour{}
	if tier.options.TargetBehaviour != nil {
		behaviour = tier.options.TargetBehaviour(&announcement)
	}
	started := &Target{Target: standin.NewTarget(announcement, behaviour, network.Dial), ip: ip}
	tier.targets = append(tier.targets, started)
	tier.running.Go(func() { _ = started.Serve(listener) })
	entry := tier.entries[number%len(tier.entries)].settings.HTTPAddress
	if err := started.Announce(ctx, entry); err != nil {
		return err
	}
	tier.running.Go(func() { started.Renew(renewalContext, entry) })
	return nil
}

// domainNumber returns the position of a failure domain in the deployment, counted from one, which
// is the second octet of the domain's IP addresses.
func (tier *Tier) domainNumber(failureDomain string) int {
	for index, candidate := range tier.options.Deployment.FailureDomains {
		if candidate == failureDomain {
			return index + 1
		}
	}
	return 0
}

// awaitTargets waits until every entry answers a search of every pool with complete coverage.
func (tier *Tier) awaitTargets(ctx context.Context) error {
	for _, entry := range tier.entries {
		for _, pool := range tier.options.Deployment.Pools {
			if err := tier.awaitPool(ctx, entry, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (tier *Tier) awaitPool(ctx context.Context, entry *Process, pool standin.PoolShape) error {
	client := tier.Client(entry)
	for {
		answer, err := client.Send(ctx, &caller.Request{
			ID: caller.NewRequestID(time.Now().Add(time.Minute)), Kind: pool.Name + ".search", Idempotent: true,
			RunsPerShard: 3, Timeout: duration.Of(probeTimeout),
		})
		if err == nil && answer.Coverage.Complete && answer.Coverage.Total == pool.Shards {
			return nil
		}
		if err := waitPollInterval(ctx); err != nil {
			return errors.Wrap(err, fmt.Sprintf("wait for the targets of pool %s", pool.Name))
		}
	}
}

// IP returns the target's IP address.
func (target *Target) IP() string {
	return target.ip
}
