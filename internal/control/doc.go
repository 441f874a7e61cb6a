// Package control implements the replicated control service and its client. The control
// replicas store the table of routes and the table of pools, the view of entries, and the
// ledger of run rights.
package control
