// Package inbound bounds what clients take of a process: the memory for what they send and for answers that they don't read, and the
// descriptors of their connections. docs/design/client_limits.md has the reasons.
package inbound
