// Package crowd helps tests to send traffic of many misbehaving clients to a process of the system, and to measure what
// the process holds of it. The traffic goes to loopback addresses only.
package crowd
