// Package replica speaks to the other control replicas. It keeps one log of
// commands, replicated and durable, and applies it to a state machine.
package replica
