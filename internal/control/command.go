// This file exists so that everything that changes control's state is one of
// a closed set of commands, which the log carries in batches.

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
	// command is beginTenure, changeTables, orderDomain, editView,
	// balanceView, grantRun or recordRun.
	command interface {
		isCommand()
	}

	// beginTenure is what a leader commits before it grants its first lease.
	// Removals decided in an earlier term have no effect after it.
	beginTenure struct {
		Term uint64 `msgpack:"t"`
	}

	changeTables struct {
		Change operator.Change `msgpack:"c"`
	}

	orderDomain struct {
		Order operator.DomainOrder `msgpack:"o"`
	}

	// editView puts a member in the view or removes it. An edit whose
	// Present differs from the view changes nothing, so that edits decided
	// at the same time don't undo each other.
	editView struct {
		// Present is the incarnation that the view must hold of the member;
		// zero stands for none.
		Present uint64            `msgpack:"p"`
		Member  membership.Member `msgpack:"m"`
		Remove  bool              `msgpack:"x"`
		// Term is the one in which a removal was decided.
		Term uint64 `msgpack:"t"`
	}

	// balanceView replaces the exceptions of the view for which they were
	// computed, and changes nothing under another one.
	balanceView struct {
		Request BalanceRequest `msgpack:"r"`
	}

	grantRun struct {
		Request GrantRequest `msgpack:"r"`
		// Now is the leader's time, by which expired rights are dropped.
		Now time.Time `msgpack:"t"`
	}

	recordRun struct {
		Request RecordRequest `msgpack:"r"`
	}

	// envelope carries exactly one command on the log.
	envelope struct {
		BeginTenure  *beginTenure  `msgpack:"b,omitempty"`
		ChangeTables *changeTables `msgpack:"t,omitempty"`
		OrderDomain  *orderDomain  `msgpack:"o,omitempty"`
		EditView     *editView     `msgpack:"v,omitempty"`
		BalanceView  *balanceView  `msgpack:"x,omitempty"`
		GrantRun     *grantRun     `msgpack:"g,omitempty"`
		RecordRun    *recordRun    `msgpack:"r,omitempty"`
	}

	// result is what applying a command gave.
	result struct {
		Fault   *fault.Error `msgpack:"f,omitempty"`
		Version uint64       `msgpack:"v,omitempty"`
		Grant   *Grant       `msgpack:"g,omitempty"`
	}
)

func (beginTenure) isCommand()  {}
func (changeTables) isCommand() {}
func (orderDomain) isCommand()  {}
func (editView) isCommand()     {}
func (balanceView) isCommand()  {}
func (grantRun) isCommand()     {}
func (recordRun) isCommand()    {}

func encodeCommands(commands []command) ([]byte, error) {
	envelopes := make([]envelope, 0, len(commands))
	for _, command := range commands {
		envelopes = append(envelopes, seal(command))
	}
	return msgpack.Marshal(envelopes)
}

func seal(command command) envelope {
	var envelope envelope
	switch command := command.(type) {
	case beginTenure:
		envelope.BeginTenure = &command
	case changeTables:
		envelope.ChangeTables = &command
	case orderDomain:
		envelope.OrderDomain = &command
	case editView:
		envelope.EditView = &command
	case balanceView:
		envelope.BalanceView = &command
	case grantRun:
		envelope.GrantRun = &command
	case recordRun:
		envelope.RecordRun = &command
	}
	return envelope
}

func (envelope *envelope) open() (command, error) {
	switch {
	case envelope.BeginTenure != nil:
		return *envelope.BeginTenure, nil
	case envelope.ChangeTables != nil:
		return *envelope.ChangeTables, nil
	case envelope.OrderDomain != nil:
		return *envelope.OrderDomain, nil
	case envelope.BalanceView != nil:
		return *envelope.BalanceView, nil
	case envelope.EditView != nil:
		return *envelope.EditView, nil
	case envelope.GrantRun != nil:
		return *envelope.GrantRun, nil
	case envelope.RecordRun != nil:
		return *envelope.RecordRun, nil
	}
	return nil, errors.New("the log holds a command that this release doesn't know; run a newer release")
}
