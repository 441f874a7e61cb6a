package bench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
	"gitlab.com/comfreythread/comfreythread/internal/tcp"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// naiveCoordinator is the baseline, one for each entry. It asks one replica
	// of each shard, round robin, and counts only its own runs against the
	// limits of a target. It never hedges, retries or pins an index version,
	// and learns at once which failure domain operators take out.
	naiveCoordinator struct {
		client http.Client
		// pools holds the announcements of each pool's targets.
		pools map[string][]target.Announcement
		// slots holds a semaphore for each target ID, with the target's number of slots.
		slots       map[string]chan struct{}
		nextReplica atomic.Uint64
		lock        sync.Mutex
		// domainOut is the failure domain that is out, or empty.
		domainOut string
	}
)

func newNaiveCoordinator(deployment standin.Deployment, announcements []target.Announcement, dial tcp.Dialer) *naiveCoordinator {
	coordinator := &naiveCoordinator{pools: map[string][]target.Announcement{}, slots: map[string]chan struct{}{}}
	coordinator.client.Transport = &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16}
	for _, pool := range deployment.Pools {
		for _, announcement := range announcements {
			if announcement.Pool == pool.Name {
				coordinator.pools[pool.Name] = append(coordinator.pools[pool.Name], announcement)
				coordinator.slots[announcement.ID] = make(chan struct{}, pool.Slots)
			}
		}
	}
	return coordinator
}

func (naiveCoordinator *naiveCoordinator) setDomainOut(failureDomain string) {
	naiveCoordinator.lock.Lock()
	defer naiveCoordinator.lock.Unlock()
	naiveCoordinator.domainOut = failureDomain
}

// send serves one request and returns its answer in the form of EntryClient.Send's. It never
// refuses a request: an answer without any part has coverage zero.
func (naiveCoordinator *naiveCoordinator) send(ctx context.Context, pool standin.PoolShape, request *caller.Request) *caller.Answer {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout.Std())
	defer cancel()
	parts := make([]*caller.Part, pool.Shards)
	var snapshot caller.Snapshot
	var lock sync.Mutex
	var running sync.WaitGroup
	for shard := range pool.Shards {
		running.Go(func() {
			result, targetID := naiveCoordinator.attempt(ctx, pool, request, shard)
			if result == nil {
				return
			}
			lock.Lock()
			defer lock.Unlock()
			snapshot = caller.Snapshot{IndexVersion: result.IndexVersion, Layout: result.Layout}
			parts[shard] = &caller.Part{Shard: shard, Target: targetID, Payload: result.Payload}
		})
	}
	running.Wait()
	answer := &caller.Answer{RequestID: request.ID, Snapshot: snapshot, Run: caller.DidRun, Attempts: pool.Shards}
	answer.Coverage = caller.Coverage{Known: true, Total: pool.Shards}
	for shard, part := range parts {
		if part == nil {
			answer.Coverage.Missing = append(answer.Coverage.Missing, caller.MissingShard{Shard: shard, Reason: caller.MissingLost})
			continue
		}
		answer.Parts = append(answer.Parts, *part)
	}
	answer.Coverage.Answered = len(answer.Parts)
	answer.Coverage.Complete = answer.Coverage.Answered == pool.Shards
	return answer
}

// attempt runs the request on the next replica of the shard. It returns the result,
// or nil if there is none, and the target's ID, which is empty if no run was sent.
func (naiveCoordinator *naiveCoordinator) attempt(ctx context.Context, pool standin.PoolShape, request *caller.Request, shard int) (*target.Result, string) {
	naiveCoordinator.lock.Lock()
	replicas := slices.DeleteFunc(slices.Clone(naiveCoordinator.pools[pool.Name]), func(announcement target.Announcement) bool {
		return announcement.Shard != shard || announcement.FailureDomain == naiveCoordinator.domainOut
	})
	naiveCoordinator.lock.Unlock()
	if len(replicas) == 0 {
		return nil, ""
	}
	chosen := replicas[int(naiveCoordinator.nextReplica.Add(1))%len(replicas)]
	targetSlots := naiveCoordinator.slots[chosen.ID]
	select {
	case targetSlots <- struct{}{}:
		defer func() { <-targetSlots }()
	case <-ctx.Done():
		return nil, ""
	}
	deadline, _ := ctx.Deadline()
	run := target.Run{RequestID: string(request.ID), AttemptID: string(request.ID), Kind: request.Kind, Deadline: deadline, Layout: chosen.Layout, Shard: shard}
	return naiveCoordinator.sendRun(ctx, chosen.Address, &run), chosen.ID
}

// sendRun sends a run to a target and returns the result, or nil if the run failed or was shed.
func (naiveCoordinator *naiveCoordinator) sendRun(ctx context.Context, address string, run *target.Run) *target.Result {
	body, _ := json.Marshal(run)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+target.RunPath, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	response, err := naiveCoordinator.client.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	result := new(target.Result)
	if json.NewDecoder(response.Body).Decode(result) != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	return result
}

// sleepUntil sleeps until the given offset after the start.
func sleepUntil(start time.Time, offset time.Duration) {
	time.Sleep(time.Until(start.Add(offset)))
}
