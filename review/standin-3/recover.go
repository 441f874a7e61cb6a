// RECOVER: after a final fault, leafs that started again under their ids are not used again.

package main

import (
	"fmt"
	"syscall"
	"time"
)

func runRecover(record *record, folder string, trouble bool) bool {
	system := newSystem(record, folder, 3)
	defer system.stop()
	if system.order("PUT", "/v1/config", manifest(1, "kafi81c", "safe"), 20*time.Second) == nil {
		cannotRun("the first manifest wasn't acknowledged")
	}
	ignore := func(arrival) {}
	// The leafs announce themselves to the first control machine.
	const announcedTo, withdrawnAt = 0, 1
	var leafs []*leaf
	for index, zone := range zones {
		leaf := startLeaf(system, fmt.Sprintf("i-7f3a91c%d", index), "kafi81c", zone, "", announcedTo, 20*time.Millisecond, ignore)
		leafs = append(leafs, leaf)
		go leaf.announce()
	}
	system.awaitReady(20 * time.Second)
	time.Sleep(3 * time.Second)
	load := startLoad(system, 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	// A planned release: one leaf after the other withdraws, serves on for the drain span and a little longer, exits and starts
	// again under its id.
	for index, old := range leafs {
		old.withdraw(withdrawnAt)
		time.Sleep(drainSpan + 300*time.Millisecond)
		old.exit()
		time.Sleep(200 * time.Millisecond)
		leafs[index] = startLeaf(system, old.id, old.service, old.zone, old.address, announcedTo, old.work, ignore)
		go leafs[index].announce()
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	beforeTo := time.Now()
	beforeFrom := beforeTo.Add(-2 * time.Second)
	acknowledged := system.order("PUT", "/v1/config", manifest(2, "kafi81c", "safe"), 10*time.Second)
	if acknowledged == nil {
		cannotRun("the second manifest wasn't acknowledged")
	}
	if trouble {
		// The final fault: a machine of the core loses its disk, and all other machines that count lose power.
		for _, control := range system.controls {
			go control.end(syscall.SIGKILL)
		}
		time.Sleep(900 * time.Millisecond)
		system.controls[2].wipe()
		for _, control := range system.controls {
			control.start(false)
		}
	}
	backAt := time.Now()
	from := backAt.Add(recoverySpan)
	time.Sleep(time.Until(from.Add(10 * time.Second)))
	answers := load.end()
	sentBefore, servedBefore := served(answers, beforeFrom, beforeTo)
	sent, servedAfter := served(answers, from, time.Now())
	for _, leaf := range leafs {
		leaf.exit()
	}
	record.write("served %d of %d requests in the 2 s before the final fault, and %d of %d later than %v after the machines were back", servedBefore, sentBefore, servedAfter, sent, recoverySpan)
	if sentBefore == 0 || sent == 0 || 4*servedBefore < sentBefore {
		cannotRun("too little was served before the final fault")
	}
	return 4*servedAfter < sent
}
