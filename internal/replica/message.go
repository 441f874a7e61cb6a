// This file exists so that replicas agree on what they send to each other.

package replica

import (
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/frame"
)

type (
	// message is one of the types below.
	message interface {
		isMessage()
	}

	// hello is sent by a replica without a group to all addresses it knows.
	hello struct {
		Peers []string `msgpack:"p"`
	}

	// adopt hands the founding configuration to a replica that it names.
	adopt struct {
		Entry entry `msgpack:"e"`
	}

	// register tells how recent a replica's disk is.
	register struct {
		Mark mark `msgpack:"m"`
	}

	registered struct {
		Mark mark `msgpack:"m"`
		// Outdated states that a later mark is on record, or another one of
		// the same number.
		Outdated bool `msgpack:"o"`
		// Leaderless states that the sender neither leads nor follows.
		Leaderless bool `msgpack:"l,omitempty"`
	}

	// outdated tells a replica that it lacks entries that it once had.
	outdated struct {
		Term uint64 `msgpack:"t"`
	}

	voteRequest struct {
		Term      uint64 `msgpack:"t"`
		LastIndex uint64 `msgpack:"i"`
		LastTerm  uint64 `msgpack:"l"`
		// Pre asks whether a vote would be given, without any effect.
		Pre bool `msgpack:"p"`
		// HandOver states that the leader gave up its lead for this
		// candidate.
		HandOver bool `msgpack:"h"`
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
		// Sent is the leader's stamp: the time since its start, and greater than
		// that of each message before. The reply carries it back.
		Sent time.Duration `msgpack:"s"`
	}

	appendReply struct {
		Term uint64 `msgpack:"t"`
		// Asked is the term of the request. The leader of another term must
		// not read Sent by its own clock.
		Asked    uint64 `msgpack:"a"`
		Rejected bool   `msgpack:"r"`
		// Match is the last index that is durable and equal to the leader's.
		// In a rejection it is the last index that may be.
		Match uint64 `msgpack:"m"`
		// Last is the last index of the replica's log.
		Last uint64        `msgpack:"l"`
		Sent time.Duration `msgpack:"s"`
	}

	// installRequest carries a part of a snapshot.
	installRequest struct {
		Term     uint64        `msgpack:"t"`
		Snapshot snapshot      `msgpack:"n"`
		Offset   int           `msgpack:"o"`
		Done     bool          `msgpack:"d"`
		Sent     time.Duration `msgpack:"s"`
	}

	installReply struct {
		Term  uint64 `msgpack:"t"`
		Asked uint64 `msgpack:"a"`
		Index uint64 `msgpack:"i"`
		// Offset is the number of bytes received so far.
		Offset int           `msgpack:"o"`
		Sent   time.Duration `msgpack:"s"`
	}

	// timeoutNow asks a replica to stand for election at once.
	timeoutNow struct {
		Term uint64 `msgpack:"t"`
	}

	// parcel is a message on its way.
	parcel struct {
		from, to    string
		fromAddress string
		toAddress   string
		message     message
	}

	// wireParcel carries exactly one message between processes.
	wireParcel struct {
		From        string `msgpack:"f"`
		To          string `msgpack:"t"`
		FromAddress string `msgpack:"a"`

		Hello          *hello          `msgpack:"h,omitempty"`
		Adopt          *adopt          `msgpack:"o,omitempty"`
		Register       *register       `msgpack:"r,omitempty"`
		Registered     *registered     `msgpack:"rr,omitempty"`
		Outdated       *outdated       `msgpack:"od,omitempty"`
		VoteRequest    *voteRequest    `msgpack:"v,omitempty"`
		VoteReply      *voteReply      `msgpack:"vr,omitempty"`
		AppendRequest  *appendRequest  `msgpack:"p,omitempty"`
		AppendReply    *appendReply    `msgpack:"pr,omitempty"`
		InstallRequest *installRequest `msgpack:"i,omitempty"`
		InstallReply   *installReply   `msgpack:"ir,omitempty"`
		TimeoutNow     *timeoutNow     `msgpack:"n,omitempty"`
	}

	// batch is the body of a call: parcels in the order of their sending.
	batch struct {
		Parcels []wireParcel `msgpack:"p"`
	}

	// received is the reply to a batch.
	receipt struct{}
)

func (hello) isMessage()          {}
func (adopt) isMessage()          {}
func (register) isMessage()       {}
func (registered) isMessage()     {}
func (outdated) isMessage()       {}
func (voteRequest) isMessage()    {}
func (voteReply) isMessage()      {}
func (appendRequest) isMessage()  {}
func (appendReply) isMessage()    {}
func (installRequest) isMessage() {}
func (installReply) isMessage()   {}
func (timeoutNow) isMessage()     {}

func (parcel *parcel) wire() wireParcel {
	wire := wireParcel{From: parcel.from, To: parcel.to, FromAddress: parcel.fromAddress}
	switch message := parcel.message.(type) {
	case hello:
		wire.Hello = &message
	case adopt:
		wire.Adopt = &message
	case register:
		wire.Register = &message
	case registered:
		wire.Registered = &message
	case outdated:
		wire.Outdated = &message
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

func (wire *wireParcel) parcel() (parcel, error) {
	read := parcel{from: wire.From, to: wire.To, fromAddress: wire.FromAddress}
	switch {
	case wire.Hello != nil:
		read.message = *wire.Hello
	case wire.Adopt != nil:
		read.message = *wire.Adopt
	case wire.Register != nil:
		read.message = *wire.Register
	case wire.Registered != nil:
		read.message = *wire.Registered
	case wire.Outdated != nil:
		read.message = *wire.Outdated
	case wire.VoteRequest != nil:
		read.message = *wire.VoteRequest
	case wire.VoteReply != nil:
		read.message = *wire.VoteReply
	case wire.AppendRequest != nil:
		read.message = *wire.AppendRequest
	case wire.AppendReply != nil:
		read.message = *wire.AppendReply
	case wire.InstallRequest != nil:
		read.message = *wire.InstallRequest
	case wire.InstallReply != nil:
		read.message = *wire.InstallReply
	case wire.TimeoutNow != nil:
		read.message = *wire.TimeoutNow
	default:
		return parcel{}, errors.New("a peer sent a message that this release doesn't know; run one release on all control VMs")
	}
	return read, nil
}

func decodeMembers(data []byte) ([]member, error) {
	var members []member
	if err := frame.Unmarshal(data, &members); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return members, nil
}
