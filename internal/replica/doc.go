// Package replica implements the replicated log of the control replicas: one durable log of
// commands, replicated as in Raft, whose committed entries are applied to a state machine.
package replica
