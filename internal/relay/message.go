// Messages between the entry that coordinates a request and the one that lends its link.

package relay

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/answer"
	"gitlab.com/comfreythread/comfreythread/internal/httptarget"
)

const (
	replyAnswered replyKind = "answered"
	replyRefused  replyKind = "refused"
	replyLost     replyKind = "lost"
)

var (
	errUnknownReply = errors.New("the reply of the other entry can't be understood")
)

type (
	replyKind string

	// Attempt is one attempt at a target.
	Attempt struct {
		TargetID string `msgpack:"t"`
		// StartedAt tells starts of the target apart.
		StartedAt  int64         `msgpack:"s"`
		RequestID  string        `msgpack:"q"`
		Method     string        `msgpack:"m"`
		Repeatable bool          `msgpack:"p"`
		Head       []byte        `msgpack:"h"`
		Body       []byte        `msgpack:"b,omitempty"`
		Timeout    time.Duration `msgpack:"d"`
	}

	// Reply is the outcome of an attempt.
	Reply struct {
		// NoLink is true if the entry has no link to the target; the attempt was not sent.
		NoLink bool `msgpack:"n,omitempty"`
		// NoLinks is true if the entry can't reach other targets either.
		NoLinks bool        `msgpack:"l,omitempty"`
		Kind    replyKind   `msgpack:"k,omitempty"`
		Status  int         `msgpack:"s,omitempty"`
		Header  http.Header `msgpack:"h,omitempty"`
		Body    []byte      `msgpack:"b,omitempty"`
		Proof   string      `msgpack:"p,omitempty"`
		// Reason is that of a refusal, and Sent that of a lost attempt.
		Reason httptarget.RefusalReason `msgpack:"r,omitempty"`
		Sent   bool                     `msgpack:"w,omitempty"`
		Cause  string                   `msgpack:"c,omitempty"`
	}

	// Question asks whether an entry has a link to a target.
	Question struct {
		TargetID  string `msgpack:"t"`
		StartedAt int64  `msgpack:"s"`
	}

	// Link is the reply to a Question.
	Link struct {
		Up bool `msgpack:"u,omitempty"`
	}
)

func newAttempt(target *httptarget.Target, request *httptarget.Request) *Attempt {
	head, body := request.Encoded()
	return &Attempt{
		TargetID: target.ID(), StartedAt: target.StartedAt(), RequestID: request.ID, Method: request.Method, Repeatable: request.Repeatable,
		Head: head, Body: body,
	}
}

func (attempt *Attempt) request() *httptarget.Request {
	return httptarget.NewEncoded(attempt.RequestID, attempt.Method, attempt.Repeatable, attempt.Head, attempt.Body)
}

// newReply encodes an outcome. An attempt that no connection could be opened for, or that would have begun late, was not
// sent, so that another entry can be tried.
func newReply(outcome httptarget.Outcome) *Reply {
	switch outcome := outcome.(type) {
	case *httptarget.Answered:
		return &Reply{Kind: replyAnswered, Status: outcome.Status, Header: outcome.Header, Body: outcome.Body, Proof: outcome.Proof}
	case *httptarget.Refused:
		if outcome.Reason == httptarget.Unreachable || outcome.Reason == httptarget.Withheld {
			// An entry that is late has no time for attempts at other targets either.
			return &Reply{NoLink: true, NoLinks: outcome.Reason == httptarget.Withheld}
		}
		return &Reply{Kind: replyRefused, Reason: outcome.Reason, Cause: causeText(outcome.Cause)}
	case *httptarget.Lost:
		return &Reply{Kind: replyLost, Sent: outcome.Sent, Cause: causeText(outcome.Cause)}
	}
	return &Reply{Kind: replyLost, Sent: true}
}

// outcome decodes a reply. One that can't be understood counts as lost, which leaves open whether the
// request ran.
func (reply *Reply) outcome() httptarget.Outcome {
	switch reply.Kind {
	case replyAnswered:
		if !answer.IsFinal(reply.Status) {
			break
		}
		return &httptarget.Answered{Status: reply.Status, Header: reply.Header, Body: reply.Body, Proof: reply.Proof}
	case replyRefused:
		return &httptarget.Refused{Reason: reply.Reason, Cause: causeError(reply.Cause)}
	case replyLost:
		return &httptarget.Lost{Sent: reply.Sent, Cause: causeError(reply.Cause)}
	}
	return &httptarget.Lost{Sent: true, Cause: errUnknownReply}
}

func causeText(cause error) string {
	if cause == nil {
		return ""
	}
	return cause.Error()
}

func causeError(text string) error {
	if text == "" {
		return nil
	}
	return errors.New(text)
}
