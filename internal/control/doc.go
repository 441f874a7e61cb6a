// Package control speaks to the control replicas. They keep the two tables,
// the view of entries and the ledger of run rights.
package control
