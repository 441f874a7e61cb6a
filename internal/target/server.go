// HTTP endpoints for the announcements of targets and for the directory.

package target

import (
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// renewalsPerTTL is how many times a target renews its announcement within
	// its TTL.
	renewalsPerTTL = 3
)

type (
	// Server accepts announcements and lists the directory. The entry package
	// propagates changes of the directory to the other entries.
	Server struct {
		board *blackboard.Board
	}
)

// NewServer returns the server for targets.
func NewServer(board *blackboard.Board) *Server {
	return &Server{board: board}
}

// Register adds the server's routes.
func (server *Server) Register(engine *gin.Engine) {
	engine.POST("/v1/targets", server.announce)
	engine.GET("/v1/directory", server.directory)
}

func (server *Server) announce(ginContext *gin.Context) {
	var announcement target.Announcement
	if err := web.Decode(ginContext, &announcement); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	if err := server.accept(announcement); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	reply := target.AnnouncementReply{RenewAfter: duration.Of(announcement.TTL.Std() / renewalsPerTTL)}
	if home, found := server.board.HomeOf(&announcement); found {
		reply.Home = home.CallerAddress
	}
	ginContext.JSON(http.StatusOK, reply)
}

// accept checks an announcement and stores it in the directory.
func (server *Server) accept(announcement target.Announcement) error {
	if err := announcement.Check(); err != nil {
		return err
	}
	inForce := server.board.InForce()
	tables, version := inForce.Tables()
	if version == 0 {
		return fault.New(fault.Unavailable, "this entry has no tables yet", "announce again in a second")
	}
	if inForce.Fenced() {
		return fault.New(fault.Unavailable, "this entry holds no lease from control", "announce to another entry")
	}
	if _, known := tables.Pool(announcement.Pool); !known {
		return fault.New(fault.NotFound, "pool "+announcement.Pool+" is unknown", "name a pool of the table of pools")
	}
	shards, known := server.board.Directory().Layout(announcement.Pool, announcement.Layout, announcement.ID)
	if known && shards != announcement.Shards {
		return fault.New(fault.Conflict,
			fmt.Sprintf("layout %s of pool %s has %d shards, not %d", announcement.Layout, announcement.Pool, shards, announcement.Shards),
			"give a new partitioning a layout name of its own")
	}
	_, err := server.board.Directory().Put(announcement)
	return err
}

func (server *Server) directory(ginContext *gin.Context) {
	tables, _ := server.board.InForce().Tables()
	directory := operator.Directory{Targets: []operator.TargetStatus{}, Digest: fmt.Sprintf("%016x", uint64(server.board.Directory().Digest()))}
	for _, record := range server.board.Directory().Records() {
		directory.Targets = append(directory.Targets, server.status(&record, tables))
	}
	directory.Sort()
	ginContext.JSON(http.StatusOK, directory)
}

// status returns a target's status: whether the target gets work, and why or
// why not.
func (server *Server) status(record *blackboard.Record, tables *operator.Tables) operator.TargetStatus {
	announcement := &record.Announcement
	status := operator.TargetStatus{
		ID: announcement.ID, Pool: announcement.Pool, Shard: announcement.Shard, Layout: announcement.Layout,
		FailureDomain: announcement.FailureDomain, Address: announcement.Address, State: string(announcement.State), Keeper: record.Keeper,
	}
	home, found := server.board.HomeOf(announcement)
	status.Home = home.ID
	switch _, poolKnown := tables.Pool(announcement.Pool); {
	case record.Gone:
		status.Reason = "gone: its renewals ended"
	case announcement.State == target.Leaving:
		status.Reason = "no new work: it is leaving"
	case tables.IsOut(announcement.FailureDomain):
		status.Reason = "no new work: its failure domain is taken out"
	case !poolKnown:
		status.Reason = "no work: its pool is not in the table of pools"
	case !found:
		status.Reason = "no work: no entry can be its home"
	default:
		status.Usable = true
		status.Reason = "takes work through its home"
	}
	return status
}
