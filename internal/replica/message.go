// The messages between replicas and their encoding.

package replica

import (
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

type (
	// message is a message between replicas: one of the types below.
	message interface {
		isMessage()
	}

	// hello is sent by a replica without a group to all addresses that it knows, which
	// Peers lists.
	hello struct {
		Peers []string `msgpack:"p"`
	}

	// bootstrapEntry sends the first entry of the log to a replica that the entry lists as a member.
	bootstrapEntry struct {
		Entry entry `msgpack:"e"`
	}

	// generationReport registers the generation of the sender's disk.
	generationReport struct {
		Generation diskGeneration `msgpack:"m"`
		// Level is the feature level of the sender.
		Level int `msgpack:"v,omitempty"`
	}

	// generationReply returns the reported generation, so that a late reply is recognised.
	generationReply struct {
		Generation diskGeneration `msgpack:"m"`
		// Outdated is true if a later generation is registered, or another one of the same
		// number.
		Outdated bool `msgpack:"o"`
		// Leaderless is true if the sender of the reply neither leads nor follows a leader.
		Leaderless bool `msgpack:"l,omitempty"`
		// AddresseeGone is true if the report was addressed to another replica than the one that
		// replies, which now runs at that address.
		AddresseeGone bool `msgpack:"a,omitempty"`
	}

	// rejoinRequest tells a replica to discard its disk and join again, because it lacks entries
	// that it once had or was removed from the group.
	rejoinRequest struct {
		Term uint64 `msgpack:"t"`
	}

	voteRequest struct {
		Term      uint64 `msgpack:"t"`
		LastIndex uint64 `msgpack:"i"`
		LastTerm  uint64 `msgpack:"l"`
		// Pre asks whether a vote would be granted, without granting it.
		Pre bool `msgpack:"p"`
		// LeadershipTransfer is true if the leader resigned in favour of this candidate.
		LeadershipTransfer bool `msgpack:"h"`
	}

	voteReply struct {
		Term    uint64 `msgpack:"t"`
		Pre     bool   `msgpack:"p"`
		Granted bool   `msgpack:"g"`
	}

	appendRequest struct {
		Term     uint64  `msgpack:"t"`
		Prev     uint64  `msgpack:"p"`
		PrevTerm uint64  `msgpack:"q"`
		Entries  []entry `msgpack:"e"`
		Commit   uint64  `msgpack:"c"`
		// Stamp is the leader's stamp: the time since its start, and greater than that of each
		// earlier message. The reply returns it.
		Stamp time.Duration `msgpack:"s"`
	}

	// appendReply is the reply to an appendRequest. It is also the reply to an installRequest that is
	// rejected, or whose snapshot is installed or no longer needed.
	appendReply struct {
		Term uint64 `msgpack:"t"`
		// RequestTerm is the term of the request. The leader of another term must not compare Stamp
		// with its own clock.
		RequestTerm uint64 `msgpack:"a"`
		Rejected    bool   `msgpack:"r"`
		// Match is the last index that is durable and equal to the leader's. In a rejection it is
		// the last index that may be equal.
		Match uint64 `msgpack:"m"`
		// Last is the last index of the replica's log.
		Last  uint64        `msgpack:"l"`
		Stamp time.Duration `msgpack:"s"`
		// Level is the feature level of the replica.
		Level int `msgpack:"v,omitempty"`
	}

	// installRequest carries the part of a snapshot that begins at the byte Offset.
	installRequest struct {
		Term     uint64        `msgpack:"t"`
		Snapshot snapshot      `msgpack:"n"`
		Offset   int           `msgpack:"o"`
		Done     bool          `msgpack:"d"`
		Stamp    time.Duration `msgpack:"s"`
	}

	// installReply asks for the part of the snapshot at Index that begins at the byte Offset.
	installReply struct {
		Term        uint64 `msgpack:"t"`
		RequestTerm uint64 `msgpack:"a"`
		Index       uint64 `msgpack:"i"`
		// Offset is the number of bytes received so far.
		Offset int           `msgpack:"o"`
		Stamp  time.Duration `msgpack:"s"`
		// Level is the feature level of the replica.
		Level int `msgpack:"v,omitempty"`
	}

	// timeoutNow asks a replica to stand for election at once.
	timeoutNow struct {
		Term uint64 `msgpack:"t"`
	}

	// envelope is a message with its sender and receiver.
	envelope struct {
		from, to    string
		fromAddress string
		toAddress   string
		message     message
	}

	// wireEnvelope is the encoded form of an envelope. Exactly one of its messages is set.
	wireEnvelope struct {
		From        string `msgpack:"f"`
		To          string `msgpack:"t"`
		FromAddress string `msgpack:"a"`

		Hello            *hello            `msgpack:"h,omitempty"`
		BootstrapEntry   *bootstrapEntry   `msgpack:"o,omitempty"`
		GenerationReport *generationReport `msgpack:"r,omitempty"`
		GenerationReply  *generationReply  `msgpack:"rr,omitempty"`
		RejoinRequest    *rejoinRequest    `msgpack:"od,omitempty"`
		VoteRequest      *voteRequest      `msgpack:"v,omitempty"`
		VoteReply        *voteReply        `msgpack:"vr,omitempty"`
		AppendRequest    *appendRequest    `msgpack:"p,omitempty"`
		AppendReply      *appendReply      `msgpack:"pr,omitempty"`
		InstallRequest   *installRequest   `msgpack:"i,omitempty"`
		InstallReply     *installReply     `msgpack:"ir,omitempty"`
		TimeoutNow       *timeoutNow       `msgpack:"n,omitempty"`
	}

	// batch is the body of a call: envelopes in the order in which they were sent.
	batch struct {
		Envelopes []wireEnvelope `msgpack:"p"`
	}

	// receipt is the reply to a batch.
	receipt struct{}
)

func (hello) isMessage()            {}
func (bootstrapEntry) isMessage()   {}
func (generationReport) isMessage() {}
func (generationReply) isMessage()  {}
func (rejoinRequest) isMessage()    {}
func (voteRequest) isMessage()      {}
func (voteReply) isMessage()        {}
func (appendRequest) isMessage()    {}
func (appendReply) isMessage()      {}
func (installRequest) isMessage()   {}
func (installReply) isMessage()     {}
func (timeoutNow) isMessage()       {}

func (envelope *envelope) wire() wireEnvelope {
	wire := wireEnvelope{From: envelope.from, To: envelope.to, FromAddress: envelope.fromAddress}
	switch message := envelope.message.(type) {
	case hello:
		wire.Hello = &message
	case bootstrapEntry:
		wire.BootstrapEntry = &message
	case generationReport:
		wire.GenerationReport = &message
	case generationReply:
		wire.GenerationReply = &message
	case rejoinRequest:
		wire.RejoinRequest = &message
	case voteRequest:
		wire.VoteRequest = &message
	case voteReply:
		wire.VoteReply = &message
	case appendRequest:
		wire.AppendRequest = &message
	case appendReply:
		wire.AppendReply = &message
	case installRequest:
		wire.InstallRequest = &message
	case installReply:
		wire.InstallReply = &message
	case timeoutNow:
		wire.TimeoutNow = &message
	}
	return wire
}

func (wire *wireEnvelope) envelope() (envelope, error) {
	decoded := envelope{from: wire.From, to: wire.To, fromAddress: wire.FromAddress}
	switch {
	case wire.Hello != nil:
		decoded.message = *wire.Hello
	case wire.BootstrapEntry != nil:
		decoded.message = *wire.BootstrapEntry
	case wire.GenerationReport != nil:
		decoded.message = *wire.GenerationReport
	case wire.GenerationReply != nil:
		decoded.message = *wire.GenerationReply
	case wire.RejoinRequest != nil:
		decoded.message = *wire.RejoinRequest
	case wire.VoteRequest != nil:
		decoded.message = *wire.VoteRequest
	case wire.VoteReply != nil:
		decoded.message = *wire.VoteReply
	case wire.AppendRequest != nil:
		decoded.message = *wire.AppendRequest
	case wire.AppendReply != nil:
		decoded.message = *wire.AppendReply
	case wire.InstallRequest != nil:
		decoded.message = *wire.InstallRequest
	case wire.InstallReply != nil:
		decoded.message = *wire.InstallReply
	case wire.TimeoutNow != nil:
		decoded.message = *wire.TimeoutNow
	default:
		return envelope{}, errors.New("a peer sent a message that this release doesn't know; run one release on all control VMs")
	}
	return decoded, nil
}

func decodeMembers(data []byte) ([]member, error) {
	var members []member
	if err := frame.Unmarshal(data, &members); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return members, nil
}
