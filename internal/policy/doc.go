// Package policy decides on requests of HTTP routes: which route, which target,
// when to ask a second one, when to answer with what is in, and when to refuse.
// It knows neither sockets nor clocks, so that loads can be replayed against it.
package policy
