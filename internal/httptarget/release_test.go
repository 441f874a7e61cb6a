package httptarget

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

// releaseDirectory is a directory and the registry that it hears from.
type releaseDirectory struct {
	*Directory
	sinceRevision uint64
	registry      *Registry
}

func newReleaseDirectory() *releaseDirectory {
	directory := &releaseDirectory{Directory: NewDirectory(zap.NewNop()), registry: NewRegistry(1, zap.NewNop())}
	directory.TrackReleases()
	return directory
}

// announce announces a target of a release that started at a time.
func (directory *releaseDirectory) announce(t *testing.T, id, release string, startedAt int64) {
	t.Helper()
	record := announcedRecord(id, "10.0.0.1:8"+id, startedAt, 1, StateReady)
	record.Release = release
	if err := directory.registry.Announce(record); err != nil {
		t.Fatal(err)
	}
}

// expectFresh applies what was announced, and fails if other targets than the given ones are fresh.
func (directory *releaseDirectory) expectFresh(t *testing.T, want ...string) {
	t.Helper()
	applyChanges(directory.Directory, "r", directory.registry, &directory.sinceRevision)
	var fresh []string
	for _, target := range directory.Pool("pool") {
		if target.Condition(time.Now()).Fresh {
			fresh = append(fresh, target.ID())
		}
	}
	slices.Sort(fresh)
	if !slices.Equal(fresh, want) {
		t.Errorf("the targets %v are fresh, not %v", fresh, want)
	}
}

// Guards against a new release that isn't recognized, one that stays fresh as long as targets of it are
// started, and an old release that counts as new because one of its targets was restarted.
func TestReleaseBesideAnotherIsFresh(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		directory := newReleaseDirectory()
		directory.announce(t, "1", "v1", 500)
		directory.expectFresh(t)
		time.Sleep(time.Hour)
		// The clock of the new targets is behind.
		directory.announce(t, "2", "v2", 400)
		directory.expectFresh(t, "2")
		time.Sleep(2 * time.Second)
		directory.announce(t, "3", "v2", 700)
		directory.announce(t, "1", "v1", 800)
		directory.expectFresh(t, "2", "3")
		time.Sleep(time.Second)
		directory.announce(t, "4", "v2", 900)
		directory.expectFresh(t)
	})
}

// Guards against an entry that starts while a new release is there and takes the old one for it, whichever
// of them it hears of first.
func TestLaterStartIsTheNewRelease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		for _, first := range []string{"v1", "v2"} {
			starts := map[string]int64{"v1": 100, "v2": 200}
			directory := newReleaseDirectory()
			directory.announce(t, "1", first, starts[first])
			directory.expectFresh(t)
			time.Sleep(100 * time.Millisecond)
			second := map[string]string{"v1": "v2", "v2": "v1"}[first]
			directory.announce(t, "2", second, starts[second])
			directory.expectFresh(t, map[string]string{"v1": "2", "v2": "1"}[first])
		}
	})
}

// Guards against a release that is used at once because it was there long ago.
func TestReleaseThatIsBackIsFresh(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		directory := newReleaseDirectory()
		directory.announce(t, "1", "v1", 100)
		directory.announce(t, "2", "v2", 100)
		directory.expectFresh(t)
		if err := endAt(directory.registry, directory.registry, "2"); err != nil {
			t.Fatal(err)
		}
		directory.expectFresh(t)
		time.Sleep(time.Hour)
		directory.announce(t, "2", "v2", 200)
		directory.expectFresh(t, "2")
	})
}
