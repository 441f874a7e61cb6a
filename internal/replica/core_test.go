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
	worldStep = 5 * time.Millisecond
)

type (
	// world is some cores on a network and disks that lose, delay and crash.
	world struct {
		t      *rapid.T
		random *rand.Rand
		now    time.Time
		nodes  []*node
		peers  []string
		flying []flying
		cuts   map[[2]string]bool
		loss   float64
		// quick lets messages take no longer than a step.
		quick bool
		sizes sizes

		leaders   map[uint64]string
		committed map[uint64]string
		records   records
		// applied is the node that was the first to apply the newest entry.
		applied  *node
		accepted []string
		next     int
		// newestCommitted and newestTerm are the highest index that was applied
		// and the highest term that was led, and confirmed counts readings.
		newestCommitted uint64
		newestTerm      uint64
		confirmed       int
	}

	flying struct {
		parcel  parcel
		arrives time.Time
	}

	// node is one VM. Its disk outlives its core.
	node struct {
		address string
		rate    float64
		core    *core
		disk    durableState
		// earlier are copies of the disk taken at its starts.
		earlier []durableState
		machine []string
		mine    map[uint64]string
		// crashIn crashes the node at a stage of a later flush.
		crashIn int
		// crashAtWrite crashes it before it writes the next entries.
		crashAtWrite bool
		// outdated is a disk that went back to an earlier state.
		outdated bool
		// questions are the readings that wait.
		questions []question
		// frozen stops the node and its clock since frozenAt; before, the clock
		// stood for a while.
		frozen   bool
		frozenAt time.Time
		stood    time.Duration
	}
)

var worldStart = time.Unix(1000, 0)

func init() {
	// The same cases run every time; flags on the command line go before.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "120", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestCoreUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		world.run(5 * time.Second)
		actions := rapid.SliceOfN(rapid.Custom(drawAction), 30, 90).Draw(t, "actions")
		for _, action := range actions {
			world.act(action)
		}
		world.calm()
	})
}

type action struct {
	kind, node, other, size int
}

func drawAction(t *rapid.T) action {
	return action{
		kind: rapid.IntRange(0, 25).Draw(t, "kind"), node: rapid.IntRange(0, largestWorld-1).Draw(t, "node"),
		other: rapid.IntRange(0, largestWorld-1).Draw(t, "other"), size: rapid.IntRange(1, 300).Draw(t, "size"),
	}
}

func newWorld(t *rapid.T) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	world := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: worldStart, cuts: map[[2]string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]string{}, records: newRecords(), sizes: drawSizes(t),
	}
	count := rapid.SampledFrom([]int{3, 3, 3, largestWorld}).Draw(t, "replicas")
	for number := range count {
		world.peers = append(world.peers, fmt.Sprint("a", number))
	}
	// In half of the worlds one clock is as slow as allowed and all others as
	// fast.
	slow := rapid.IntRange(-count, count-1).Draw(t, "slow clock")
	for number := range count {
		node := &node{address: fmt.Sprint("a", number), rate: 0.99 + 0.02*world.random.Float64()}
		switch {
		case slow == number:
			node.rate = 0.99
		case slow >= 0:
			node.rate = 1.01
		}
		world.nodes = append(world.nodes, node)
		world.begin(node)
	}
	return world
}

func (world *world) act(action action) {
	node := world.nodes[action.node%len(world.nodes)]
	other := world.nodes[action.other%len(world.nodes)]
	switch action.kind {
	case 0, 1, 2, 3:
		world.run(time.Duration(action.size) * 5 * time.Millisecond)
	case 4, 5, 6:
		for range 1 + action.size/50 {
			world.propose(node)
		}
	case 7:
		world.cuts[[2]string{node.address, other.address}] = true
	case 8:
		clear(world.cuts)
		world.loss = 0
	case 9:
		world.loss = float64(action.size) / 600
	case 10:
		node.crashIn = 1 + action.size%7
	case 11:
		world.crash(node)
	case 12, 13:
		world.restart(node)
	case 14, 15, 16, 17:
		world.actOnState(node, other, &action)
	default:
		world.schedule(&action)
	}
}

func (world *world) run(span time.Duration) {
	for end := world.now.Add(span); world.now.Before(end); {
		world.now = world.now.Add(worldStep)
		var due, later []flying
		for _, flying := range world.flying {
			if flying.arrives.After(world.now) {
				later = append(later, flying)
			} else {
				due = append(due, flying)
			}
		}
		world.flying = later
		world.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, flying := range due {
			// What arrives together may share one write of the disk.
			world.deliver(flying.parcel, world.random.IntN(2) == 0)
		}
		for _, node := range world.nodes {
			if node.core == nil || node.frozen {
				continue
			}
			node.core.step(world.clock(node), ticked{})
			world.flush(node)
			if world.random.IntN(20) == 0 {
				world.ask(node)
			}
		}
	}
}

func (world *world) deliver(parcel parcel, flush bool) {
	for _, node := range world.nodes {
		if node.address != parcel.toAddress || node.core == nil {
			continue
		}
		if node.frozen {
			world.flying = append(world.flying, flying{parcel: parcel, arrives: world.now.Add(worldStep)})
			continue
		}
		node.core.step(world.clock(node), arrived{parcel: copyOf(parcel)})
		if flush {
			world.flush(node)
		}
	}
}

// copyOf carries a parcel over the wire format.
func copyOf(sent parcel) parcel {
	encoded, err := msgpack.Marshal(sent.wire())
	if err != nil {
		panic(err)
	}
	var wire wireParcel
	if err := msgpack.Unmarshal(encoded, &wire); err != nil {
		panic(err)
	}
	read, err := wire.parcel()
	if err != nil {
		panic(err)
	}
	return read
}

func (world *world) send(parcels []parcel) {
	for _, parcel := range parcels {
		world.noteVote(&parcel)
		for copies := 1 + world.random.IntN(20)/19; copies > 0; copies-- {
			if world.cuts[[2]string{parcel.fromAddress, parcel.toAddress}] || world.random.Float64() < world.loss {
				continue
			}
			delay := time.Duration(world.random.IntN(20)) * time.Millisecond
			if world.loss > 0 && world.random.IntN(10) == 0 {
				delay *= 100
			}
			if world.quick {
				delay = 0
			}
			world.flying = append(world.flying, flying{parcel: parcel, arrives: world.now.Add(delay)})
		}
	}
}

// crashes counts a stage of a flush and reports whether the node crashed.
func (world *world) crashes(node *node) bool {
	if node.crashIn == 0 {
		return false
	}
	node.crashIn--
	if node.crashIn > 0 {
		return false
	}
	world.crash(node)
	return true
}

func (world *world) flush(node *node) {
	for node.core != nil {
		out := node.core.take()
		world.send(out.early)
		if world.crashes(node) || world.crashesAtWrite(node, &out) {
			return
		}
		if out.reset {
			world.begin(node)
			return
		}
		wrote := world.persist(node, &out)
		if world.crashes(node) {
			return
		}
		if wrote {
			node.core.step(world.clock(node), synced{})
		}
		world.send(out.late)
		world.apply(node, &out)
		world.check(node)
		if !wrote && len(out.early)+len(out.late)+len(out.apply) == 0 {
			return
		}
	}
}

func (world *world) persist(node *node, out *output) bool {
	world.note(node, out)
	if out.rewrite {
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

func (world *world) apply(node *node, out *output) {
	if out.restore != nil {
		node.machine = nil
		if len(out.restore.Data) > 0 {
			node.machine = strings.Split(string(out.restore.Data), "\n")
		}
	}
	for _, applied := range out.apply {
		said := fmt.Sprintf("%d %d %s", applied.Term, applied.Kind, applied.Data)
		if before, known := world.committed[applied.Index]; known && before != said {
			world.t.Fatalf("entry %d changed from %q to %q at %s", applied.Index, before, said, node.core.id)
		}
		if _, known := world.committed[applied.Index]; !known {
			world.applied = node
			world.checkHolders(node, &applied)
		}
		world.committed[applied.Index] = said
		world.newestCommitted = max(world.newestCommitted, applied.Index)
		if applied.Kind == entryCommand {
			node.machine = append(node.machine, string(applied.Data))
			if node.mine[applied.Index] == string(applied.Data) {
				world.accepted = append(world.accepted, string(applied.Data))
			}
		}
	}
}

// check holds what must be true after every step.
func (world *world) check(node *node) {
	core := node.core
	if core.role == roleLeader {
		if before, known := world.leaders[core.Term]; known && before != core.id {
			world.t.Fatalf("%s and %s lead term %d", before, core.id, core.Term)
		}
		world.leaders[core.Term] = core.id
		world.newestTerm = max(world.newestTerm, core.Term)
	}
	world.checkCounted(node)
	world.checkReadings(node)
}

// calm ends all faults; the group must then serve, and every node must hold
// every accepted command once.
func (world *world) calm() {
	clear(world.cuts)
	world.loss = 0
	for _, node := range world.nodes {
		node.crashIn = 0
		world.restart(node)
	}
	world.run(30 * time.Second)
	world.readmit()
	before, confirmed := len(world.accepted), world.confirmed
	for _, node := range world.nodes {
		world.propose(node)
	}
	world.run(2 * time.Second)
	if len(world.accepted) != before+1 {
		for _, node := range world.nodes {
			world.t.Logf("%s: term %d role %d proved %t commit %d durable %d log %v members %v", node.core.id, node.core.Term, node.core.role, node.core.proved, node.core.commit, node.core.durable, node.core.log, node.core.members())
		}
		world.t.Fatalf("the group accepts nothing after the faults ended")
	}
	if world.confirmed == confirmed {
		world.t.Fatalf("the group confirms nothing after the faults ended")
	}
	for _, node := range world.nodes {
		for _, command := range world.accepted {
			if count := countOf(node.machine, command); count != 1 {
				world.t.Fatalf("%s holds %q %d times", node.core.id, command, count)
			}
		}
		if !slices.Equal(node.machine, world.nodes[0].machine) {
			world.t.Fatalf("the machines of %s and %s differ", node.core.id, world.nodes[0].core.id)
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
