// Package target provides the types of the interface for targets, with which
// they announce themselves and are asked to run requests, and a client with
// which they send their announcements.
package target
