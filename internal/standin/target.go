// A stand-in target for demo, tests and measurements. It serves the interface for targets
// and records the load it receives.

package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	renewalsPerTTL = 3
)

type (
	// Target is a stand-in target. Construct it with NewTarget and change its
	// behaviour at any time.
	Target struct {
		dial tcp.Dialer

		lock         sync.Mutex
		announcement target.Announcement
		behaviour    Behaviour
		server       *http.Server
		record       Record
		runningCount int
		// runsBySender counts the runs in progress by the IP address that sent them.
		runsBySender        map[string]int
		openConnectionCount int
		warm                bool
		// answeredCount is the number of answers since the start of the last cold start.
		answeredCount int
		// recentColdRuns holds the starts of the runs within the last second of cold start.
		recentColdRuns []time.Time
		// cancels holds the cancel functions of runs in progress by attempt ID. Nil
		// marks an attempt that was cancelled before it arrived.
		cancels map[string]context.CancelFunc
		// runEnded is closed and replaced whenever a run ends.
		runEnded chan struct{}
	}

	// Behaviour determines how a target behaves. The zero value answers at once
	// and has no limits.
	Behaviour struct {
		// RunDuration returns the duration of a run. If nil, runs take no time.
		RunDuration func(run *target.Run) time.Duration
		// Crashes reports whether a run crashes the target. If nil, none does.
		Crashes func(run *target.Run) bool
		// Corrupt corrupts a result before it is sent. If nil, results stay unchanged.
		Corrupt func(result *target.Result)
		// ColdSlots and ColdRunsPerSecond are the limits of a cold target, which
		// the promises check; zero disables the check. A target is warm after
		// WarmAfterRuns answers.
		ColdSlots         int
		ColdRunsPerSecond int
		WarmAfterRuns     int
		// ShedAbove is the number of concurrent runs above which the target sheds
		// runs; zero sheds none.
		ShedAbove int
	}

	// Record is the load that a target received.
	Record struct {
		// Peak and PeakCold are the highest numbers of concurrent runs, overall
		// and in cold start.
		Peak     int
		PeakCold int
		// PeakColdPerSecond is the highest number of runs that started within one
		// second of cold start.
		PeakColdPerSecond int
		PeakConnections   int
		// Runs counts the runs by request ID, without shed ones.
		Runs    map[string]int
		Crashes int
		Sheds   int
		Cancels int
		// PeakSenders is the highest number of IP addresses that had runs in
		// progress at the same time.
		PeakSenders int
		// LastRun is the time at which the latest run started.
		LastRun time.Time
		// Arrivals lists all runs that arrived at the target, shed ones included.
		Arrivals []Arrival
		// LeavingSince is the time at which the target's state changed to leaving,
		// or zero if it is not leaving.
		LeavingSince time.Time
	}

	// Arrival is one run as it arrived at a target.
	Arrival struct {
		At        time.Time
		RequestID string
		// From is the IP address that sent the run.
		From  string
		Shard int
		// Shed is true if the target refused the run without running it.
		Shed bool
	}

	// ResultPayload is the payload of a stand-in target's result. It identifies the run
	// and the target, so that answers can be checked against it.
	ResultPayload struct {
		RequestID    string `json:"request_id"`
		Target       string `json:"target"`
		Kind         string `json:"kind"`
		Shard        int    `json:"shard"`
		Shards       int    `json:"shards"`
		IndexVersion uint64 `json:"index_version"`
		Layout       string `json:"layout"`
	}
)

// NewTarget returns a target with the given announcement, which it sends through the dialer.
func NewTarget(announcement target.Announcement, behaviour Behaviour, dial tcp.Dialer) *Target {
	standin := &Target{
		dial: dial, announcement: announcement, behaviour: behaviour,
		runsBySender: map[string]int{},
		warm:         announcement.State == target.Warm, record: Record{Runs: map[string]int{}},
		cancels: map[string]context.CancelFunc{}, runEnded: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.RunPath, standin.run)
	mux.HandleFunc("POST "+target.CancelPath, standin.cancel)
	mux.HandleFunc("GET "+target.HealthPath, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) })
	standin.server = &http.Server{Handler: mux, ConnState: standin.trackConnection, ReadHeaderTimeout: time.Minute}
	return standin
}

// Serve answers runs until Stop.
func (standin *Target) Serve(listener net.Listener) error {
	err := standin.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop closes the target's server and connections immediately.
func (standin *Target) Stop() {
	_ = standin.server.Close()
}

// Announcement returns the target's current announcement.
func (standin *Target) Announcement() target.Announcement {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	return standin.announcement
}

// Change changes the target's announcement and increments its revision, but doesn't send it. It
// also records since when the target is leaving.
func (standin *Target) Change(change func(announcement *target.Announcement)) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	change(&standin.announcement)
	standin.announcement.Revision++
	if standin.announcement.State != target.Leaving {
		standin.record.LeavingSince = time.Time{}
	} else if standin.record.LeavingSince.IsZero() {
		standin.record.LeavingSince = time.Now()
	}
}

// Behave changes the target's behaviour.
func (standin *Target) Behave(change func(behaviour *Behaviour)) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	change(&standin.behaviour)
}

// Behaviour returns the target's current behaviour.
func (standin *Target) Behaviour() Behaviour {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	return standin.behaviour
}

// TurnCold puts the target back into cold start, as a new incarnation, without announcing it. To
// simulate a restart, the target's connections must be broken first, because no connection
// survives the end of its process.
func (standin *Target) TurnCold() {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.resetToCold()
}

// resetToCold begins a cold start. The lock must be held.
func (standin *Target) resetToCold() {
	standin.warm = false
	standin.answeredCount = 0
	standin.announcement.Incarnation++
	standin.announcement.Revision = 1
	standin.announcement.State = target.Cold
	standin.record.LeavingSince = time.Time{}
}

// Record returns a copy of the target's record.
func (standin *Target) Record() Record {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	record := standin.record
	record.Arrivals = slices.Clone(standin.record.Arrivals)
	record.Runs = map[string]int{}
	for requestID, runs := range standin.record.Runs {
		record.Runs[requestID] = runs
	}
	return record
}

func (standin *Target) trackConnection(_ net.Conn, state http.ConnState) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	switch state {
	case http.StateNew:
		standin.openConnectionCount++
		standin.record.PeakConnections = max(standin.record.PeakConnections, standin.openConnectionCount)
	case http.StateClosed, http.StateHijacked:
		standin.openConnectionCount--
	case http.StateActive, http.StateIdle:
	}
}

func (standin *Target) run(writer http.ResponseWriter, request *http.Request) {
	var run target.Run
	if err := json.NewDecoder(request.Body).Decode(&run); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	behaviour, shed := standin.admit(&run, from)
	if shed != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(shed)
		return
	}
	// The run doesn't end with the connection, because targets need not notice a
	// closed connection. Only a cancel or the deadline ends a run early.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(request.Context()), run.Deadline)
	defer cancel()
	defer standin.finish(&run, from)
	standin.register(&run, cancel)
	if behaviour.Crashes != nil && behaviour.Crashes(&run) {
		standin.crash(writer)
		return
	}
	if behaviour.RunDuration != nil && sleep(ctx, behaviour.RunDuration(&run)) != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(&target.Shed{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: target.ShedCancelled, Ran: true})
		return
	}
	result := standin.result(&run)
	if behaviour.Corrupt != nil {
		behaviour.Corrupt(result)
	}
	_ = json.NewEncoder(writer).Encode(result)
}

// result returns the result of a run, and counts it towards the end of cold start.
func (standin *Target) result(run *target.Run) *target.Result {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.answeredCount++
	if standin.answeredCount >= standin.behaviour.WarmAfterRuns {
		standin.warm = true
	}
	indexVersion := run.IndexVersion
	if indexVersion == 0 && len(standin.announcement.IndexVersions) > 0 {
		indexVersion = standin.announcement.IndexVersions[len(standin.announcement.IndexVersions)-1]
	}
	payload, _ := json.Marshal(&ResultPayload{
		RequestID: run.RequestID, Target: standin.announcement.ID, Kind: run.Kind,
		Shard: standin.announcement.Shard, Shards: standin.announcement.Shards,
		IndexVersion: indexVersion, Layout: standin.announcement.Layout,
	})
	return &target.Result{
		RequestID: run.RequestID, AttemptID: run.AttemptID, IndexVersion: indexVersion,
		Layout: standin.announcement.Layout, Shard: run.Shard, Payload: payload, Checksum: xxhash.Sum64(payload),
		Incarnation: standin.announcement.Incarnation, Leaving: standin.announcement.State == target.Leaving,
	}
}

// admit records the arrival of a run and admits or sheds it. For an admitted run, it returns the
// target's current behaviour and nil; otherwise, the reply that sheds the run.
func (standin *Target) admit(run *target.Run, from string) (Behaviour, *target.Shed) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	reason := standin.shedReason(run)
	standin.record.Arrivals = append(standin.record.Arrivals, Arrival{At: time.Now(), RequestID: run.RequestID, From: from, Shard: standin.announcement.Shard, Shed: reason != ""})
	if reason != "" {
		standin.record.Sheds++
		return Behaviour{}, &target.Shed{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: reason, Incarnation: standin.announcement.Incarnation}
	}
	standin.runningCount++
	standin.runsBySender[from]++
	standin.record.PeakSenders = max(standin.record.PeakSenders, len(standin.runsBySender))
	standin.record.Peak = max(standin.record.Peak, standin.runningCount)
	if !standin.warm {
		standin.record.PeakCold = max(standin.record.PeakCold, standin.runningCount)
		standin.recordColdRate()
	}
	standin.record.Runs[run.RequestID]++
	standin.record.LastRun = time.Now()
	return standin.behaviour, nil
}

// shedReason returns why the target sheds a run, or an empty text if it doesn't. The lock must be
// held.
func (standin *Target) shedReason(run *target.Run) target.ShedReason {
	announcement := &standin.announcement
	cancel, exists := standin.cancels[run.AttemptID]
	switch {
	case exists && cancel == nil:
		return target.ShedCancelled
	case announcement.State == target.Leaving:
		return target.ShedLeaving
	case run.Layout != announcement.Layout || run.Shard != announcement.Shard || run.IndexVersion != 0 && !announcement.Serves(run.IndexVersion):
		return target.ShedVersion
	case standin.behaviour.ShedAbove > 0 && standin.runningCount >= standin.behaviour.ShedAbove:
		return target.ShedOverloaded
	}
	return ""
}

// recordColdRate records that a run starts in cold start. The lock must be held.
func (standin *Target) recordColdRate() {
	now := time.Now()
	standin.recentColdRuns = append(standin.recentColdRuns, now)
	for now.Sub(standin.recentColdRuns[0]) >= time.Second {
		standin.recentColdRuns = standin.recentColdRuns[1:]
	}
	standin.record.PeakColdPerSecond = max(standin.record.PeakColdPerSecond, len(standin.recentColdRuns))
}

// register stores the function that cancels a run.
func (standin *Target) register(run *target.Run, cancel context.CancelFunc) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.cancels[run.AttemptID] = cancel
}

// finish releases the slot of a run and wakes cancels that wait for it.
func (standin *Target) finish(run *target.Run, from string) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.runningCount--
	standin.runsBySender[from]--
	if standin.runsBySender[from] == 0 {
		delete(standin.runsBySender, from)
	}
	delete(standin.cancels, run.AttemptID)
	close(standin.runEnded)
	standin.runEnded = make(chan struct{})
}

// cancel cancels a run and replies once the run has released its slot. If no such run is in
// progress, it replies at once, and the target sheds the run if it arrives later.
func (standin *Target) cancel(writer http.ResponseWriter, request *http.Request) {
	var cancelled target.Cancel
	if err := json.NewDecoder(request.Body).Decode(&cancelled); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	standin.lock.Lock()
	standin.record.Cancels++
	for {
		cancel, exists := standin.cancels[cancelled.AttemptID]
		if cancel == nil {
			if !exists {
				standin.cancels[cancelled.AttemptID] = nil
			}
			break
		}
		cancel()
		runEnded := standin.runEnded
		standin.lock.Unlock()
		<-runEnded
		standin.lock.Lock()
	}
	standin.lock.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

// crash simulates the crash of the target's process: it closes this connection and puts the
// target back into cold start. The test's Crashes hook breaks the other connections, because
// only the test has access to the network.
func (standin *Target) crash(writer http.ResponseWriter) {
	standin.lock.Lock()
	standin.record.Crashes++
	standin.resetToCold()
	standin.lock.Unlock()
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
