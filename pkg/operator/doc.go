// Package operator provides the types of the interface for operators (the table
// of routes, the table of pools, changes to them, and the status of the system)
// and a client for it.
package operator
