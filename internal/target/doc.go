// Package target communicates with targets. It receives their announcements,
// and it implements the home role: each target has at most one entry as its home
// at a time, and this home alone holds the connections to the target and
// schedules the target's slots.
package target
