// Package caller speaks to callers over HTTP: addresses of entries, requests,
// cancellations.
package caller
