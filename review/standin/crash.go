package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// leafDown is how long a leaf that has crashed is down, and resendGap how long after its return the request comes again.
	leafDown  = 2 * time.Second
	resendGap = 2 * time.Second
)

// crash sends a request again and again that crashes the leaf which runs it. Its route may be served in one region only,
// where the service has one leaf, and the leaf starts again under the ID that it had.
func crash(record *record, trouble bool) (int, error) {
	system, leafs, err := begin(record, "safe", 3*time.Second, 2, 20*time.Millisecond)
	if system != nil {
		defer system.end()
	}
	if err != nil {
		return couldNot, err
	}
	homes := bytes.Replace(manifest(5, "safe", 3*time.Second, 2, "ledger"), []byte(`"allowed-regions":[]`), []byte(`"allowed-regions":["ouest"]`), 1)
	if status, _, err := system.order(http.MethodPut, "/v1/config", homes, system.cores, 6*time.Second); err != nil || status != 200 {
		return couldNot, fmt.Errorf("manifest: %d %v", status, err)
	}
	time.Sleep(4 * time.Second)

	const uri = "/one/harmful"
	var lock sync.Mutex
	var crashes, arrivals []time.Time
	current := leafs[2]
	handle := func(leaf *leaf, started *run, connection net.Conn) {
		leaf.began(started)
		if started.uri != uri || !trouble {
			if started.uri == uri {
				lock.Lock()
				arrivals = append(arrivals, started.at)
				lock.Unlock()
			}
			time.Sleep(leaf.work)
			leaf.succeed(started, connection)
			return
		}
		lock.Lock()
		arrivals, crashes = append(arrivals, started.at), append(crashes, started.at)
		lock.Unlock()
		record.note("%s crashes as it begins to run %s", leaf.id, started.id)
		leaf.close()
	}
	for _, leaf := range leafs {
		leaf.handle = handle
	}
	until := time.Now().Add(60 * time.Second)
	for time.Now().Before(until) {
		frontend := system.frontends[rand.IntN(len(system.frontends))]
		system.send(frontend, http.MethodPost, "one.example", uri, 3*time.Second, []byte("the same body"), newID())
		lock.Lock()
		crashed := len(crashes)
		lock.Unlock()
		if trouble && crashed > 0 && current.closed() {
			time.Sleep(leafDown)
			if current, err = restartLeaf(current); err != nil {
				return couldNot, err
			}
			record.note("%s has started again under its ID", current.id)
		}
		time.Sleep(resendGap)
	}
	lock.Lock()
	defer lock.Unlock()
	late := 0
	if len(crashes) >= 3 {
		from := crashes[2].Add(contactSpan)
		for _, at := range arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	summary := fmt.Sprintf("%d arrivals, %d crashes; %d arrivals later than contact-ms after the third crash", len(arrivals), len(crashes), late)
	record.note("%s", summary)
	fmt.Println(summary)
	if len(arrivals) == 0 {
		return couldNot, fmt.Errorf("the request reached no leaf")
	}
	if late > 3 {
		return broken, nil
	}
	return held, nil
}

// closed reports whether the leaf has ended.
func (leaf *leaf) closed() bool {
	select {
	case <-leaf.stop:
		return true
	default:
		return false
	}
}

// restartLeaf starts a leaf that has ended again, at its address and under its ID.
func restartLeaf(ended *leaf) (*leaf, error) {
	listener, err := net.Listen("tcp", ended.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	restarted := &leaf{
		system: ended.system, id: ended.id, service: ended.service, zone: ended.zone, born: time.Now().UnixMilli(), listener: listener,
		capacity: ended.capacity, work: ended.work, handle: ended.handle, stop: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	restarted.state.Store("ready")
	go restarted.accept()
	go restarted.announce()
	return restarted, nil
}
