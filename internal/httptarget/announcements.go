// The HTTP interface for announcements, and the checks that precede every
// change of the registry.

package httptarget

import (
	"github.com/gin-gonic/gin"

	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Announcements checks announcements and passes them to a registry.
	// Construct it with NewAnnouncements.
	Announcements struct {
		registry *Registry
		inGroup  func() bool
	}
)

// NewAnnouncements returns the interface to a process's registry. The function
// inGroup reports whether the process belongs to the group of control replicas:
// entries watch only the registries of the group, so others take no announcements.
func NewAnnouncements(registry *Registry, inGroup func() bool) *Announcements {
	return &Announcements{registry: registry, inGroup: inGroup}
}

// Register adds the routes for targets.
func (announcements *Announcements) Register(engine *gin.Engine) {
	engine.PUT("/v1/http-targets/:id", announcements.put)
	engine.DELETE("/v1/http-targets/:id", announcements.remove)
}

// Announce stores an announcement that Record.Check has passed, or returns a
// fault.Error.
func (announcements *Announcements) Announce(record *Record) error {
	if err := announcements.checkMembership(); err != nil {
		return err
	}
	return announcements.registry.Announce(*record)
}

// End records that a target has ended, or returns a fault.Error.
func (announcements *Announcements) End(id string) error {
	if err := announcements.checkMembership(); err != nil {
		return err
	}
	if err := checkID(id); err != nil {
		return err
	}
	return announcements.registry.End(id)
}

func (announcements *Announcements) checkMembership() error {
	if announcements.inGroup() {
		return nil
	}
	return fault.New(fault.Unavailable, "this process doesn't belong to the group yet", "try another one")
}

func (announcements *Announcements) put(ginContext *gin.Context) {
	var announcement target.HTTPAnnouncement
	if err := web.Decode(ginContext, &announcement); err != nil {
		web.Fail(ginContext, err)
		return
	}
	record := newRecord(ginContext.Param("id"), &announcement)
	err := record.Check()
	if err == nil {
		err = announcements.Announce(record)
	}
	web.Done(ginContext, err)
}

func (announcements *Announcements) remove(ginContext *gin.Context) {
	web.Done(ginContext, announcements.End(ginContext.Param("id")))
}

func newRecord(id string, announcement *target.HTTPAnnouncement) *Record {
	record := &Record{
		ID: id, Pool: announcement.Pool, Address: announcement.Address, FailureDomain: announcement.FailureDomain, Release: announcement.Release,
		Slots: announcement.Slots, StartedAt: announcement.StartedAt, Revision: announcement.Revision, ColdFor: announcement.ColdFor.Std(),
	}
	switch announcement.State {
	case target.HTTPReady:
		record.State = StateReady
	case target.HTTPLeaving:
		record.State = StateLeaving
	}
	return record
}
