// Package target holds the types of the interface for targets: how they
// announce themselves and how they are asked to run requests.
package target
