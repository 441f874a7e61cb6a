// Every change of the replicated state is one of a closed set of commands. A log entry carries
// a batch of them.

package control

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// command is one of beginTenure, changeTables, changeDomain, editView, replaceExceptions,
	// grantRun, recordRun, startRollout and advanceRollout.
	command interface {
		isCommand()
	}

	// beginTenure is committed by a new leader before it grants its first lease. Removals of
	// members that were decided in an earlier term have no effect after it.
	beginTenure struct {
		Term uint64 `msgpack:"t"`
	}

	changeTables struct {
		Change operator.Change `msgpack:"c"`
	}

	changeDomain struct {
		Change operator.DomainChange `msgpack:"o"`
	}

	// editView adds a member to the view, replaces it or removes it. The edit has no effect
	// unless the view holds the expected incarnation of the member, so that concurrent edits
	// don't undo each other.
	editView struct {
		// ExpectedIncarnation is the member's incarnation that the view must hold for the edit
		// to apply; 0 means that the view must not contain the member.
		ExpectedIncarnation uint64            `msgpack:"p"`
		Member              membership.Member `msgpack:"m"`
		Remove              bool              `msgpack:"x"`
		// Term is the term in which the leader decided to remove the member.
		Term uint64 `msgpack:"t"`
	}

	// replaceExceptions replaces the exceptions of the view for which they were computed. It has no
	// effect on any other view.
	replaceExceptions struct {
		Request ExceptionsRequest `msgpack:"r"`
	}

	grantRun struct {
		Request GrantRequest `msgpack:"r"`
		// Now is the leader's time, which is used to drop expired run rights.
		Now time.Time `msgpack:"t"`
	}

	recordRun struct {
		Request RecordRequest `msgpack:"r"`
	}

	// startRollout starts a rollout, unless the order was sent before or conflicts with the rollout of
	// the pool that is in progress.
	startRollout struct {
		Order operator.RolloutOrder `msgpack:"o"`
		// Now is the leader's time.
		Now time.Time `msgpack:"t"`
		// Replaces is the start of the rollout that the order may replace although it was ordered
		// with the same pool, release and duration. It is zero if the order may be a resend.
		Replaces time.Time `msgpack:"r"`
	}

	// advanceRollout moves a rollout to another phase. It has no effect unless the newest rollout
	// of the pool was started at StartedAt and is in phase From.
	advanceRollout struct {
		Pool      string                `msgpack:"p"`
		StartedAt time.Time             `msgpack:"s"`
		From      operator.RolloutPhase `msgpack:"f"`
		To        operator.RolloutPhase `msgpack:"t"`
		Reason    string                `msgpack:"r"`
	}

	// envelope is the encoding of a command in the log. Exactly one field is set.
	envelope struct {
		BeginTenure       *beginTenure       `msgpack:"b,omitempty"`
		ChangeTables      *changeTables      `msgpack:"t,omitempty"`
		ChangeDomain      *changeDomain      `msgpack:"o,omitempty"`
		EditView          *editView          `msgpack:"v,omitempty"`
		ReplaceExceptions *replaceExceptions `msgpack:"x,omitempty"`
		GrantRun          *grantRun          `msgpack:"g,omitempty"`
		RecordRun         *recordRun         `msgpack:"r,omitempty"`
		StartRollout      *startRollout      `msgpack:"s,omitempty"`
		AdvanceRollout    *advanceRollout    `msgpack:"a,omitempty"`
	}

	// result is the outcome of applying a command.
	result struct {
		Fault   *fault.Error `msgpack:"f,omitempty"`
		Version uint64       `msgpack:"v,omitempty"`
		Grant   *Grant       `msgpack:"g,omitempty"`
		// Rollout is the newest rollout of the pool of a startRollout command, and Version is set only
		// if the command started it.
		Rollout *operator.Rollout `msgpack:"o,omitempty"`
	}
)

func (beginTenure) isCommand()       {}
func (changeTables) isCommand()      {}
func (changeDomain) isCommand()      {}
func (editView) isCommand()          {}
func (replaceExceptions) isCommand() {}
func (grantRun) isCommand()          {}
func (recordRun) isCommand()         {}
func (startRollout) isCommand()      {}
func (advanceRollout) isCommand()    {}

func encodeCommands(commands []command) ([]byte, error) {
	envelopes := make([]envelope, 0, len(commands))
	for _, command := range commands {
		envelopes = append(envelopes, wrapCommand(command))
	}
	return msgpack.Marshal(envelopes)
}

func wrapCommand(command command) envelope {
	var envelope envelope
	switch command := command.(type) {
	case beginTenure:
		envelope.BeginTenure = &command
	case changeTables:
		envelope.ChangeTables = &command
	case changeDomain:
		envelope.ChangeDomain = &command
	case editView:
		envelope.EditView = &command
	case replaceExceptions:
		envelope.ReplaceExceptions = &command
	case grantRun:
		envelope.GrantRun = &command
	case recordRun:
		envelope.RecordRun = &command
	case startRollout:
		envelope.StartRollout = &command
	case advanceRollout:
		envelope.AdvanceRollout = &command
	}
	return envelope
}

func (envelope *envelope) unwrap() (command, error) {
	switch {
	case envelope.BeginTenure != nil:
		return *envelope.BeginTenure, nil
	case envelope.ChangeTables != nil:
		return *envelope.ChangeTables, nil
	case envelope.ChangeDomain != nil:
		return *envelope.ChangeDomain, nil
	case envelope.ReplaceExceptions != nil:
		return *envelope.ReplaceExceptions, nil
	case envelope.EditView != nil:
		return *envelope.EditView, nil
	case envelope.GrantRun != nil:
		return *envelope.GrantRun, nil
	case envelope.RecordRun != nil:
		return *envelope.RecordRun, nil
	case envelope.StartRollout != nil:
		return *envelope.StartRollout, nil
	case envelope.AdvanceRollout != nil:
		return *envelope.AdvanceRollout, nil
	}
	return nil, errors.New("the log holds a command that this release doesn't know; run a newer release")
}
