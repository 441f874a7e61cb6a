// Package operator holds the types of the interface for operators: the table
// of routes, the table of pools, changes to them, and the status of the
// system.
package operator
