// Package dialect holds the names of the HTTP headers by which callers, the
// system and targets of HTTP routes tell each other about a request.
package dialect

type (
	// Headers are the names in use. Every name is in canonical form.
	Headers struct {
		// RequestID names a request. Targets echo it.
		RequestID string
		// Deadline holds the time that is left, in milliseconds.
		Deadline string
		// Target names the target that a request is for; another one at its
		// address refuses it with 421.
		Target string
		// Proof is a target's proof that it has made an answer.
		Proof string
		// NotRun marks a refusal of a target that has not run the request.
		NotRun string
		// PartProofs lists the proofs of the parts of a gathered answer, and
		// MissingParts counts the shards that are left out.
		PartProofs   string
		MissingParts string
	}
)

// Default returns the names of the product's own interface.
func Default() Headers {
	return Headers{
		RequestID:    "Comfreythread-Request-Id",
		Deadline:     "Comfreythread-Deadline",
		Target:       "Comfreythread-Target",
		Proof:        "Comfreythread-Proof",
		NotRun:       "Comfreythread-Not-Run",
		PartProofs:   "Comfreythread-Part-Proofs",
		MissingParts: "Comfreythread-Missing-Parts",
	}
}
