// Targets register themselves by announcements: the system has no configured
// list of targets.

package target

import (
	"fmt"
	"net/netip"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// Cold is the state of a target in cold start, to which the pool's cold
	// limits apply.
	Cold State = "cold"
	// Warm is the state of a target to which the pool's full limits apply.
	Warm State = "warm"
	// Leaving is the state of a target that accepts no new work.
	Leaving State = "leaving"

	// MaximumIndexVersions is the maximum number of index versions that one
	// target can announce.
	MaximumIndexVersions = 8
	// MaximumShards is the maximum number of shards in one layout.
	MaximumShards = 65536
	// MaximumNameBytes is the maximum length of a name in an announcement.
	MaximumNameBytes = 128
	// MinimumTTL is the minimum TTL of an announcement.
	MinimumTTL = time.Second
	// MaximumTTL is the maximum TTL of an announcement.
	MaximumTTL = time.Minute
)

type (
	// State is the readiness that a target reports.
	State string

	// Announcement registers a target. The target sends it at its start, on
	// every change, and again before the TTL ends.
	Announcement struct {
		ID string `json:"id" msgpack:"i"`
		// Address is the IP:port at which the target accepts runs.
		Address       string `json:"address" msgpack:"a"`
		Pool          string `json:"pool" msgpack:"p"`
		FailureDomain string `json:"failure_domain" msgpack:"f"`
		// Layout is the name of the partitioning of the pool's data, and
		// Shards is its number of shards.
		Layout string `json:"layout" msgpack:"l"`
		Shards int    `json:"shards" msgpack:"n"`
		Shard  int    `json:"shard" msgpack:"s"`
		// Incarnation increases with each start of the target process.
		Incarnation uint64 `json:"incarnation" msgpack:"c"`
		// Revision increases with each change within one incarnation.
		Revision uint64 `json:"revision" msgpack:"r"`
		State    State  `json:"state" msgpack:"st"`
		// IndexVersions lists the index versions that the target can serve.
		IndexVersions []uint64          `json:"index_versions" msgpack:"v"`
		TTL           duration.Duration `json:"ttl" msgpack:"t"`
	}

	// AnnouncementReply is the reply to an announcement.
	AnnouncementReply struct {
		// Home is the address of the entry to which to send the next
		// announcements.
		Home string `json:"home"`
		// RenewAfter is the delay after which to announce again.
		RenewAfter duration.Duration `json:"renew_after"`
	}
)

// Serves reports whether the target can serve the index version.
func (announcement *Announcement) Serves(indexVersion uint64) bool {
	for _, version := range announcement.IndexVersions {
		if version == indexVersion {
			return true
		}
	}
	return false
}

// Newer reports whether the announcement supersedes other, which is from the
// same target. The incarnation counts first, then the revision.
func (announcement *Announcement) Newer(other *Announcement) bool {
	if announcement.Incarnation != other.Incarnation {
		return announcement.Incarnation > other.Incarnation
	}
	return announcement.Revision > other.Revision
}

// Check validates the announcement. It returns all problems as one *fault.Error,
// or nil if there are none.
func (announcement *Announcement) Check() error {
	var problems []fault.Problem
	add := func(path, message, remedy string) {
		problems = append(problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
	}
	names := []struct{ path, value string }{
		{"id", announcement.ID},
		{"pool", announcement.Pool},
		{"failure_domain", announcement.FailureDomain},
		{"layout", announcement.Layout},
	}
	for _, name := range names {
		if name.value == "" || len(name.value) > MaximumNameBytes {
			add(name.path, "the name is missing or too long", fmt.Sprintf("use 1 to %d bytes", MaximumNameBytes))
		}
	}
	if _, err := netip.ParseAddrPort(announcement.Address); err != nil {
		add("address", "the address is not IP:port", "write it like 10.0.0.7:8080")
	}
	if announcement.Shards < 1 || announcement.Shards > MaximumShards {
		add("shards", "the number of shards is out of range", fmt.Sprintf("use 1 to %d", MaximumShards))
	}
	if announcement.Shard < 0 || announcement.Shard >= announcement.Shards {
		add("shard", "the shard is outside the layout", "use 0 to shards - 1")
	}
	if announcement.State != Cold && announcement.State != Warm && announcement.State != Leaving {
		add("state", "the state is unknown", "use cold, warm or leaving")
	}
	if len(announcement.IndexVersions) > MaximumIndexVersions {
		add("index_versions", "too many versions", fmt.Sprintf("list at most %d", MaximumIndexVersions))
	}
	if announcement.TTL.Std() < MinimumTTL || announcement.TTL.Std() > MaximumTTL {
		add("ttl", "the TTL is out of range", fmt.Sprintf("use %s to %s", MinimumTTL, MaximumTTL))
	}
	return fault.InvalidDocument("announcement", problems)
}
