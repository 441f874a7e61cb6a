// Package disk stores records durably on the disk of a control VM, and distinguishes
// damaged records from writes that a crash interrupted.
package disk
