// This file exists so that tests and measurements give a tier the users'
// latencies, end its processes without notice, and check its records.

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
	// clientPrefix is the start of the IP addresses of callers and operators.
	clientPrefix = "10.0."
)

// Latency returns the one-way latency between the IP addresses of a tier in
// memory. Each failure domain is a region, so that what lies between two is
// the latency between regions.
func Latency(deployment standin.Deployment) func(from, to string) time.Duration {
	return func(from, to string) time.Duration {
		switch {
		case strings.HasPrefix(from, clientPrefix) || strings.HasPrefix(to, clientPrefix):
			return deployment.ToClients
		case domainOf(from) == domainOf(to):
			return 0
		}
		return deployment.BetweenRegions
	}
}

// Connect returns the time that a new connection to a target takes besides
// the latency.
func (tier *Tier) Connect(_, to string) time.Duration {
	for _, target := range tier.targets {
		if target.ip == to {
			return tier.shape(target.Announcement().Pool).Connect
		}
	}
	return 0
}

// domainOf returns the part of an IP address that names the failure domain.
func domainOf(ip string) string {
	parts := strings.SplitN(ip, ".", 3)
	return parts[min(1, len(parts)-1)]
}

func (tier *Tier) shape(pool string) standin.PoolShape {
	for _, shape := range tier.options.Deployment.Pools {
		if shape.Name == pool {
			return shape
		}
	}
	return standin.PoolShape{}
}

// Kill ends a process as the loss of its VM does: its connections break and
// nothing that it does reaches anybody any more. It returns once what is left
// of the process has ended. A caller that gives processes files stops those
// first.
func (tier *Tier) Kill(killed *Process) {
	if flag := killed.killed.Load(); flag != nil {
		flag.Store(true)
	}
	tier.options.Memory.Down(killed.IP())
	ctx, cancel := context.WithTimeout(context.Background(), process.StopTimeout)
	defer cancel()
	_ = tier.StopProcess(ctx, killed)
}

// Restart starts a process that was killed.
func (tier *Tier) Restart(ctx context.Context, killed *Process) error {
	tier.options.Memory.Up(killed.IP())
	return tier.StartProcess(ctx, killed)
}

// Evidence gathers the records of targets, callers and operators.
func (tier *Tier) Evidence(journal *standin.Journal) *standin.Evidence {
	evidence := &standin.Evidence{Journal: journal, Now: time.Now()}
	for _, target := range tier.targets {
		shape := tier.shape(target.Announcement().Pool)
		evidence.Targets = append(evidence.Targets, standin.Observed{
			Announcement: target.Announcement(), Slots: shape.Slots, Connections: shape.Connections,
			Cold: target.Behaviour(), Record: target.Record(),
		})
	}
	return evidence
}

// IP returns the IP address of the process.
func (process *Process) IP() string {
	ip, _, _ := net.SplitHostPort(process.settings.HTTPAddress)
	return ip
}

// Network returns the network as seen from an IP:port.
func (tier *Tier) Network(address string) process.Network {
	return tier.network(address)
}
