// Package web contains the code that all HTTP interfaces share: limits on what a peer may
// send, strict decoding, and typed errors.
package web

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"gitlab.com/comfreythread/comfreythread/internal/document"
	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// MaximumBodyBytes is the maximum size of a request's body.
	MaximumBodyBytes = 4 << 20
	// MaximumHeaderBytes is the maximum size of a request's headers.
	MaximumHeaderBytes = 16 << 10
	// MaximumConnections bounds the connections of one listener.
	MaximumConnections = 4096

	readHeaderTimeout = 2 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 75 * time.Second
	idleTimeout       = 90 * time.Second
)

// NewEngine returns a router without routes that turns a panic into a typed error and
// continues the peer's trace.
func NewEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(gin.CustomRecoveryWithWriter(io.Discard, func(ginContext *gin.Context, _ any) {
		RespondError(ginContext, fault.New(fault.Internal, "the request hit a defect", "report it with the request"))
	}))
	engine.Use(func(ginContext *gin.Context) {
		carrier := propagation.HeaderCarrier(ginContext.Request.Header)
		ctx := propagation.TraceContext{}.Extract(ginContext.Request.Context(), carrier)
		ginContext.Request = ginContext.Request.WithContext(ctx)
	})
	engine.NoRoute(func(ginContext *gin.Context) {
		RespondError(ginContext, fault.New(fault.NotFound, "the path is unknown", "see docs/INTERFACES.md for the paths"))
	})
	engine.NoMethod(func(ginContext *gin.Context) {
		ginContext.JSON(http.StatusMethodNotAllowed, fault.New(fault.BadRequest, "the path doesn't take this method", "see docs/INTERFACES.md for the methods"))
	})
	return engine
}

// NewServer returns an HTTP server with limits on what a peer may send and on
// how long it may take.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           Counted(handler),
		ConnContext:       inbound.Context,
		ConnState:         inbound.StateChanged,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaximumHeaderBytes,
	}
}

// Serve serves connections until the server is shut down.
func Serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Decode decodes the JSON body of a request strictly, and calls Check if into is a
// document.Checker. It returns a typed error if the body is too large, arrives too slowly or
// is incomplete, or if its content is invalid.
func Decode(ginContext *gin.Context, into any) error {
	data, err := ReadBody(ginContext, MaximumBodyBytes)
	if err != nil {
		return err
	}
	return decode(data, into)
}

// DecodeDocument is like Decode, for a document with lists of objects, whose decoded form may take many times its size.
func DecodeDocument(ginContext *gin.Context, into any) error {
	data, err := ReadBody(ginContext, MaximumBodyBytes)
	if err != nil {
		return err
	}
	if err := ReserveDocument(ginContext, data); err != nil {
		return err
	}
	return decode(data, into)
}

func decode(data []byte, into any) error {
	if checker, isChecker := into.(document.Checker); isChecker {
		return document.DecodeAndCheck(data, checker)
	}
	return document.Decode(data, into)
}

// bodyFault returns the typed error for a failure to read a body of up to maximum bytes.
func bodyFault(err error, maximum int64) error {
	if errors.Is(err, inbound.ErrTooLarge) {
		return fault.New(fault.TooLarge, fmt.Sprintf("the body is over %d bytes", maximum), "send less at a time")
	}
	if errors.Is(err, inbound.ErrNoMemory) {
		return noMemoryFault()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.New(fault.TooSlow, "the body did not arrive within "+readTimeout.String(), "send it faster, or less at a time")
	}
	return fault.New(fault.BadRequest, "the body broke off", "send as many bytes as Content-Length says")
}

// RespondError aborts the request with err. It sends an err that isn't a *fault.Error as one
// of kind fault.Unavailable.
func RespondError(ginContext *gin.Context, err error) {
	var typed *fault.Error
	if !errors.As(err, &typed) {
		typed = fault.New(fault.Unavailable, err.Error(), "try again")
	}
	ginContext.AbortWithStatusJSON(statusOf(typed.Kind), typed)
}

// RespondEmpty sends the response of a call without a result: an empty object, or the typed
// error.
func RespondEmpty(ginContext *gin.Context, err error) {
	if err != nil {
		RespondError(ginContext, err)
		return
	}
	ginContext.JSON(http.StatusOK, struct{}{})
}

func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.TooSlow:
		return http.StatusRequestTimeout
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict:
		return http.StatusConflict
	case fault.Unavailable:
		return http.StatusServiceUnavailable
	case fault.Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// Shutdown stops a server once the requests in progress have ended. If ctx ends before that,
// it closes their connections and returns an error.
func Shutdown(ctx context.Context, server *http.Server) error {
	err := server.Shutdown(ctx)
	if err != nil {
		_ = server.Close()
	}
	return err
}
