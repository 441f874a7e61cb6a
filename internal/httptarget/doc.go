// Package httptarget keeps the list of targets of HTTP routes, from their own
// announcements, and sends requests to them.
package httptarget
