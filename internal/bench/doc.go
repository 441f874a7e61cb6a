// Package bench compares the system with a naive coordinator: tail latency,
// coverage, extra load and violations of promises, under the loads and faults
// that the users name. It runs the product's own code on an in-memory network
// under the fake clock of testing/synctest.
package bench
