// Package control implements the replicated control service and its client. The control
// replicas store the table of routes and the table of pools, the view of entries, and the
// ledger of run rights. The view lists the entries, which are the processes that serve callers;
// each holds a lease that it renews at the leading replica. A run right permits a request that
// must not run twice to run once.
package control
