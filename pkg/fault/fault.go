// Package fault holds the typed errors that every interface of the system
// shares: what is wrong, where, and what to do about it.
package fault

import (
	"fmt"
	"strings"
)

const (
	// BadRequest reports input that can't be read or breaks a stated rule.
	BadRequest Kind = "bad_request"
	// TooLarge reports input over a stated size limit.
	TooLarge Kind = "too_large"
	// TooSlow reports input that did not arrive in time.
	TooSlow Kind = "too_slow"
	// NotFound reports a name or version that doesn't exist.
	NotFound Kind = "not_found"
	// Conflict reports a change that lost against another change.
	Conflict Kind = "conflict"
	// Unavailable reports a service that can't act at present.
	Unavailable Kind = "unavailable"
	// Internal reports a defect or a failed disk.
	Internal Kind = "internal"
)

type (
	// Kind classifies an Error for programs.
	Kind string

	// Error is a typed error whose message names the remedy.
	Error struct {
		Kind     Kind      `json:"kind"`
		Message  string    `json:"message"`
		Remedy   string    `json:"remedy"`
		Problems []Problem `json:"problems,omitempty"`
	}

	// Problem is one finding in a checked document.
	Problem struct {
		// Path is the place in the document, such as "pools[2].slots".
		Path    string `json:"path"`
		Message string `json:"message"`
		Remedy  string `json:"remedy"`
	}
)

// New returns an Error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Document returns a BadRequest that lists every problem of a document, or
// nil where there is none.
func Document(name string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &Error{
		Kind:     BadRequest,
		Message:  fmt.Sprintf("%s has %d problem(s)", name, len(problems)),
		Remedy:   "mend each listed problem and send it again",
		Problems: problems,
	}
}

// Error lists the message, the remedy and all problems, a line each.
func (err *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s; remedy: %s", err.Kind, err.Message, err.Remedy)
	for _, problem := range err.Problems {
		fmt.Fprintf(&text, "\n  %s: %s; remedy: %s", problem.Path, problem.Message, problem.Remedy)
	}
	return text.String()
}
