package faults_test

import (
	"net"
	"strings"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// step is a moment of the system's work. It is reached by traffic, by a
	// run, or by what the harness does.
	step struct {
		name    string
		traffic func(cell *cell, traffic standin.Traffic) bool
		running func(run *target.Run) bool
		file    fileOperation
		// prepare makes the system come to the step.
		prepare func(cell *cell)
		// moment says how the step is found where it has no hook of its own.
		moment string
	}

	role int

	// fileOperation is what control does to a file.
	fileOperation int
)

const (
	written fileOperation = iota + 1
	synced
	created
)

const (
	replicaChange = "replica change"
)

const (
	client role = iota
	entryCaller
	entryPeer
	controlPeer
	targetHTTP
	back
)

// roles returns the roles of the sender and of the address sent to. Addresses
// are as internal/tier gives them.
func roles(traffic standin.Traffic) (from, to role) {
	host, port, _ := net.SplitHostPort(traffic.To)
	return roleOf(traffic.From, "90"), roleOf(host, port)
}

func roleOf(ip, port string) role {
	parts := strings.Split(ip, ".")
	switch {
	case parts[1] == "0":
		return client
	case parts[2] == "0":
		return controlPeer
	case parts[2] == "1" && port == "80":
		return entryCaller
	case parts[2] == "1":
		return entryPeer
	}
	return targetHTTP
}

func between(from, to role, answering bool, during ...activity) func(cell *cell, traffic standin.Traffic) bool {
	return func(cell *cell, traffic standin.Traffic) bool {
		for _, activity := range during {
			if cell.activity[activity] == 0 {
				return false
			}
		}
		sender, receiver := roles(traffic)
		_, port, _ := net.SplitHostPort(traffic.To)
		return !traffic.Opening && sender == from && receiver == to && (port == "0") == answering
	}
}

var steps = []step{
	{name: "address lookup"},
	{name: "accept", traffic: between(client, entryCaller, false)},
	{name: "run right", traffic: between(entryPeer, controlPeer, false, filing), moment: "an entry sends to control while a filing is in progress"},
	{name: "fan-out", traffic: between(entryPeer, entryPeer, false)},
	{name: "home queue", prepare: func(cell *cell) {
		for range 8 {
			cell.running.Go(func() { cell.search(0, nil) })
		}
		time.Sleep(shape.ToClients + 5*time.Millisecond)
		cell.now("home queue")
	}, moment: "eight searches at once are at work on two slots a target"},
	{name: "connect", prepare: func(cell *cell) { cell.network.Break(cell.tier.Targets()[0].IP()) }, traffic: func(_ *cell, traffic standin.Traffic) bool {
		from, to := roles(traffic)
		return traffic.Opening && from == entryPeer && to == targetHTTP
	}},
	{name: "write", traffic: between(entryPeer, targetHTTP, false)},
	{name: "run", running: func(*target.Run) bool { return true }},
	{name: "answer", traffic: between(targetHTTP, entryPeer, true)},
	{name: "merge", traffic: between(entryPeer, entryPeer, true), moment: "a home's report is on its way to the coordinator"},
	{name: "reply", traffic: between(entryPeer, client, true)},

	{name: "propose", traffic: between(client, controlPeer, false, changing)},
	{name: "append", file: written},
	{name: "sync", file: synced},
	{name: "replicate", traffic: between(controlPeer, controlPeer, false, changing)},
	{name: "commit", traffic: between(controlPeer, controlPeer, true, changing), moment: "a follower's first message back after the proposal"},
	{name: "apply", traffic: between(controlPeer, client, true, changing), moment: "control replies to the operator"},
	{name: "compact", prepare: manyChanges, file: created},
	{name: replicaChange, prepare: func(cell *cell) { _ = cell.changeOfReplica() }, traffic: between(controlPeer, controlPeer, false, replacing), moment: "a new replica is added, then the leader removed"},

	{name: "announce", prepare: func(cell *cell) { cell.leave() }, traffic: between(targetHTTP, entryCaller, false, announcing)},
	{name: "renew", traffic: between(targetHTTP, entryCaller, false)},
	{name: "spread", prepare: func(cell *cell) { cell.leave() }, traffic: between(entryPeer, entryPeer, false, announcing)},
	{name: "expire", prepare: func(cell *cell) {
		cell.network.Down(cell.tier.Targets()[3].IP())
		time.Sleep(3 * time.Second)
		cell.now("expire")
	}, moment: "a target was lost 3 s ago, which is its TTL"},
	{name: "move of a home", prepare: stopEntry, traffic: between(controlPeer, entryPeer, true, stopping), moment: "control answers an entry while another one stops"},

	{name: "withdraw", prepare: stopEntryThen("withdraw", 10*time.Millisecond), moment: "10 ms after the planned stop began"},
	{name: "drain", prepare: stopEntryThen("drain", 2*time.Second), moment: "2 s after the planned stop began"},
	{name: "exit", prepare: stopEntryThen("exit", 5*time.Second), moment: "5 s after the planned stop began, which is the addresses' max-age"},
}

// manyChanges makes the log grow until it is compacted.
func manyChanges(cell *cell) {
	time.Sleep(time.Second)
	for number := range 100 {
		if cell.hasFired() {
			return
		}
		cell.repeatChange(number, manyRoutes)
	}
}

func stopEntry(cell *cell) {
	cell.stop(len(cell.tier.Entries()) - 1)
}

func stopEntryThen(name string, wait time.Duration) func(cell *cell) {
	return func(cell *cell) {
		cell.running.Go(func() { stopEntry(cell) })
		time.Sleep(wait)
		cell.now(name)
	}
}
