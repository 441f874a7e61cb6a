// Package dialect defines the names of the HTTP headers that callers, the system and
// targets of HTTP routes exchange with a request.
package dialect

type (
	// Headers are the names of the headers. Every name must be in canonical form.
	Headers struct {
		// RequestID contains the ID of a request. Targets echo it.
		RequestID string
		// Deadline contains the remaining time in milliseconds.
		Deadline string
		// Target contains the ID of the target that a request is for. A different target
		// at the same address refuses the request with status 421.
		Target string
		// Proof contains a target's proof that it has produced the answer.
		Proof string
		// NotRun marks the refusal of a target that has not run the request.
		NotRun string
		// Limit contains the number of requests a second that a target takes from all
		// entries together, as a decimal number.
		Limit string
		// Leaving is "1" in the answers of a target that leaves.
		Leaving string
		// Pause contains, in the refusal of a target, the time in seconds for which it wants no
		// request from the entry that it answers.
		Pause string
		// PartProofs lists the proofs of the parts of a gathered answer, and
		// MissingParts contains the number of shards that are missing from it.
		PartProofs   string
		MissingParts string
		// Credential contains the key of a tenant, and Tenant, for targets, its name.
		Credential string
		Tenant     string
	}
)

// Default returns the product's own header names.
func Default() Headers {
	return Headers{
		RequestID:    "Comfreythread-Request-Id",
		Deadline:     "Comfreythread-Deadline",
		Target:       "Comfreythread-Target",
		Proof:        "Comfreythread-Proof",
		NotRun:       "Comfreythread-Not-Run",
		Limit:        "Comfreythread-Limit",
		Leaving:      "Comfreythread-Leaving",
		Pause:        "Retry-After",
		PartProofs:   "Comfreythread-Part-Proofs",
		MissingParts: "Comfreythread-Missing-Parts",
		Credential:   "Authorization",
		Tenant:       "Comfreythread-Tenant",
	}
}
