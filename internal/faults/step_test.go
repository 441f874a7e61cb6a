package faults_test

import (
	"net"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// step is a moment of the system's work at which faults are injected. It is
	// reached by traffic, by a run, by a file operation, or by what the harness
	// does.
	step struct {
		name string
		// matchesTraffic reports whether a message or a new connection reaches the step.
		matchesTraffic func(cell *cell, traffic standin.Traffic) bool
		// matchesRun reports whether a run at a target reaches the step.
		matchesRun func(run *target.Run) bool
		// file is the operation that reaches the step.
		file fileOperation
		// prepare makes the system reach the step.
		prepare func(cell *cell)
		// detection describes how the step is recognized if it has no hook of its
		// own. It is printed with the matrix.
		detection string
	}

	// endpoint is the kind of a sender's or receiver's address.
	endpoint int

	// fileOperation is an operation of control on a file.
	fileOperation int
)

const (
	fileWrite fileOperation = iota + 1
	fileSync
	fileCreate
)

const (
	replicaChangeStep = "replica change"
)

const (
	clientEndpoint endpoint = iota
	entryCallerEndpoint
	entryPeerEndpoint
	controlEndpoint
	targetEndpoint
	back
)

// endpoints returns the endpoints of the sender and the receiver. It relies on
// the addresses that internal/tier assigns. The sender's port is unknown, so an entry
// that sends counts as entryPeerEndpoint, with port 90.
func endpoints(traffic standin.Traffic) (from, to endpoint) {
	host, port, _ := net.SplitHostPort(traffic.To)
	return endpointOf(traffic.From, "90"), endpointOf(host, port)
}

func endpointOf(ip, port string) endpoint {
	parts := strings.Split(ip, ".")
	switch {
	case parts[1] == "0":
		return clientEndpoint
	case parts[2] == "0":
		return controlEndpoint
	case parts[2] == "1" && port == "80":
		return entryCallerEndpoint
	case parts[2] == "1":
		return entryPeerEndpoint
	}
	return targetEndpoint
}

// trafficBetween returns a predicate that matches messages from one endpoint to
// another while all of the activities are in progress: only replies if reply is set,
// else only other messages. A reply goes to port 0, because its receiver dialed the
// connection.
func trafficBetween(from, to endpoint, reply bool, activities ...activity) func(cell *cell, traffic standin.Traffic) bool {
	return func(cell *cell, traffic standin.Traffic) bool {
		for _, activity := range activities {
			if cell.inProgress[activity] == 0 {
				return false
			}
		}
		sender, receiver := endpoints(traffic)
		_, port, _ := net.SplitHostPort(traffic.To)
		return !traffic.Opening && sender == from && receiver == to && (port == "0") == reply
	}
}

var steps = []step{
	{name: "address lookup"},
	{name: "accept", matchesTraffic: trafficBetween(clientEndpoint, entryCallerEndpoint, false)},
	// A run right is control's permission for an entry to run a filing.
	{name: "run right", matchesTraffic: trafficBetween(entryPeerEndpoint, controlEndpoint, false, filing), detection: "an entry sends to control while a filing is in progress"},
	{name: "fan-out", matchesTraffic: trafficBetween(entryPeerEndpoint, entryPeerEndpoint, false)},
	{name: "home queue", prepare: func(cell *cell) {
		for range 8 {
			cell.running.Go(func() { cell.sendSearch(0, nil) })
		}
		time.Sleep(deployment.ToClients + 5*time.Millisecond)
		cell.stepReached("home queue")
	}, detection: "eight searches run at once on targets of two slots each"},
	{name: "connect", prepare: func(cell *cell) { cell.network.Break(cell.tier.Targets()[0].IP()) }, matchesTraffic: func(_ *cell, traffic standin.Traffic) bool {
		from, to := endpoints(traffic)
		return traffic.Opening && from == entryPeerEndpoint && to == targetEndpoint
	}},
	{name: "write", matchesTraffic: trafficBetween(entryPeerEndpoint, targetEndpoint, false)},
	{name: "run", matchesRun: func(*target.Run) bool { return true }},
	{name: "answer", matchesTraffic: trafficBetween(targetEndpoint, entryPeerEndpoint, true)},
	{name: "merge", matchesTraffic: trafficBetween(entryPeerEndpoint, entryPeerEndpoint, true), detection: "a home's report is on its way to the coordinator"},
	{name: "reply", matchesTraffic: trafficBetween(entryPeerEndpoint, clientEndpoint, true)},

	{name: "propose", matchesTraffic: trafficBetween(clientEndpoint, controlEndpoint, false, changing)},
	{name: "append", file: fileWrite},
	{name: "sync", file: fileSync},
	{name: "replicate", matchesTraffic: trafficBetween(controlEndpoint, controlEndpoint, false, changing)},
	{name: "commit", matchesTraffic: trafficBetween(controlEndpoint, controlEndpoint, true, changing), detection: "a follower's first message back after the proposal"},
	{name: "apply", matchesTraffic: trafficBetween(controlEndpoint, clientEndpoint, true, changing), detection: "control replies to the operator"},
	{name: "compact", prepare: growLog, file: fileCreate},
	{name: replicaChangeStep, prepare: func(cell *cell) { _ = cell.replaceLeader() }, matchesTraffic: trafficBetween(controlEndpoint, controlEndpoint, false, replacing), detection: "a new replica is added, then the leader removed"},

	{name: "announce", prepare: func(cell *cell) { cell.announceLeaving() }, matchesTraffic: trafficBetween(targetEndpoint, entryCallerEndpoint, false, announcing)},
	{name: "renew", matchesTraffic: trafficBetween(targetEndpoint, entryCallerEndpoint, false)},
	{name: "spread", prepare: func(cell *cell) { cell.announceLeaving() }, matchesTraffic: trafficBetween(entryPeerEndpoint, entryPeerEndpoint, false, announcing)},
	{name: "expire", prepare: func(cell *cell) {
		cell.network.Down(cell.tier.Targets()[3].IP())
		time.Sleep(3 * time.Second)
		cell.stepReached("expire")
	}, detection: "a target was lost 3 s ago, which is its TTL"},
	{name: "move of a home", prepare: restartLastEntry, matchesTraffic: trafficBetween(controlEndpoint, entryPeerEndpoint, true, stopping), detection: "control answers an entry while another one stops"},

	{name: "withdraw", prepare: triggerAfterStopBegins("withdraw", 10*time.Millisecond), detection: "10 ms after a planned stop began"},
	{name: "drain", prepare: triggerAfterStopBegins("drain", 2*time.Second), detection: "2 s after a planned stop began"},
	{name: "exit", prepare: triggerAfterStopBegins("exit", 5*time.Second), detection: "5 s after a planned stop began, which is the addresses' max-age"},
}

// growLog makes the log grow until it is compacted.
func growLog(cell *cell) {
	time.Sleep(time.Second)
	for changeNumber := range 100 {
		if cell.hasFired() {
			return
		}
		cell.changeQueueLimit(changeNumber, extraRoutes)
	}
}

// restartLastEntry performs a planned stop of the last entry and starts it again.
func restartLastEntry(cell *cell) {
	cell.stopAndRestart(len(cell.tier.Entries()) - 1)
}

// triggerAfterStopBegins returns a step's prepare function. It begins a planned stop of
// the last entry, and reaches the named step after the given time.
func triggerAfterStopBegins(name string, wait time.Duration) func(cell *cell) {
	return func(cell *cell) {
		cell.running.Go(func() { restartLastEntry(cell) })
		time.Sleep(wait)
		cell.stepReached(name)
	}
}
