// Package fault provides the error types that all interfaces of the system
// share. An error states what is wrong, where, and how to fix it.
package fault

import (
	"fmt"
	"strings"
)

const (
	// BadRequest means that the input can't be decoded or is invalid.
	BadRequest Kind = "bad_request"
	// TooLarge means that the input exceeds a size limit.
	TooLarge Kind = "too_large"
	// TooSlow means that the input did not arrive in time.
	TooSlow Kind = "too_slow"
	// NotFound means that a name or version doesn't exist.
	NotFound Kind = "not_found"
	// Conflict means that a change conflicts with another one that was applied
	// before.
	Conflict Kind = "conflict"
	// Unavailable means that the service temporarily can't handle the request.
	Unavailable Kind = "unavailable"
	// Internal means that the process hit a defect or a disk failure.
	Internal Kind = "internal"
)

type (
	// Kind is the machine-readable category of an Error.
	Kind string

	// Error is an error with a kind for programs, and a message and a remedy
	// for people.
	Error struct {
		Kind     Kind      `json:"kind"`
		Message  string    `json:"message"`
		Remedy   string    `json:"remedy"`
		Problems []Problem `json:"problems,omitempty"`
	}

	// Problem is one validation error in a document.
	Problem struct {
		// Path is the location in the document, such as "pools[2].slots".
		Path    string `json:"path"`
		Message string `json:"message"`
		Remedy  string `json:"remedy"`
	}
)

// New returns an Error of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// InvalidDocument returns an Error of kind BadRequest that lists all problems of the
// named document, or nil if there are none.
func InvalidDocument(name string, problems []Problem) error {
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

// Error returns the kind, message and remedy in one line, followed by one line
// for each problem.
func (err *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s; remedy: %s", err.Kind, err.Message, err.Remedy)
	for _, problem := range err.Problems {
		fmt.Fprintf(&text, "\n  %s: %s; remedy: %s", problem.Path, problem.Message, problem.Remedy)
	}
	return text.String()
}
