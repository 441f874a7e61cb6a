// Package disk speaks to the disk of a control VM. It keeps records that last
// once they are synced, and tells damage from what was never completed.
package disk
