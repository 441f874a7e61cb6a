// Releases that have just appeared in a pool. Targets of a new release are started shortly before the
// order for its rollout arrives, and should get no requests until then.

package httptarget

import (
	"time"

	"go.uber.org/zap"
)

const (
	// freshSpan is how long a release counts as fresh that has appeared beside another one.
	freshSpan = 3 * time.Second
)

type (
	// seenRelease is a release of the targets of one pool.
	seenRelease struct {
		// seenAt is when the directory first held a target of the release, and forgotten is true
		// until updateReleases has found one.
		seenAt    time.Time
		forgotten bool
		// startedAt is the earliest start of its targets; zero if unknown.
		startedAt int64
		logged    bool
	}
)

// TrackReleases makes the directory determine from now on which releases are fresh.
func (directory *Directory) TrackReleases() {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.tracksReleases = true
}

// updateReleases forgets the releases that no target has any more, and determines which ones are
// fresh. The lock must be held.
func (directory *Directory) updateReleases(now time.Time) {
	for _, seen := range directory.releases {
		for _, release := range seen {
			release.forgotten = true
		}
	}
	for _, target := range directory.targets {
		directory.seeRelease(&target.record, now)
	}
	for pool, seen := range directory.releases {
		for name, release := range seen {
			if release.forgotten {
				delete(seen, name)
			}
		}
		if len(seen) == 0 {
			delete(directory.releases, pool)
		}
	}
	for _, target := range directory.targets {
		target.setFreshUntil(directory.freshUntil(target.record.Pool, target.record.Release, now))
	}
}

// seeRelease records that a target has a release. The lock must be held.
func (directory *Directory) seeRelease(record *Record, now time.Time) {
	seen := directory.releases[record.Pool]
	if seen == nil {
		seen = map[string]*seenRelease{}
		directory.releases[record.Pool] = seen
	}
	release := seen[record.Release]
	if release == nil {
		release = &seenRelease{seenAt: now, startedAt: record.StartedAt}
		seen[record.Release] = release
	}
	release.forgotten = false
	if record.StartedAt != 0 && (release.startedAt == 0 || record.StartedAt < release.startedAt) {
		release.startedAt = record.StartedAt
	}
}

// freshUntil returns until when a release of a pool is fresh, or zero if it isn't. The lock must be held.
func (directory *Directory) freshUntil(pool, name string, now time.Time) time.Time {
	seen := directory.releases[pool]
	release := seen[name]
	until := release.seenAt.Add(freshSpan)
	if len(seen) < 2 || !now.Before(until) {
		return time.Time{}
	}
	for _, other := range seen {
		if other != release && release.isNewerThan(other) {
			if !release.logged {
				release.logged = true
				directory.logger.Info("release appeared beside another one", zap.String("pool", pool), zap.String("release", name), zap.Duration("held_for", freshSpan))
			}
			return until
		}
	}
	return time.Time{}
}

// isNewerThan reports whether a release appeared after another one. An entry that has just started
// sees all releases at about the same time; the starts of their targets decide then.
func (release *seenRelease) isNewerThan(other *seenRelease) bool {
	difference := release.seenAt.Sub(other.seenAt)
	if difference.Abs() < freshSpan && release.startedAt != 0 && other.startedAt != 0 && release.startedAt != other.startedAt {
		return release.startedAt > other.startedAt
	}
	return difference > 0
}

func (target *Target) setFreshUntil(until time.Time) {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.freshUntil = until
}
