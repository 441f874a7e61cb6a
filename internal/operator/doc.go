// Package operator speaks to operators over HTTP: the two tables and the
// status.
package operator
