package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/control"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// poolLookups and homeLookups are the numbers of lookups over which the cost of one
	// is averaged.
	poolLookups = 200
	homeLookups = 2000
)

func announcement(number int) target.Announcement {
	return target.Announcement{
		ID: fmt.Sprintf("leafs-%05d", number), Address: fmt.Sprintf("10.1.%d.%d:8080", number/250, number%250),
		Pool: fmt.Sprintf("leafs-%d", number/550), FailureDomain: fmt.Sprintf("domain-%d", number%8),
		Layout: "layout-1", Shards: 550, Shard: number % 550, Incarnation: 1, Revision: 1, State: target.Warm,
		IndexVersions: []uint64{41, 42}, TTL: duration.Of(time.Minute),
	}
}

// measureDirectory measures the memory and the encoded size of the directory by
// its number of targets.
func measureDirectory(context.Context) ([]*series, error) {
	memory := &series{name: "memory of the directory", sizeName: "target", costUnit: "KiB"}
	encoded := &series{name: "bytes of a full directory exchange", sizeName: "target", costUnit: "KiB"}
	for _, size := range []int{1000, 4000, 12000} {
		var all []target.Announcement
		before := heapBytes()
		directory := new(blackboard.Directory)
		for number := range size {
			directory.Merge([]blackboard.Record{{Announcement: announcement(number), Keeper: "entry-1"}})
		}
		memory.add(float64(size), float64(heapBytes()-before)/1024)
		all = directory.All()
		data, err := msgpack.Marshal(all)
		if err != nil {
			return nil, errors.Wrap(err, "encode directory")
		}
		encoded.add(float64(size), float64(len(data))/1024)
		runtime.KeepAlive(directory)
	}
	return []*series{memory, encoded}, nil
}

// measureLookups measures the lookups of each request: the pool's targets in a
// directory of all pools, and a target's home in the view.
func measureLookups(context.Context) ([]*series, error) {
	pool := &series{name: "looking up one pool's 550 targets", sizeName: "target in the directory", costUnit: "µs"}
	for _, size := range []int{1100, 4400, 12100} {
		directory := new(blackboard.Directory)
		for number := range size {
			directory.Merge([]blackboard.Record{{Announcement: announcement(number), Keeper: "entry-1"}})
		}
		before := processorTime()
		for range poolLookups {
			directory.Pool("leafs-1")
		}
		pool.add(float64(size), float64((processorTime()-before).Microseconds())/poolLookups)
	}
	home := &series{name: "finding one target's home", sizeName: "entry in the view", costUnit: "µs"}
	for _, size := range []int{6, 60, 600, 1600} {
		placement := membership.NewPlacement(view(size))
		before := processorTime()
		for number := range homeLookups {
			placement.Home(fmt.Sprintf("leafs-%05d", number), "domain-1")
		}
		home.add(float64(size), float64((processorTime()-before).Microseconds())/homeLookups)
	}
	return []*series{pool, home}, nil
}

func view(size int) membership.View {
	view := membership.View{Number: 1}
	for number := range size {
		view.Members = append(view.Members, membership.Member{
			ID: fmt.Sprintf("entry-%04d", number), PeerAddress: fmt.Sprintf("10.0.%d.%d:9080", number/250, number%250),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", number/250, number%250),
			FailureDomain: fmt.Sprintf("domain-%d", number%8), Region: fmt.Sprintf("region-%d", number%3), Incarnation: uint64(number),
		})
	}
	return view
}

// measureControl measures the encoded size of a lease with a view, as control
// sends it to an entry, by the number of entries.
func measureControl(context.Context) ([]*series, error) {
	encoded := &series{name: "bytes of a lease that carries a view", sizeName: "entry", costUnit: "B"}
	for _, size := range []int{6, 60, 600, 1600} {
		view := view(size)
		data, err := msgpack.Marshal(&control.Lease{Duration: control.LeaseDuration, TablesVersion: 1, View: &view, SettledView: 1})
		if err != nil {
			return nil, errors.Wrap(err, "encode lease")
		}
		encoded.add(float64(size), float64(len(data)))
	}
	return []*series{encoded}, nil
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
