// Package operator implements the HTTP interface for operators: tables, status, control
// replicas and failure domains.
package operator
