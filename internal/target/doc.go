// Package target communicates with targets. It receives their announcements.
// For each target that this entry is home to, it alone holds the connections to
// the target and schedules the target's slots.
package target
