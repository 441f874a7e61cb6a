// This file exists so that many commands share one write to the log.

package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// maximumBatch bounds the small commands in one log entry.
	maximumBatch = 1024
	// maximumQueue bounds the commands that wait for a batch.
	maximumQueue = 16384
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
)

type (
	// batcher proposes the commands that come in while earlier batches are
	// under way as one log entry.
	batcher struct {
		propose func(ctx context.Context, command []byte) ([]byte, error)
		// window is how long a batch waits for company.
		window time.Duration
		// depth is the number of batches that may be under way.
		depth int
		// limit bounds the commands in one batch.
		limit int

		lock   sync.Mutex
		queue  []*submission
		flying int
	}

	// submission is one command and the place for its result.
	submission struct {
		command command
		done    chan struct{}
		result  result
		err     error
	}
)

// submit returns the result of a command once it is durable and applied.
func (batcher *batcher) submit(ctx context.Context, command command) (*result, error) {
	submission := &submission{command: command, done: make(chan struct{})}
	if err := batcher.enqueue(submission); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "the command's outcome isn't known in time", "send it again with the same ID")
	case <-submission.done:
	}
	if submission.err != nil {
		return nil, submission.err
	}
	if submission.result.Fault != nil {
		return nil, submission.result.Fault
	}
	return &submission.result, nil
}

func (batcher *batcher) enqueue(submission *submission) error {
	batcher.lock.Lock()
	defer batcher.lock.Unlock()
	if len(batcher.queue) >= maximumQueue {
		return fault.New(fault.Unavailable, "too many commands wait for the log", "try again in a second")
	}
	batcher.queue = append(batcher.queue, submission)
	if batcher.flying < batcher.depth {
		batcher.flying++
		go batcher.drain()
	}
	return nil
}

// drain proposes batches until nothing waits.
func (batcher *batcher) drain() {
	for {
		if batcher.window > 0 {
			time.Sleep(batcher.window)
		}
		batch := batcher.take()
		if len(batch) == 0 {
			return
		}
		batcher.run(batch)
	}
}

// take returns the next batch; where there is none, the drain that called it
// counts as ended.
func (batcher *batcher) take() []*submission {
	batcher.lock.Lock()
	defer batcher.lock.Unlock()
	size := min(len(batcher.queue), batcher.limit)
	if size == 0 {
		batcher.flying--
		return nil
	}
	batch := batcher.queue[:size:size]
	batcher.queue = append([]*submission(nil), batcher.queue[size:]...)
	return batch
}

func (batcher *batcher) run(batch []*submission) {
	results, err := batcher.exchange(batch)
	for index, submission := range batch {
		submission.err = err
		if err == nil {
			submission.result = results[index]
		}
		close(submission.done)
	}
}

func (batcher *batcher) exchange(batch []*submission) ([]result, error) {
	commands := make([]command, 0, len(batch))
	for _, submission := range batch {
		commands = append(commands, submission.command)
	}
	encoded, err := encodeCommands(commands)
	if err != nil {
		return nil, errors.Wrap(err, "encode commands")
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	applied, err := batcher.propose(ctx, encoded)
	if err != nil {
		return nil, err
	}
	var results []result
	if err := msgpack.Unmarshal(applied, &results); err != nil || len(results) != len(batch) {
		return nil, fault.New(fault.Internal, "the log's results don't match its commands", "run one release on all control VMs")
	}
	return results, nil
}
