// The HTTP handlers for operators. Every process serves them, so that operators can reach
// control through any process.

package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// Control is the part of the API of control, the replicated control service, that operators use.
	Control interface {
		Change(ctx context.Context, change *operator.Change) (*operator.ChangeReply, error)
		Tables(ctx context.Context, version uint64) (*operator.VersionedTables, error)
		Status(ctx context.Context) (*operator.Status, error)
		AddReplica(ctx context.Context, replica *operator.Replica) (*operator.EmptyReply, error)
		RemoveReplica(ctx context.Context, id string) (*operator.EmptyReply, error)
		SetDomainOut(ctx context.Context, change *operator.DomainChange) (*operator.ChangeReply, error)
		StartRollout(ctx context.Context, order *operator.RolloutOrder) (*operator.Rollout, error)
		Rollout(ctx context.Context, pool string) (*operator.Rollout, error)
	}

	// Server handles the requests of operators.
	Server struct {
		control Control
		reads   *web.Reads
	}
)

// NewServer returns a server for operators that calls control.
func NewServer(control Control) *Server {
	return &Server{control: control, reads: web.NewReads()}
}

// Register adds the server's routes.
func (server *Server) Register(engine *gin.Engine) {
	engine.PUT("/v1/tables", server.change)
	engine.GET("/v1/tables", server.tables)
	engine.GET("/v1/status", server.status)
	engine.POST("/v1/replicas", server.addReplica)
	engine.DELETE("/v1/replicas/:id", server.removeReplica)
	engine.PUT("/v1/failure-domains/:name/out", server.domainOutHandler(true))
	engine.DELETE("/v1/failure-domains/:name/out", server.domainOutHandler(false))
	engine.POST("/v1/rollout", server.startRollout)
	engine.GET("/v1/rollout/:pool", server.rollout)
}

func (server *Server) change(ginContext *gin.Context) {
	change := new(operator.Change)
	if err := web.DecodeDocument(ginContext, change); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	reply, err := server.control.Change(ginContext.Request.Context(), change)
	respond(ginContext, reply, err)
}

func (server *Server) tables(ginContext *gin.Context) {
	var version uint64
	if text := ginContext.Query("version"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			web.RespondError(ginContext, fault.New(fault.BadRequest, "the version isn't a whole number", "write it like ?version=7"))
			return
		}
		version = parsed
	}
	encoded, err := server.reads.Prepare(ginContext.Request.Context(), func(ctx context.Context) ([]byte, error) {
		return server.encodeTables(ctx, version)
	})
	if err != nil {
		web.RespondError(ginContext, err)
		return
	}
	ginContext.Data(http.StatusOK, gin.MIMEJSON+"; charset=utf-8", encoded)
}

// encodeTables returns a version of the tables as JSON.
func (server *Server) encodeTables(ctx context.Context, version uint64) ([]byte, error) {
	versioned, err := server.control.Tables(ctx, version)
	if err != nil {
		return nil, err
	}
	// The source may hold the keys of tenants.
	withoutSource := *versioned
	withoutSource.Source = nil
	return json.Marshal(&withoutSource)
}

func (server *Server) status(ginContext *gin.Context) {
	status, err := server.control.Status(ginContext.Request.Context())
	respond(ginContext, status, err)
}

func (server *Server) addReplica(ginContext *gin.Context) {
	replica := new(operator.Replica)
	if err := web.Decode(ginContext, replica); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	if err := replica.Check(); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	reply, err := server.control.AddReplica(ginContext.Request.Context(), replica)
	respond(ginContext, reply, err)
}

func (server *Server) removeReplica(ginContext *gin.Context) {
	reply, err := server.control.RemoveReplica(ginContext.Request.Context(), ginContext.Param("id"))
	respond(ginContext, reply, err)
}

// domainOutHandler returns a handler that takes the failure domain in the path out of
// service, or back into service.
func (server *Server) domainOutHandler(out bool) gin.HandlerFunc {
	return func(ginContext *gin.Context) {
		change := &operator.DomainChange{FailureDomain: ginContext.Param("name"), Out: out}
		if err := change.Check(); err != nil {
			web.RespondError(ginContext, err)
			return
		}
		reply, err := server.control.SetDomainOut(ginContext.Request.Context(), change)
		respond(ginContext, reply, err)
	}
}

func (server *Server) startRollout(ginContext *gin.Context) {
	order := new(operator.RolloutOrder)
	if err := web.Decode(ginContext, order); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	if err := order.Check(); err != nil {
		web.RespondError(ginContext, err)
		return
	}
	rollout, err := server.control.StartRollout(ginContext.Request.Context(), order)
	respond(ginContext, rollout, err)
}

func (server *Server) rollout(ginContext *gin.Context) {
	rollout, err := server.control.Rollout(ginContext.Request.Context(), ginContext.Param("pool"))
	respond(ginContext, rollout, err)
}

func respond[Body any](ginContext *gin.Context, body *Body, err error) {
	if err != nil {
		web.RespondError(ginContext, err)
		return
	}
	ginContext.JSON(http.StatusOK, body)
}
