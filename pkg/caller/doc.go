// Package caller holds the types of the interface for callers and a client
// for it: addresses of entries, requests, answers and refusals.
package caller
