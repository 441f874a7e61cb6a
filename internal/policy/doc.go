// Package policy decides how requests of HTTP routes are served: by which route
// and target, when to hedge, when to answer with partial results, and when to
// refuse. It uses neither sockets nor clocks, so that tests can replay loads.
package policy
