// Package faults injects every fault at every step of the system's work and
// checks the promises that the system makes, which internal/standin lists, from
// recorded events alone. It runs the product's own code on an in-memory network
// under the fake clock of testing/synctest.
package faults
