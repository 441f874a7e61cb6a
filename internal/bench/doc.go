// Package bench measures the system beside a naive coordinator: tail latency,
// coverage, extra load and violations of promises, under the loads and faults
// that the users name. It runs the product's own code on a network in memory
// under the runtime's paused clock.
package bench
