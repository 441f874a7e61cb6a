// This file exists so that demo, tests and measurements share one target that
// serves the interface for targets and records what it bore.

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
		running      int
		// callers are the runs in progress by the IP address that sent them.
		callers  map[string]int
		open     int
		warm     bool
		answered int
		started  []time.Time
		// cancels ends the runs in progress, by attempt ID; nil marks an
		// attempt that was cancelled before it came.
		cancels map[string]context.CancelFunc
		// ended is closed and replaced when a run ends.
		ended chan struct{}
	}

	// Behaviour says how a target acts. The zero value answers at once and
	// bears any load.
	Behaviour struct {
		// Work is the time that a run takes; nil takes none.
		Work func(run *target.Run) time.Duration
		// Crashes says which runs end the target's process; nil names none.
		Crashes func(run *target.Run) bool
		// Spoil changes an answer before it is sent; nil changes none.
		Spoil func(result *target.Result)
		// ColdSlots and ColdRunsPerSecond are what the target bears in cold
		// start, and WarmAfterRuns ends it. Zero switches the check off.
		ColdSlots         int
		ColdRunsPerSecond int
		WarmAfterRuns     int
		// ShedAbove sheds runs above this many at a time; zero sheds none.
		ShedAbove int
	}

	// Record is what a target bore.
	Record struct {
		// Peak and PeakCold are the most runs at a time, over all and in cold
		// start.
		Peak     int
		PeakCold int
		// PeakColdPerSecond is the most runs begun within one second of cold
		// start.
		PeakColdPerSecond int
		PeakConnections   int
		// Runs counts the runs of each request ID, shed ones left out.
		Runs    map[string]int
		Crashes int
		Sheds   int
		Cancels int
		// PeakCallers is the most IP addresses whose runs were in progress at
		// a time.
		PeakCallers int
		// LastRun is the time at which the newest run began.
		LastRun time.Time
		// Arrivals lists all that was sent to the target.
		Arrivals []Arrival
		// LeavingSince is the time at which the target announced that it
		// takes no new work, or zero.
		LeavingSince time.Time
	}

	// Arrival is one run as it arrived at a target.
	Arrival struct {
		At        time.Time
		RequestID string
		// From is the IP address that sent the run.
		From  string
		Shard int
		// Shed states that the target refused the run without running it.
		Shed bool
	}

	// Lines is the payload of a stand-in target's result. It tells where the
	// result is from, so that a caller's record can be checked.
	Lines struct {
		RequestID    string `json:"request_id"`
		Target       string `json:"target"`
		Kind         string `json:"kind"`
		Shard        int    `json:"shard"`
		Shards       int    `json:"shards"`
		IndexVersion uint64 `json:"index_version"`
		Layout       string `json:"layout"`
	}
)

// NewTarget returns a target that announces itself as given, over the dialer.
func NewTarget(announcement target.Announcement, behaviour Behaviour, dial tcp.Dialer) *Target {
	standin := &Target{
		dial: dial, announcement: announcement, behaviour: behaviour,
		callers: map[string]int{},
		warm:    announcement.State == target.Warm, record: Record{Runs: map[string]int{}},
		cancels: map[string]context.CancelFunc{}, ended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.RunPath, standin.run)
	mux.HandleFunc("POST "+target.CancelPath, standin.cancel)
	mux.HandleFunc("GET "+target.HealthPath, func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) })
	standin.server = &http.Server{Handler: mux, ConnState: standin.track, ReadHeaderTimeout: time.Minute}
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

// Stop ends the target at once.
func (standin *Target) Stop() {
	_ = standin.server.Close()
}

// Announcement returns what the target announces at present.
func (standin *Target) Announcement() target.Announcement {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	return standin.announcement
}

// Change changes what the target announces; its revision grows.
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

// Behave changes how the target acts.
func (standin *Target) Behave(change func(behaviour *Behaviour)) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	change(&standin.behaviour)
}

// Behaviour returns how the target acts at present.
func (standin *Target) Behaviour() Behaviour {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	return standin.behaviour
}

// TurnCold returns the target to cold start without telling anybody. Where a
// restart is meant, the caller breaks the target's connections first, because
// no connection outlives the process that has it.
func (standin *Target) TurnCold() {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.turnCold()
}

func (standin *Target) turnCold() {
	standin.warm = false
	standin.answered = 0
	standin.announcement.Incarnation++
	standin.announcement.Revision = 1
	standin.announcement.State = target.Cold
	standin.record.LeavingSince = time.Time{}
}

// Record returns a copy of what the target bore.
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

func (standin *Target) track(_ net.Conn, state http.ConnState) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	switch state {
	case http.StateNew:
		standin.open++
		standin.record.PeakConnections = max(standin.record.PeakConnections, standin.open)
	case http.StateClosed, http.StateHijacked:
		standin.open--
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
	behaviour, shed := standin.begin(&run, from)
	if shed != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(shed)
		return
	}
	// A target need not notice that a connection has closed, so that only a
	// cancel or the deadline ends a run early.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(request.Context()), run.Deadline)
	defer cancel()
	defer standin.end(&run, from)
	standin.register(&run, cancel)
	if behaviour.Crashes != nil && behaviour.Crashes(&run) {
		standin.crash(writer)
		return
	}
	if behaviour.Work != nil && sleep(ctx, behaviour.Work(&run)) != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(&target.Shed{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: target.ShedCancelled, Ran: true})
		return
	}
	result := standin.result(&run)
	if behaviour.Spoil != nil {
		behaviour.Spoil(result)
	}
	_ = json.NewEncoder(writer).Encode(result)
}

func (standin *Target) result(run *target.Run) *target.Result {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.answered++
	if standin.answered >= standin.behaviour.WarmAfterRuns {
		standin.warm = true
	}
	indexVersion := run.IndexVersion
	if indexVersion == 0 && len(standin.announcement.IndexVersions) > 0 {
		indexVersion = standin.announcement.IndexVersions[len(standin.announcement.IndexVersions)-1]
	}
	payload, _ := json.Marshal(&Lines{
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

// begin admits a run and records it, or sheds it.
func (standin *Target) begin(run *target.Run, from string) (Behaviour, *target.Shed) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	reason := standin.shedReason(run)
	standin.record.Arrivals = append(standin.record.Arrivals, Arrival{At: time.Now(), RequestID: run.RequestID, From: from, Shard: standin.announcement.Shard, Shed: reason != ""})
	if reason != "" {
		standin.record.Sheds++
		return Behaviour{}, &target.Shed{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: reason, Incarnation: standin.announcement.Incarnation}
	}
	standin.running++
	standin.callers[from]++
	standin.record.PeakCallers = max(standin.record.PeakCallers, len(standin.callers))
	standin.record.Peak = max(standin.record.Peak, standin.running)
	if !standin.warm {
		standin.record.PeakCold = max(standin.record.PeakCold, standin.running)
		standin.recordColdRate()
	}
	standin.record.Runs[run.RequestID]++
	standin.record.LastRun = time.Now()
	return standin.behaviour, nil
}

func (standin *Target) shedReason(run *target.Run) target.ShedReason {
	announcement := &standin.announcement
	cancel, known := standin.cancels[run.AttemptID]
	switch {
	case known && cancel == nil:
		return target.ShedCancelled
	case announcement.State == target.Leaving:
		return target.ShedLeaving
	case run.Layout != announcement.Layout || run.Shard != announcement.Shard || run.IndexVersion != 0 && !announcement.Serves(run.IndexVersion):
		return target.ShedVersion
	case standin.behaviour.ShedAbove > 0 && standin.running >= standin.behaviour.ShedAbove:
		return target.ShedOverloaded
	}
	return ""
}

func (standin *Target) recordColdRate() {
	now := time.Now()
	standin.started = append(standin.started, now)
	for now.Sub(standin.started[0]) >= time.Second {
		standin.started = standin.started[1:]
	}
	standin.record.PeakColdPerSecond = max(standin.record.PeakColdPerSecond, len(standin.started))
}

func (standin *Target) register(run *target.Run, cancel context.CancelFunc) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.cancels[run.AttemptID] = cancel
}

func (standin *Target) end(run *target.Run, from string) {
	standin.lock.Lock()
	defer standin.lock.Unlock()
	standin.running--
	standin.callers[from]--
	if standin.callers[from] == 0 {
		delete(standin.callers, from)
	}
	delete(standin.cancels, run.AttemptID)
	close(standin.ended)
	standin.ended = make(chan struct{})
}

// cancel drops a run and replies once it occupies no slot.
func (standin *Target) cancel(writer http.ResponseWriter, request *http.Request) {
	var cancelled target.Cancel
	if err := json.NewDecoder(request.Body).Decode(&cancelled); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	standin.lock.Lock()
	standin.record.Cancels++
	for {
		cancel, known := standin.cancels[cancelled.AttemptID]
		if cancel == nil {
			if !known {
				standin.cancels[cancelled.AttemptID] = nil
			}
			break
		}
		cancel()
		ended := standin.ended
		standin.lock.Unlock()
		<-ended
		standin.lock.Lock()
	}
	standin.lock.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

// crash ends the process that the target stands for: this connection breaks
// and the target is cold again. Other connections are broken by the crash
// hook of the test, which knows the network.
func (standin *Target) crash(writer http.ResponseWriter) {
	standin.lock.Lock()
	standin.record.Crashes++
	standin.turnCold()
	standin.lock.Unlock()
	hijacker, possible := writer.(http.Hijacker)
	if !possible {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
