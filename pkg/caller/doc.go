// Package caller provides the types of the interface for callers (entry
// addresses, requests, answers and refusals) and clients for that interface.
package caller
