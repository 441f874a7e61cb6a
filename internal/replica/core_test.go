package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

const (
	simulationStep = 5 * time.Millisecond
)

type (
	// simulation runs cores on a network that loses and delays messages, and on disks and VMs that
	// fail.
	simulation struct {
		t        *rapid.T
		random   *rand.Rand
		now      time.Time
		nodes    []*node
		peers    []string
		inFlight []inFlight
		cuts     map[[2]string]bool
		lossRate float64
		// noDelay delivers each message within a step.
		noDelay bool
		// deadConnections holds until when messages from one address to another are lost, because they go out on a connection to
		// the process before; see losePower.
		deadConnections map[[2]string]time.Time
		sizes           sizes
		// selfManaged groups take in replicas without an operator, and their replicas join a group once the first one exists.
		selfManaged bool
		joinOnly    bool
		// nextLoss is the earliest time of the next loss of a disk or a machine.
		nextLoss time.Time
		// memberChanges counts the changes of members that leaders made.
		memberChanges int

		leaders     map[uint64]string
		committed   map[uint64]string
		diskHistory diskHistory
		// firstApplier is the node that was the first to apply the newest entry.
		firstApplier     *node
		acceptedCommands []string
		nextNumber       int
		// highestCommitted is the highest index that was applied, highestTerm the highest term that
		// had a leader, and confirmedReads the number of confirmed reads.
		highestCommitted uint64
		highestTerm      uint64
		confirmedReads   int
	}

	// inFlight is a message on the network.
	inFlight struct {
		envelope  envelope
		arrivesAt time.Time
	}

	// node is one VM. Its disk outlives its core.
	node struct {
		address   string
		clockRate float64
		core      *core
		disk      durableState
		// earlierDisks are copies of the disk made at its restarts.
		earlierDisks []durableState
		// machine holds the commands that the state machine has applied, and ownProposals those that
		// this node's core has proposed as leader, by index.
		machine      []string
		ownProposals map[uint64]string
		// stagesToCrash, if not 0, counts down the stages of flushes to a crash.
		stagesToCrash int
		// crashBeforeWrite crashes the node before it writes the next entries.
		crashBeforeWrite bool
		// outdated is true if the disk was reset to an earlier state.
		outdated bool
		// pendingReads are the reads that are not confirmed yet.
		pendingReads []simulatedRead
		// frozen stops the node and its clock from frozenAt on. frozenFor is the total time that
		// the clock has stood still in earlier freezes.
		frozen    bool
		frozenAt  time.Time
		frozenFor time.Duration
	}
)

var simulationStart = time.Unix(1000, 0)

func init() {
	// Run the same cases every time, unless flags on the command line override them.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "120", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestCoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, false)
		simulation.run(5 * time.Second)
		actions := rapid.SliceOfN(rapid.Custom(drawAction), 30, 90).Draw(t, "actions")
		for _, action := range actions {
			simulation.perform(action)
		}
		simulation.checkRecovery()
	})
}

// Guards against a self-managed group that keeps a live replica out, or that changes its members without end, after any series of
// lost messages, disks and machines.
func TestSelfManagedCoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, true)
		simulation.run(5 * time.Second)
		simulation.joinOnly = true
		actions := rapid.SliceOfN(rapid.Custom(drawSelfManagedAction), 30, 90).Draw(t, "actions")
		for _, action := range actions {
			simulation.perform(action)
		}
		simulation.checkMembership()
		simulation.checkRecovery()
	})
}

type action struct {
	kind, node, other, size int
}

func drawAction(t *rapid.T) action { return drawActionUpTo(t, 25) }

func drawSelfManagedAction(t *rapid.T) action { return drawActionUpTo(t, 29) }

func drawActionUpTo(t *rapid.T, highestKind int) action {
	return action{
		kind: rapid.IntRange(0, highestKind).Draw(t, "kind"), node: rapid.IntRange(0, maximumNodes-1).Draw(t, "node"),
		other: rapid.IntRange(0, maximumNodes-1).Draw(t, "other"), size: rapid.IntRange(1, 300).Draw(t, "size"),
	}
}

func newSimulation(t *rapid.T, selfManaged bool) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	simulation := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: simulationStart, cuts: map[[2]string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]string{}, diskHistory: newDiskHistory(), sizes: drawSizes(t),
		selfManaged: selfManaged, deadConnections: map[[2]string]time.Time{},
	}
	count := rapid.SampledFrom([]int{3, 3, 3, maximumNodes}).Draw(t, "replicas")
	for number := range count {
		simulation.peers = append(simulation.peers, fmt.Sprint("a", number))
	}
	// In half of the simulations one clock runs as slow as allowed and all others as fast.
	slow := rapid.IntRange(-count, count-1).Draw(t, "slow clock")
	for number := range count {
		node := &node{address: fmt.Sprint("a", number), clockRate: 0.99 + 0.02*simulation.random.Float64()}
		switch {
		case slow == number:
			node.clockRate = 0.99
		case slow >= 0:
			node.clockRate = 1.01
		}
		simulation.nodes = append(simulation.nodes, node)
		simulation.startEmpty(node)
	}
	return simulation
}

func (simulation *simulation) perform(action action) {
	node := simulation.nodes[action.node%len(simulation.nodes)]
	other := simulation.nodes[action.other%len(simulation.nodes)]
	switch action.kind {
	case 0, 1, 2, 3:
		simulation.run(time.Duration(action.size) * 5 * time.Millisecond)
	case 4, 5, 6:
		for range 1 + action.size/50 {
			simulation.propose(node)
		}
	case 7:
		simulation.cuts[[2]string{node.address, other.address}] = true
	case 8:
		clear(simulation.cuts)
		simulation.lossRate = 0
	case 9:
		simulation.lossRate = float64(action.size) / 600
	case 10:
		node.stagesToCrash = 1 + action.size%7
	case 11:
		simulation.crash(node)
	case 12, 13:
		simulation.restart(node)
	case 14, 15, 16, 17:
		simulation.performStateChange(node, other, &action)
	case 26, 27:
		simulation.losePower(node, time.Duration(action.size)*8*time.Millisecond)
	case 28, 29:
		simulation.replaceMachine(node, time.Duration(action.size)*8*time.Millisecond)
	default:
		simulation.runScenario(&action)
	}
}

func (simulation *simulation) run(span time.Duration) {
	for end := simulation.now.Add(span); simulation.now.Before(end); {
		simulation.now = simulation.now.Add(simulationStep)
		var arrived, later []inFlight
		for _, inFlight := range simulation.inFlight {
			if inFlight.arrivesAt.After(simulation.now) {
				later = append(later, inFlight)
			} else {
				arrived = append(arrived, inFlight)
			}
		}
		simulation.inFlight = later
		simulation.random.Shuffle(len(arrived), func(i, j int) { arrived[i], arrived[j] = arrived[j], arrived[i] })
		for _, inFlight := range arrived {
			// Messages that arrive together may share one write to the disk.
			simulation.deliver(inFlight.envelope, simulation.random.IntN(2) == 0)
		}
		for _, node := range simulation.nodes {
			if node.core == nil || node.frozen {
				continue
			}
			node.core.step(simulation.clock(node), ticked{})
			simulation.flush(node)
			if simulation.random.IntN(20) == 0 {
				simulation.startRead(node)
			}
		}
	}
}

func (simulation *simulation) deliver(envelope envelope, flush bool) {
	for _, node := range simulation.nodes {
		if node.address != envelope.toAddress || node.core == nil {
			continue
		}
		if node.frozen {
			simulation.inFlight = append(simulation.inFlight, inFlight{envelope: envelope, arrivesAt: simulation.now.Add(simulationStep)})
			continue
		}
		node.core.step(simulation.clock(node), messageReceived{envelope: reencode(envelope)})
		if flush {
			simulation.flush(node)
		}
	}
}

// reencode encodes an envelope and decodes it again.
func reencode(sent envelope) envelope {
	encoded, err := msgpack.Marshal(sent.wire())
	if err != nil {
		panic(err)
	}
	var wire wireEnvelope
	if err := msgpack.Unmarshal(encoded, &wire); err != nil {
		panic(err)
	}
	decoded, err := wire.envelope()
	if err != nil {
		panic(err)
	}
	return decoded
}

func (simulation *simulation) send(envelopes []envelope) {
	for _, envelope := range envelopes {
		simulation.checkVote(&envelope)
		for copies := 1 + simulation.random.IntN(20)/19; copies > 0; copies-- {
			link := [2]string{envelope.fromAddress, envelope.toAddress}
			if simulation.cuts[link] || simulation.now.Before(simulation.deadConnections[link]) || simulation.random.Float64() < simulation.lossRate {
				continue
			}
			delay := time.Duration(simulation.random.IntN(20)) * time.Millisecond
			if simulation.lossRate > 0 && simulation.random.IntN(10) == 0 {
				delay *= 100
			}
			if simulation.noDelay {
				delay = 0
			}
			simulation.inFlight = append(simulation.inFlight, inFlight{envelope: envelope, arrivesAt: simulation.now.Add(delay)})
		}
	}
}

// crashesAtStage counts down a stage of a flush and reports whether the node crashed at it.
func (simulation *simulation) crashesAtStage(node *node) bool {
	if node.stagesToCrash == 0 {
		return false
	}
	node.stagesToCrash--
	if node.stagesToCrash > 0 {
		return false
	}
	simulation.crash(node)
	return true
}

// flush performs the outputs of a node's core until there are none left or the node crashes.
func (simulation *simulation) flush(node *node) {
	for node.core != nil {
		out := node.core.drainOutput()
		simulation.memberChanges += len(out.memberChanges)
		simulation.send(out.immediate)
		if simulation.crashesAtStage(node) || simulation.crashesAtWrite(node, &out) {
			return
		}
		if out.reset {
			simulation.startEmpty(node)
			return
		}
		wrote := simulation.persist(node, &out)
		if simulation.crashesAtStage(node) {
			return
		}
		if wrote {
			node.core.step(simulation.clock(node), synced{})
		}
		simulation.send(out.afterSync)
		simulation.apply(node, &out)
		simulation.check(node)
		if !wrote && len(out.immediate)+len(out.afterSync)+len(out.toApply) == 0 {
			return
		}
	}
}

// persist writes the records of an output to a node's disk, and reports whether there were any.
func (simulation *simulation) persist(node *node, out *output) bool {
	simulation.recordWrites(node, out)
	if out.rewriteAll {
		node.disk = clone(node.core.durableState())
		return true
	}
	if out.hard != nil {
		node.disk.hard = *out.hard
	}
	if len(out.entries) > 0 {
		log := entryLog{offset: node.disk.snapshot.Index, offsetTerm: node.disk.snapshot.Term, entries: node.disk.entries}
		log.append(out.entries...)
		node.disk.entries = log.entries
	}
	return out.hard != nil || len(out.entries) > 0
}

func clone(state *durableState) durableState {
	cloned := *state
	cloned.entries = slices.Clone(state.entries)
	return cloned
}

func (simulation *simulation) apply(node *node, out *output) {
	if out.restore != nil {
		node.machine = nil
		if len(out.restore.Data) > 0 {
			node.machine = strings.Split(string(out.restore.Data), "\n")
		}
	}
	for _, applied := range out.toApply {
		description := fmt.Sprintf("%d %d %s", applied.Term, applied.Kind, applied.Data)
		if before, known := simulation.committed[applied.Index]; known && before != description {
			simulation.t.Fatalf("entry %d changed from %q to %q at %s", applied.Index, before, description, node.core.id)
		}
		if _, known := simulation.committed[applied.Index]; !known {
			simulation.firstApplier = node
			simulation.checkQuorumDurable(node, &applied)
		}
		simulation.committed[applied.Index] = description
		simulation.highestCommitted = max(simulation.highestCommitted, applied.Index)
		if applied.Kind == entryCommand {
			node.machine = append(node.machine, string(applied.Data))
			if node.ownProposals[applied.Index] == string(applied.Data) {
				simulation.acceptedCommands = append(simulation.acceptedCommands, string(applied.Data))
			}
		}
	}
}

// check records a node that leads, and checks the invariants of leaders, new voters and reads.
func (simulation *simulation) check(node *node) {
	core := node.core
	if core.role == roleLeader {
		if before, known := simulation.leaders[core.Term]; known && before != core.id {
			simulation.t.Fatalf("%s and %s both lead term %d, expected one leader", before, core.id, core.Term)
		}
		simulation.leaders[core.Term] = core.id
		simulation.highestTerm = max(simulation.highestTerm, core.Term)
	}
	simulation.checkNewVoters(node)
	simulation.checkReads(node)
}

// checkRecovery ends all faults. Then the group must accept commands and confirm reads, and every
// node must hold every accepted command exactly once.
func (simulation *simulation) checkRecovery() {
	clear(simulation.cuts)
	simulation.lossRate = 0
	for _, node := range simulation.nodes {
		node.stagesToCrash = 0
		simulation.restart(node)
	}
	simulation.run(30 * time.Second)
	if !simulation.selfManaged {
		simulation.readdRemoved()
	}
	acceptedBefore, confirmedReads := len(simulation.acceptedCommands), simulation.confirmedReads
	for _, node := range simulation.nodes {
		simulation.propose(node)
	}
	simulation.run(2 * time.Second)
	if len(simulation.acceptedCommands) != acceptedBefore+1 {
		for _, node := range simulation.nodes {
			simulation.t.Logf("%s: term %d role %d disk verified %t commit %d durable %d log %v members %v", node.core.id, node.core.Term, node.core.role, node.core.diskVerified, node.core.commit, node.core.durable, node.core.log, node.core.members())
		}
		simulation.t.Fatalf("the group accepted no command or several after the faults ended, expected exactly one")
	}
	if simulation.confirmedReads == confirmedReads {
		simulation.t.Fatalf("the group confirmed no read after the faults ended, expected at least one")
	}
	for _, node := range simulation.nodes {
		for _, command := range simulation.acceptedCommands {
			if count := countOf(node.machine, command); count != 1 {
				simulation.t.Fatalf("%s holds %q %d times, expected once", node.core.id, command, count)
			}
		}
		if !slices.Equal(node.machine, simulation.nodes[0].machine) {
			simulation.t.Fatalf("the state machines of %s and %s differ, expected them to be equal", node.core.id, simulation.nodes[0].core.id)
		}
	}
}

func countOf(list []string, searched string) int {
	count := 0
	for _, element := range list {
		if element == searched {
			count++
		}
	}
	return count
}
