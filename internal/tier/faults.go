// Network latencies, abrupt ends of processes, and the records that tests and measurements check.

package tier

import (
	"context"
	"net"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/process"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	// clientIPPrefix is the prefix of the IP addresses of callers and operators.
	clientIPPrefix = "10.0."
)

// Latency returns a function that gives the one-way latency between two IP addresses of a
// tier on an in-memory network. Each failure domain is a region, so the latency between
// two failure domains is the one between regions.
func Latency(deployment standin.Deployment) func(from, to string) time.Duration {
	return func(from, to string) time.Duration {
		switch {
		case strings.HasPrefix(from, clientIPPrefix) || strings.HasPrefix(to, clientIPPrefix):
			return deployment.ToClients
		case domainOctet(from) == domainOctet(to):
			return 0
		}
		return deployment.BetweenRegions
	}
}

// ConnectTime returns how long opening a connection to a target takes in addition
// to the network latency.
func (tier *Tier) ConnectTime(_, to string) time.Duration {
	for _, target := range tier.targets {
		if target.ip == to {
			return tier.poolShape(target.Announcement().Pool).ConnectTime
		}
	}
	return 0
}

// domainOctet returns the second octet of an IP address, which identifies the failure domain.
func domainOctet(ip string) string {
	parts := strings.SplitN(ip, ".", 3)
	return parts[min(1, len(parts)-1)]
}

func (tier *Tier) poolShape(pool string) standin.PoolShape {
	for _, poolShape := range tier.options.Deployment.Pools {
		if poolShape.Name == pool {
			return poolShape
		}
	}
	return standin.PoolShape{}
}

// Kill ends a process abruptly, as the loss of its VM would: its connections
// break and nothing it sends arrives any more. It then stops the process and
// returns when it has ended. If Options.Files is set, the
// process's file system must fail before Kill is called, so that the stop writes nothing.
func (tier *Tier) Kill(toKill *Process) {
	if flag := toKill.killFlag.Load(); flag != nil {
		flag.Store(true)
	}
	tier.options.Network.Down(toKill.IP())
	ctx, cancel := context.WithTimeout(context.Background(), process.StopTimeout)
	defer cancel()
	_ = tier.StopProcess(ctx, toKill)
}

// Restart starts a process again after Kill.
func (tier *Tier) Restart(ctx context.Context, killed *Process) error {
	tier.options.Network.Up(killed.IP())
	return tier.StartProcess(ctx, killed)
}

// Evidence combines the targets' records with the journal of callers and operators.
func (tier *Tier) Evidence(journal *standin.Journal) *standin.Evidence {
	evidence := &standin.Evidence{Journal: journal, Now: time.Now()}
	for _, target := range tier.targets {
		poolShape := tier.poolShape(target.Announcement().Pool)
		evidence.Targets = append(evidence.Targets, standin.ObservedTarget{
			Announcement: target.Announcement(), Slots: poolShape.Slots, Connections: poolShape.Connections,
			Cold: target.Behaviour(), Record: target.Record(),
		})
	}
	return evidence
}

// IP returns the process's IP address.
func (process *Process) IP() string {
	ip, _, _ := net.SplitHostPort(process.settings.HTTPAddress)
	return ip
}

// Network returns the network that a process at the given IP:port uses.
func (tier *Tier) Network(address string) process.Network {
	return tier.network(address)
}
