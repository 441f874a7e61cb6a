// Package caller implements the HTTP interface for callers: addresses of entries, requests
// and cancellations.
package caller
