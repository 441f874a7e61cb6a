// Package control implements the replicated control service and its client. The control
// replicas store the table of routes and the table of pools, the view of entries, and the
// ledger of run rights. The view lists the entries, which are the processes that serve callers;
// each entry holds a lease, which it renews at the leading replica. A run right is the permission to
// run a request that must not run more than once; the ledger grants at most one at a time for each
// request.
package control
