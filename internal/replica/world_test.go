package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

func (world *world) propose(node *node) {
	if node.core == nil || !node.core.canPropose() {
		return
	}
	world.next++
	command := fmt.Sprint("command-", world.next)
	node.mine[node.core.log.last()+1] = command
	node.core.step(world.clock(node), proposed{commands: [][]byte{[]byte(command)}})
	world.flush(node)
}

// actOnState changes what a node holds, or who belongs to the group.
func (world *world) actOnState(node, other *node, action *action) {
	switch action.kind {
	case 14:
		if node.core != nil && node.core.applied > node.core.snapshot.Index {
			node.core.step(world.clock(node), snapshotTaken{index: node.core.applied, data: []byte(strings.Join(node.machine, "\n"))})
			world.flush(node)
		}
	case 15:
		world.lose(node, action.size%2 == 0)
	case 16:
		if node != other && node.core != nil && world.bearsRemoval(node, other) {
			world.change(node, removeAsked{id: other.disk.id})
		}
	case 17:
		world.change(node, addAsked{name: other.address, address: other.address})
	}
}

// bearsRemoval reports whether two others and a quorum of the new group have
// their disks. Without that, the two of the new group would be one.
func (world *world) bearsRemoval(leader, removed *node) bool {
	voters, alive := 0, 0
	for _, id := range leader.core.voters() {
		if id == removed.disk.id {
			continue
		}
		voters++
		if slices.ContainsFunc(world.nodes, func(holder *node) bool { return holder.disk.id == id && !holder.outdated }) {
			alive++
		}
	}
	return alive > max(1, voters/2)
}

// change asks a leader for a change of members.
func (world *world) change(node *node, asked input) {
	if node.core != nil && node.core.role == roleLeader {
		node.core.step(world.clock(node), asked)
		world.flush(node)
	}
}

// readmit empties the disks of replicas that were removed, and adds them anew.
func (world *world) readmit() {
	for _, node := range world.nodes {
		for _, leader := range world.nodes {
			if leader == node || leader.core.role != roleLeader || !leader.core.canChange() || leader.core.isMember(node.disk.id) {
				continue
			}
			world.begin(node)
			world.run(time.Second)
			world.change(leader, addAsked{name: node.address, address: node.address})
			world.run(2 * time.Second)
		}
	}
}

func (world *world) crash(node *node) {
	world.wake(node)
	node.core, node.crashIn, node.crashAtWrite, node.questions = nil, 0, false, nil
}

// begin starts a node on an empty disk.
func (world *world) begin(node *node) {
	world.next++
	node.core = world.newCore(node)
	node.core.proved = true
	node.core.raiseMark()
	node.core.start(world.clock(node))
	node.disk, node.earlier, node.machine, node.mine = clone(node.core.durableState()), nil, nil, map[uint64]string{}
	node.outdated, node.questions = false, nil
}

func (world *world) newCore(node *node) *core {
	return &core{
		id: fmt.Sprint(node.address, "#", world.next), address: node.address, peers: slices.Clone(world.peers), sizes: world.sizes,
		random: rand.New(rand.NewPCG(world.random.Uint64(), 1)),
	}
}

func (world *world) restart(node *node) {
	if node.core != nil {
		return
	}
	if len(node.disk.snapshot.Members)+len(node.disk.entries) == 0 {
		world.begin(node)
		return
	}
	node.earlier = append(node.earlier, clone(&node.disk))
	node.core = world.newCore(node)
	state := clone(&node.disk)
	node.core.load(&state)
	node.core.start(world.clock(node))
	node.machine, node.mine = nil, map[uint64]string{}
	world.flush(node)
}

// lose empties the disk of a node, or puts back an earlier state of it, where
// no quorum of any configuration loses its disks by that.
func (world *world) lose(victim *node, putBack bool) {
	lost := victim.disk.id
	for _, holder := range world.nodes {
		for _, members := range holder.configurations() {
			voters, alive := 0, 0
			for _, member := range members {
				if !member.Voter {
					continue
				}
				voters++
				if member.ID != lost && slices.ContainsFunc(world.nodes, func(holder *node) bool { return holder.disk.id == member.ID && !holder.outdated }) {
					alive++
				}
			}
			if alive <= voters/2 {
				return
			}
		}
	}
	if !putBack {
		world.begin(victim)
		return
	}
	// The others must know of a later mark. Where the only one that does is
	// lost as well, two of three have failed.
	for _, other := range world.nodes {
		if other != victim && (other.outdated || other.disk.hard.Marks[lost].Number < victim.disk.hard.Mark.Number) {
			return
		}
	}
	if len(victim.earlier) == 0 {
		return
	}
	earlier := victim.earlier
	world.crash(victim)
	victim.disk = clone(&earlier[world.random.IntN(len(earlier))])
	victim.outdated = true
	world.restart(victim)
}

func (node *node) configurations() [][]member {
	configurations := [][]member{}
	if len(node.disk.snapshot.Members) > 0 {
		configurations = append(configurations, node.disk.snapshot.Members)
	}
	for _, entry := range node.disk.entries {
		if members, err := decodeMembers(entry.Data); entry.Kind == entryMembers && err == nil {
			configurations = append(configurations, members)
		}
	}
	return configurations
}
