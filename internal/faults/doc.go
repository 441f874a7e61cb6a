// Package faults brings about every fault at every step of the system's work,
// and checks the promises of the brief from records alone. It runs the
// product's own code on a network in memory under the runtime's paused clock.
package faults
