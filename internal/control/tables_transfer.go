package control

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

const (
	// transferTimeout limits one attempt of a transfer in all; attemptTimeout limits the wait for each part.
	transferTimeout = 30 * time.Second
)

type (
	// TablesTransfer is an update of the tables that arrives in parts. It keeps what has arrived when an attempt ends.
	TablesTransfer struct {
		base, version uint64
		size          int
		sum           uint64
		data          []byte
	}
)

// NewTablesTransfer returns a transfer of the update from one version of the tables to a later one; base 0 stands for no tables.
func NewTablesTransfer(base, version uint64) *TablesTransfer {
	return &TablesTransfer{base: base, version: version}
}

// Version returns the version to which the update leads.
func (transfer *TablesTransfer) Version() uint64 { return transfer.version }

// Received returns the number of bytes that have arrived.
func (transfer *TablesTransfer) Received() int { return len(transfer.data) }

// Complete reports whether the whole update has arrived.
func (transfer *TablesTransfer) Complete() bool {
	return transfer.size > 0 && len(transfer.data) == transfer.size
}

// Tables returns the tables of the transfer's version. It returns a typed error if they can't be derived from the base.
func (transfer *TablesTransfer) Tables(base *operator.Tables, baseVersion uint64) (*operator.Tables, error) {
	if xxhash.Sum64(transfer.data) != transfer.sum {
		return nil, malformedUpdateError()
	}
	update, err := DecodeTablesUpdate(transfer.data)
	if err != nil {
		return nil, err
	}
	return update.Apply(base, baseVersion)
}

func (transfer *TablesTransfer) add(part *UpdatePart) {
	if part.Size <= 0 || part.Size > frame.MaximumFrameBytes {
		return
	}
	if part.Offset == 0 && (part.Sum != transfer.sum || part.Size != transfer.size) {
		// Another build may encode the same update in another way.
		transfer.size, transfer.sum, transfer.data = part.Size, part.Sum, nil
	}
	if part.Sum == transfer.sum && part.Offset == len(transfer.data) && part.Offset+len(part.Data) <= transfer.size {
		transfer.data = append(transfer.data, part.Data...)
	}
}

// ContinueTransfer asks replicas in turn for the parts that the transfer lacks, each at most once. It returns nil once the
// transfer is complete, a fault.NotFound if the version is no longer stored, and otherwise the error of the last replica.
func (client *Client) ContinueTransfer(ctx context.Context, transfer *TablesTransfer) error {
	err := errors.New("no control replica is known; list control_replicas in the settings")
	for range client.peerCount() {
		peer := client.transferPeer()
		if err = client.transferOnce(ctx, peer, transfer); transfer.Complete() {
			return nil
		}
		if isFinal(err) && !frame.IsUnknownMethod(err, MethodTablesUpdate) || ctx.Err() != nil {
			return err
		}
		client.skipTransferPeer(peer)
		err = errors.Wrap(err, "ask the replica at "+peer.Address())
	}
	return err
}

// transferOnce asks one replica for the parts that the transfer lacks, as long as the next part comes within attemptTimeout.
func (client *Client) transferOnce(ctx context.Context, peer *frame.Client, transfer *TablesTransfer) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	silence := time.AfterFunc(attemptTimeout, cancel)
	defer silence.Stop()
	request := &UpdateRequest{Base: transfer.base, Version: transfer.version, Offset: len(transfer.data), Sum: transfer.sum}
	err := frame.Stream(ctx, peer, MethodTablesUpdate, request, func(part *UpdatePart) {
		silence.Reset(attemptTimeout)
		transfer.add(part)
	})
	if err == nil && !transfer.Complete() {
		return fault.New(fault.Unavailable, "the update of the tables isn't whole", "try again")
	}
	return err
}

func (client *Client) peerCount() int {
	client.lock.Lock()
	defer client.lock.Unlock()
	return len(client.peers)
}

// transferPeer returns the replica to ask for the next parts.
func (client *Client) transferPeer() *frame.Client {
	client.lock.Lock()
	defer client.lock.Unlock()
	return client.peers[client.transferIndex%len(client.peers)]
}

// skipTransferPeer selects the replica after the given one, unless another one is already selected.
func (client *Client) skipTransferPeer(failed *frame.Client) {
	client.lock.Lock()
	defer client.lock.Unlock()
	if client.peers[client.transferIndex%len(client.peers)] == failed {
		client.transferIndex++
	}
}
