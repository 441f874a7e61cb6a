// This file exists so that everything that changes control's state is one of
// a closed set of commands, which the log carries.

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
	// command is changeTables, changeView, grantRun or recordRun.
	command interface {
		isCommand()
	}

	changeTables struct {
		Change operator.Change `msgpack:"c"`
	}

	// changeView replaces the members of the view with the given number.
	changeView struct {
		Base    uint64              `msgpack:"b"`
		Members []membership.Member `msgpack:"m"`
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
		ChangeTables *changeTables `msgpack:"t,omitempty"`
		ChangeView   *changeView   `msgpack:"v,omitempty"`
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

func (changeTables) isCommand() {}
func (changeView) isCommand()   {}
func (grantRun) isCommand()     {}
func (recordRun) isCommand()    {}

func encodeCommand(command command) ([]byte, error) {
	var envelope envelope
	switch command := command.(type) {
	case changeTables:
		envelope.ChangeTables = &command
	case changeView:
		envelope.ChangeView = &command
	case grantRun:
		envelope.GrantRun = &command
	case recordRun:
		envelope.RecordRun = &command
	}
	return msgpack.Marshal(&envelope)
}

func decodeCommand(data []byte) (command, error) {
	var envelope envelope
	if err := msgpack.Unmarshal(data, &envelope); err != nil {
		return nil, errors.Wrap(err, "decode command")
	}
	switch {
	case envelope.ChangeTables != nil:
		return *envelope.ChangeTables, nil
	case envelope.ChangeView != nil:
		return *envelope.ChangeView, nil
	case envelope.GrantRun != nil:
		return *envelope.GrantRun, nil
	case envelope.RecordRun != nil:
		return *envelope.RecordRun, nil
	}
	return nil, errors.New("the log holds a command that this release doesn't know; run a newer release")
}
