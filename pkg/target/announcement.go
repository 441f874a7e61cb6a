// This file exists so that targets can tell the system what they are, there
// being no list of targets elsewhere.

package target

import (
	"fmt"
	"net/netip"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// Cold is the state of a target that bears only its cold limits.
	Cold State = "cold"
	// Warm is the state of a target that bears its full limits.
	Warm State = "warm"
	// Leaving is the state of a target that takes no new work.
	Leaving State = "leaving"

	// MaximumIndexVersions bounds the versions that one target may hold.
	MaximumIndexVersions = 8
	// MaximumShards bounds the shards of one layout.
	MaximumShards = 65536
	// MaximumNameBytes bounds the names in an announcement.
	MaximumNameBytes = 128
	// MinimumTTL is the shortest span that an announcement may last.
	MinimumTTL = time.Second
	// MaximumTTL is the longest span that an announcement may last.
	MaximumTTL = time.Minute
)

type (
	// State is what a target says of its readiness.
	State string

	// Announcement is what a target tells of itself, at its start, on every
	// change and again before its TTL has passed.
	Announcement struct {
		ID string `json:"id" msgpack:"i"`
		// Address is the IP:port at which the target runs requests.
		Address       string `json:"address" msgpack:"a"`
		Pool          string `json:"pool" msgpack:"p"`
		FailureDomain string `json:"failure_domain" msgpack:"f"`
		// Layout names the partitioning of the pool's data, and Shards is
		// the number of shards that it has.
		Layout string `json:"layout" msgpack:"l"`
		Shards int    `json:"shards" msgpack:"n"`
		Shard  int    `json:"shard" msgpack:"s"`
		// Incarnation grows with each start of the target process.
		Incarnation uint64 `json:"incarnation" msgpack:"c"`
		// Revision grows with each change within one incarnation.
		Revision uint64 `json:"revision" msgpack:"r"`
		State    State  `json:"state" msgpack:"st"`
		// IndexVersions lists the versions that the target can serve.
		IndexVersions []uint64          `json:"index_versions" msgpack:"v"`
		TTL           duration.Duration `json:"ttl" msgpack:"t"`
	}

	// Announced is the reply to an announcement.
	Announced struct {
		// Home is the address of the entry to renew at.
		Home string `json:"home"`
		// RenewAfter is the span after which to announce again.
		RenewAfter duration.Duration `json:"renew_after"`
	}
)

// Serves reports whether the target holds the index version.
func (announcement *Announcement) Serves(indexVersion uint64) bool {
	for _, held := range announcement.IndexVersions {
		if held == indexVersion {
			return true
		}
	}
	return false
}

// Newer reports whether the announcement supersedes the other one of the same
// target.
func (announcement *Announcement) Newer(other *Announcement) bool {
	if announcement.Incarnation != other.Incarnation {
		return announcement.Incarnation > other.Incarnation
	}
	return announcement.Revision > other.Revision
}

// Check lists everything that is wrong with the announcement as one
// fault.Error, or returns nil.
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
	return fault.Document("announcement", problems)
}
