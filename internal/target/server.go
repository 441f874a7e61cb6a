// This file exists so that targets can announce themselves over HTTP.

package target

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// renewalsPerTTL is how often a target renews within its TTL.
	renewalsPerTTL = 3
)

type (
	// Spreader makes an announcement known at the other entries.
	Spreader interface {
		Spread(ctx context.Context, announcement target.Announcement)
	}

	// Server takes announcements.
	Server struct {
		board    *blackboard.Board
		spreader Spreader
	}
)

// NewServer returns the server for targets.
func NewServer(board *blackboard.Board, spreader Spreader) *Server {
	return &Server{board: board, spreader: spreader}
}

// Register adds the server's routes.
func (server *Server) Register(engine *gin.Engine) {
	engine.POST("/v1/targets", server.announce)
}

func (server *Server) announce(ginContext *gin.Context) {
	var announcement target.Announcement
	if err := web.Decode(ginContext, &announcement); err != nil {
		web.Fail(ginContext, err)
		return
	}
	if err := server.take(ginContext.Request.Context(), announcement); err != nil {
		web.Fail(ginContext, err)
		return
	}
	announced := target.Announced{RenewAfter: duration.Of(announcement.TTL.Std() / renewalsPerTTL)}
	if home, found := server.board.HomeOf(&announcement); found {
		announced.Home = home.CallerAddress
	}
	ginContext.JSON(http.StatusOK, announced)
}

func (server *Server) take(ctx context.Context, announcement target.Announcement) error {
	if err := announcement.Check(); err != nil {
		return err
	}
	tables, version := server.board.InForce().Tables()
	if version == 0 {
		return fault.New(fault.Unavailable, "this entry has no tables yet", "announce again in a second")
	}
	if _, known := tables.Pool(announcement.Pool); !known {
		return fault.New(fault.NotFound, "pool "+announcement.Pool+" is unknown", "name a pool of the table of pools")
	}
	if _, err := server.board.Directory().Put(announcement); err != nil {
		return err
	}
	server.spreader.Spread(ctx, announcement)
	return nil
}
