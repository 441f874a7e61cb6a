// The HTTP handlers through which callers use the coordinator.

package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

type (
	// Coordinator runs requests. Exactly one of the results of Run is not nil.
	Coordinator interface {
		Run(ctx context.Context, request *caller.Request) (*caller.Answer, *caller.Refusal)
	}

	// Server handles the requests of callers.
	Server struct {
		self        string
		maxAge      time.Duration
		board       *blackboard.Board
		coordinator Coordinator

		lock sync.Mutex
		// cancels holds the functions that cancel the requests in progress.
		cancels map[caller.RequestID]context.CancelFunc
	}
)

// NewServer returns the server for callers of the entry whose ID is self. Callers may use
// the addresses that it returns for maxAge.
func NewServer(self string, maxAge time.Duration, board *blackboard.Board, coordinator Coordinator) *Server {
	return &Server{self: self, maxAge: maxAge, board: board, coordinator: coordinator, cancels: map[caller.RequestID]context.CancelFunc{}}
}

// Register adds the server's routes.
func (server *Server) Register(engine *gin.Engine) {
	engine.Use(server.closeWhileStopping)
	engine.GET("/v1/entries", server.entries)
	engine.POST("/v1/requests", server.run)
	engine.DELETE("/v1/requests/:id", server.cancel)
}

// entries returns the addresses of usable entries. An entry without a lease returns an error
// instead, because its list may contain entries that have stopped since it lost the lease.
func (server *Server) entries(ginContext *gin.Context) {
	if server.board.InForce().Fenced() {
		web.RespondError(ginContext, fault.New(fault.Unavailable, "this entry holds no lease from control, so that it can't tell which entries serve", "ask another entry that you know"))
		return
	}
	ginContext.JSON(http.StatusOK, Addresses(server.self, server.maxAge, server.board))
}

// closeWhileStopping makes callers send no further request on a connection that is about to
// be closed: a request that crosses with the close would be lost.
func (server *Server) closeWhileStopping(ginContext *gin.Context) {
	if server.board.InForce().Stopping() {
		ginContext.Header("Connection", "close")
	}
}

func (server *Server) run(ginContext *gin.Context) {
	request := new(caller.Request)
	if err := web.Decode(ginContext, request); err != nil {
		server.refuse(ginContext, badRequest(err))
		return
	}
	// Callers may use the address of this entry for maxAge after its failure domain was taken out.
	if server.board.InForce().OutFor() > server.maxAge {
		server.refuse(ginContext, &caller.Refusal{
			Kind: caller.RefusedStopping, RequestID: request.ID, Run: caller.NotRun, RetryAfter: duration.Of(time.Millisecond),
			Message: "this entry's failure domain is taken out", Remedy: "use one of the entries listed",
		})
		return
	}
	defer server.board.Loads().Begin()()
	ctx, cancel := context.WithCancel(ginContext.Request.Context())
	defer cancel()
	if !server.begin(request.ID, cancel) {
		server.refuse(ginContext, &caller.Refusal{
			Kind: caller.RefusedAlreadySent, RequestID: request.ID, Run: caller.MayHaveRun,
			Message: "a request of this ID is in progress here", Remedy: "wait for its answer, or cancel it",
			RetryAfter: request.Timeout,
		})
		return
	}
	defer server.end(request.ID)
	answer, refusal := server.coordinator.Run(ctx, request)
	if refusal != nil {
		server.refuse(ginContext, refusal)
		return
	}
	ginContext.JSON(http.StatusOK, answer)
}

func (server *Server) cancel(ginContext *gin.Context) {
	server.lock.Lock()
	cancel, running := server.cancels[caller.RequestID(ginContext.Param("id"))]
	server.lock.Unlock()
	if !running {
		web.RespondError(ginContext, fault.New(fault.NotFound, "no request of this ID is in progress here", "cancel at the entry that has the request"))
		return
	}
	cancel()
	ginContext.Status(http.StatusNoContent)
}

// begin stores the cancel function of a request. It returns false if a request with this ID is
// already in progress.
func (server *Server) begin(id caller.RequestID, cancel context.CancelFunc) bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	if _, running := server.cancels[id]; running {
		return false
	}
	server.cancels[id] = cancel
	return true
}

func (server *Server) end(id caller.RequestID) {
	server.lock.Lock()
	defer server.lock.Unlock()
	delete(server.cancels, id)
}

// refuse sends a refusal. It adds the addresses of usable entries if the request has not run and
// another entry can run it.
func (server *Server) refuse(ginContext *gin.Context, refusal *caller.Refusal) {
	if refusal.Run == caller.NotRun && (refusal.Kind == caller.RefusedFenced || refusal.Kind == caller.RefusedStopping) {
		refusal.Entries = Addresses(server.self, server.maxAge, server.board).Entries
	}
	if refusal.RetryAfter > 0 {
		// The header takes whole seconds; the body has the exact duration.
		seconds := max(1, int(refusal.RetryAfter.Std().Seconds()))
		ginContext.Header("Retry-After", strconv.Itoa(seconds))
	}
	ginContext.JSON(statusOf(refusal.Kind), refusal)
}

func badRequest(err error) *caller.Refusal {
	refusal := &caller.Refusal{
		Kind: caller.RefusedBadRequest, Run: caller.NotRun, Message: err.Error(), Remedy: "mend the request", RetryAfter: duration.Of(0),
	}
	var typed *fault.Error
	if errors.As(err, &typed) {
		refusal.Message, refusal.Remedy, refusal.Problems = typed.Message, typed.Remedy, typed.Problems
	}
	return refusal
}

func statusOf(kind caller.RefusalKind) int {
	switch kind {
	case caller.RefusedBadRequest:
		return http.StatusBadRequest
	case caller.RefusedUnknownKind:
		return http.StatusNotFound
	case caller.RefusedExpired:
		return http.StatusGone
	case caller.RefusedAlreadySent:
		return http.StatusConflict
	case caller.RefusedQuarantined:
		return http.StatusUnprocessableEntity
	case caller.RefusedOverloaded:
		return http.StatusTooManyRequests
	case caller.RefusedDeadline, caller.RefusedAnswerLost:
		return http.StatusGatewayTimeout
	case caller.RefusedCancelled:
		return http.StatusRequestTimeout
	case caller.RefusedFenced, caller.RefusedStopping, caller.RefusedNoReplica, caller.RefusedCoverage, caller.RefusedControlUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusServiceUnavailable
}
