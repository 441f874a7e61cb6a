// Package standin provides stand-ins for the environment of the system: targets, an in-memory
// network and an in-memory disk. It checks the system's promises against their records.
package standin
