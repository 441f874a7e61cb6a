// The compact encoding of the ledger in a snapshot. While a leader encodes a snapshot, its
// followers don't hear from it, so the encoding of a large ledger must take only a fraction of
// the election timeout.

package control

import (
	"encoding/binary"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
)

const (
	nonceBytes = 8
	// packedRunRightBytes is the approximate encoded size of one run right (the right to run a
	// request once), used to size the buffer.
	packedRunRightBytes = 64
)

var (
	// outcomesByCode maps the codes in a snapshot to outcomes. The codes must never change.
	outcomesByCode = []caller.RunOutcome{caller.NotRun, caller.MayHaveRun, caller.DidRun}

	errUnreadableLedger = errors.New("the ledger in the snapshot can't be read; run the release that wrote it")
)

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes the time, the number of run rights,
// and the run rights as one byte string.
func (ledgerData *ledgerData) EncodeMsgpack(encoder *msgpack.Encoder) error {
	packed := make([]byte, 0, len(ledgerData.RunRights)*packedRunRightBytes)
	for requestID, right := range ledgerData.RunRights {
		packed = binary.AppendUvarint(packed, uint64(len(requestID)))
		packed = append(packed, requestID...)
		packed = binary.BigEndian.AppendUint64(packed, right.Nonce)
		packed = append(packed, outcomeCode(right.Outcome))
	}
	return encoder.EncodeMulti(ledgerData.UnixTime, len(ledgerData.RunRights), packed)
}

// DecodeMsgpack implements msgpack.CustomDecoder. The caller must then rebuild the expiry schedule.
func (ledgerData *ledgerData) DecodeMsgpack(decoder *msgpack.Decoder) error {
	var count int
	var packed []byte
	if err := decoder.DecodeMulti(&ledgerData.UnixTime, &count, &packed); err != nil {
		return err
	}
	if count < 0 || count > len(packed) {
		return errUnreadableLedger
	}
	ledgerData.RunRights = make(map[caller.RequestID]runRight, count)
	for len(packed) > 0 {
		length, read := binary.Uvarint(packed)
		if read <= 0 || length > caller.MaximumRequestIDBytes || len(packed) < read+int(length)+nonceBytes+1 {
			return errUnreadableLedger
		}
		requestID := caller.RequestID(packed[read : read+int(length)])
		packed = packed[read+int(length):]
		code := int(packed[nonceBytes])
		if code >= len(outcomesByCode) {
			return errUnreadableLedger
		}
		ledgerData.RunRights[requestID] = runRight{Nonce: binary.BigEndian.Uint64(packed), Outcome: outcomesByCode[code]}
		packed = packed[nonceBytes+1:]
	}
	return nil
}

func outcomeCode(outcome caller.RunOutcome) byte {
	for code, candidate := range outcomesByCode {
		if candidate == outcome {
			return byte(code)
		}
	}
	// An unknown outcome is stored as MayHaveRun, which holds whether or not the request ran.
	return outcomeCode(caller.MayHaveRun)
}
