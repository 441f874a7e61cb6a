// How announcements come in: the product's HTTP interface, and what every
// interface checks before the registry takes one.

package httptarget

import (
	"github.com/gin-gonic/gin"

	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// Announcements takes announcements for a registry. Construct it with
	// NewAnnouncements.
	Announcements struct {
		registry *Registry
		formed   func() bool
	}
)

// NewAnnouncements returns what takes announcements for the registry of a
// process. Formed reports whether the process belongs to the group of control
// replicas; entries watch no other.
func NewAnnouncements(registry *Registry, formed func() bool) *Announcements {
	return &Announcements{registry: registry, formed: formed}
}

// Register adds the routes for targets.
func (announcements *Announcements) Register(engine *gin.Engine) {
	engine.PUT("/v1/http-targets/:id", announcements.put)
	engine.DELETE("/v1/http-targets/:id", announcements.remove)
}

// Announce takes a checked announcement, or returns a fault.Error that says why
// not.
func (announcements *Announcements) Announce(record *Record) error {
	if err := announcements.checkFormed(); err != nil {
		return err
	}
	return announcements.registry.Announce(*record)
}

// End takes the word that a target has ended.
func (announcements *Announcements) End(id string) error {
	if err := announcements.checkFormed(); err != nil {
		return err
	}
	if err := checkID(id); err != nil {
		return err
	}
	return announcements.registry.End(id)
}

func (announcements *Announcements) checkFormed() error {
	if announcements.formed() {
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
	record := recordOf(ginContext.Param("id"), &announcement)
	err := record.Check()
	if err == nil {
		err = announcements.Announce(record)
	}
	web.Done(ginContext, err)
}

func (announcements *Announcements) remove(ginContext *gin.Context) {
	web.Done(ginContext, announcements.End(ginContext.Param("id")))
}

func recordOf(id string, announcement *target.HTTPAnnouncement) *Record {
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
