// Package httptarget speaks to the targets of HTTP routes: it keeps the list of
// those that announce themselves, and sends them requests.
package httptarget
