// Package faults injects every fault at every step of the system's work and
// checks the promises of the brief from recorded events alone. It runs the
// product's own code on an in-memory network under the fake clock of
// testing/synctest.
package faults
