// Package target speaks to targets. It takes their announcements and, for the
// targets that this entry is home to, alone holds their connections and
// schedules their slots.
package target
