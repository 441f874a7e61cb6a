package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// begin starts a deployment with 6 frontends and 5 core machines, one leaf of a service in each zone, and a manifest
// with one route to it, and waits until the frontends are ready.
func begin(record *record, kind string, timeout time.Duration, attempts int, work time.Duration) (*system, []*leaf, error) {
	system, err := newSystem(record, layout{frontends: []int{2, 2, 2}, cores: []int{2, 2, 1}})
	if err != nil {
		return system, nil, err
	}
	var leafs []*leaf
	for _, zone := range zones {
		leaf, err := newLeaf(system, "i-"+zone, "ledger", zone, work)
		if err != nil {
			return system, leafs, err
		}
		leafs = append(leafs, leaf)
	}
	if status, _, err := system.order(http.MethodPut, "/v1/config", manifest(3, kind, timeout, attempts, "ledger"), system.cores, 20*time.Second); err != nil || status != 200 {
		return system, leafs, fmt.Errorf("manifest: %d %v", status, err)
	}
	if err := system.awaitReady(20 * time.Second); err != nil {
		return system, leafs, err
	}
	time.Sleep(7 * time.Second)
	return system, leafs, nil
}

// stop stops one frontend by SIGTERM while consumers that hold an answer of the directory send to it.
func stop(record *record, trouble bool) (int, error) {
	system, leafs, err := begin(record, "unsafe", 6*time.Second, 2, 2300*time.Millisecond)
	if system != nil {
		defer system.end()
	}
	if err != nil {
		return couldNot, err
	}
	stopped := system.frontends[0]
	addresses, ttl, err := system.resolve(system.frontends[1], "one.example", stopped.zone)
	if err != nil {
		return couldNot, err
	}
	record.note("the directory names %v for %v s", addresses, ttl)
	named := false
	for _, address := range addresses {
		named = named || address == stopped.address(frontendPort)
	}
	if !named || ttl < 3.5 {
		return couldNot, fmt.Errorf("the directory doesn't name %s for 3.5 s", stopped.name)
	}
	stopAt := time.Now()
	if trouble {
		system.signal(stopped, syscall.SIGTERM)
	}
	var consumers sync.WaitGroup
	var lock sync.Mutex
	var answers []answer
	for number := range 5 {
		consumers.Go(func() {
			time.Sleep(time.Until(stopAt.Add(3050*time.Millisecond + time.Duration(number)*100*time.Millisecond)))
			result := system.send(stopped, http.MethodPost, "one.example", "/one/7", 6*time.Second, []byte("order"), newID())
			lock.Lock()
			answers = append(answers, result)
			lock.Unlock()
		})
	}
	time.Sleep(time.Until(stopAt.Add(6 * time.Second)))
	if trouble {
		select {
		case <-stopped.done:
			record.note("%s has ended", stopped.name)
		default:
			system.signal(stopped, syscall.SIGKILL)
		}
	}
	consumers.Wait()
	runs := map[string]int{}
	for _, leaf := range leafs {
		for _, run := range leaf.takenRuns() {
			runs[run.id]++
		}
	}
	lost, passed := 0, 0
	for _, answer := range answers {
		if runs[answer.id] == 0 {
			continue
		}
		passed++
		if answer.status == 0 || answer.err != nil {
			lost++
			record.note("LOST: %s was sent %.2f s after the SIGTERM, was passed on to a leaf, and its connection ended %.2f s after the SIGTERM without an answer: %v",
				answer.id, answer.sentAt.Sub(stopAt).Seconds(), answer.at.Sub(stopAt).Seconds(), answer.err)
		}
	}
	fmt.Printf("%d of %d requests that were passed on to a leaf have no answer\n", lost, passed)
	record.note("%d of %d requests that were passed on to a leaf have no answer", lost, passed)
	if lost > 0 {
		return broken, nil
	}
	if passed == 0 && !trouble {
		return couldNot, fmt.Errorf("no request was passed on")
	}
	return held, nil
}
