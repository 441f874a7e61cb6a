// The HTTP interface for announcements, and the checks that precede every
// change of the registry.

package httptarget

import (
	"context"

	"github.com/gin-gonic/gin"

	"gitlab.com/comfreythread/comfreythread/internal/pause"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

type (
	// AnnouncementAPI checks announcements and passes them to a registry.
	// Construct it with NewAnnouncementAPI.
	AnnouncementAPI struct {
		registry *Registry
		group    *Group
		inGroup  func() bool
		pauses   *pause.Monitor
	}
)

// NewAnnouncementAPI returns the interface to a process's registry, which belongs to a group. The function
// inGroup reports whether the process belongs to the group of control replicas:
// entries watch only the registries of the group, so others take no announcements.
// A target's end is refused if it may have waited while the process was paused.
func NewAnnouncementAPI(registry *Registry, group *Group, inGroup func() bool, pauses *pause.Monitor) *AnnouncementAPI {
	return &AnnouncementAPI{registry: registry, group: group, inGroup: inGroup, pauses: pauses}
}

// Register adds the routes for targets.
func (announcementAPI *AnnouncementAPI) Register(engine *gin.Engine) {
	engine.PUT("/v1/http-targets/:id", announcementAPI.put)
	engine.DELETE("/v1/http-targets/:id", announcementAPI.remove)
}

// Announce stores an announcement that has passed Record.Check, or returns a
// fault.Error. The announcement of a target that is leaving must outlast a restart.
func (announcementAPI *AnnouncementAPI) Announce(ctx context.Context, record *Record) error {
	if err := announcementAPI.checkMembership(); err != nil {
		return err
	}
	if err := announcementAPI.registry.Announce(*record); err != nil || record.State != StateLeaving {
		return err
	}
	return announcementAPI.registry.AwaitSaved(ctx, record.ID)
}

// Remove records that a target has ended, or returns a fault.Error. The record must outlast a
// restart.
func (announcementAPI *AnnouncementAPI) Remove(ctx context.Context, id string) error {
	if err := announcementAPI.checkMembership(); err != nil {
		return err
	}
	if err := checkID(id); err != nil {
		return err
	}
	// The call names no start of the target, which may have started again since.
	if err := announcementAPI.pauses.Check(); err != nil {
		return err
	}
	if err := announcementAPI.group.End(ctx, id); err != nil {
		return err
	}
	return announcementAPI.registry.AwaitSaved(ctx, id)
}

func (announcementAPI *AnnouncementAPI) checkMembership() error {
	if announcementAPI.inGroup() {
		return nil
	}
	return fault.New(fault.Unavailable, "this process doesn't belong to the group yet", "try another one")
}

func (announcementAPI *AnnouncementAPI) put(ginContext *gin.Context) {
	var announcement target.HTTPAnnouncement
	if err := web.Decode(ginContext, &announcement); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	record := newRecord(ginContext.Param("id"), &announcement)
	err := record.Check()
	if err == nil {
		err = announcementAPI.Announce(ginContext.Request.Context(), record)
	}
	web.RespondEmpty(ginContext, err)
}

func (announcementAPI *AnnouncementAPI) remove(ginContext *gin.Context) {
	web.RespondEmpty(ginContext, announcementAPI.Remove(ginContext.Request.Context(), ginContext.Param("id")))
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
