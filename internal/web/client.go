// What an HTTP server does so that its clients stay within the memory that they may take together.

package web

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/inbound"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

const (
	// decodingFactor is how many times its size a body takes while it is decoded.
	decodingFactor = 4
	// memoryPerContainer and memoryPerElement are what an object or a list, and one more element of either, take in the decoded form
	// of a document.
	memoryPerContainer = 384
	memoryPerElement   = 32

	// maximumReads is the number of reads of the tables that are prepared at a time, each of which takes many times the size of the
	// tables.
	maximumReads = 4
	// readWait is how long a read of the tables waits for others.
	readWait = 5 * time.Second
)

type (
	// countedWriter counts an answer toward the memory of its client while it is written.
	countedWriter struct {
		http.ResponseWriter
		connection *inbound.Connection
	}

	// Reads bounds the reads of the tables that are prepared at a time. Create it with NewReads.
	Reads struct {
		places chan struct{}
	}
)

// NewReads returns a bound of its own.
func NewReads() *Reads {
	return &Reads{places: make(chan struct{}, maximumReads)}
}

// Prepare calls a function that prepares an answer, once there is room for it. The answer must be written afterwards: a client may
// take any time to read it.
func (reads *Reads) Prepare(ctx context.Context, prepare func(ctx context.Context) ([]byte, error)) ([]byte, error) {
	timer := time.NewTimer(readWait)
	defer timer.Stop()
	select {
	case reads.places <- struct{}{}:
		defer func() { <-reads.places }()
		return prepare(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
		return nil, fault.New(fault.Unavailable, "other reads are in progress", "try again")
	}
}

// Counted returns a handler that counts the requests and answers of a handler toward the memory of their clients.
func Counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		connection := inbound.ConnectionOf(request)
		if connection == nil {
			handler.ServeHTTP(writer, request)
			return
		}
		connection.BeginRequest()
		if request.ContentLength == 0 && connection.Serve() != nil {
			writer.Header().Set("Connection", "close")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(&countedWriter{ResponseWriter: writer, connection: connection}, request)
	})
}

// Unwrap is for http.ResponseController.
func (countedWriter *countedWriter) Unwrap() http.ResponseWriter {
	return countedWriter.ResponseWriter
}

// Write implements http.ResponseWriter.
func (countedWriter *countedWriter) Write(data []byte) (written int, err error) {
	countErr := countedWriter.connection.WriteAnswer(int64(len(data)), func() error {
		written, err = countedWriter.ResponseWriter.Write(data)
		return nil
	})
	if countErr != nil {
		return 0, countErr
	}
	return written, err
}

// ReadBody reads the body of a request of up to maximum bytes, and counts the memory for decoding it. It returns a typed error if the
// body is too large, arrives too slowly or is incomplete, or if there is no memory for it.
func ReadBody(ginContext *gin.Context, maximum int64) ([]byte, error) {
	request := ginContext.Request
	connection := inbound.ConnectionOf(request)
	data, err := connection.ReadBody(request.Body, request.ContentLength, maximum)
	if err == nil {
		err = connection.Reserve(int64(len(data)) * (decodingFactor - 1))
	}
	if err == nil {
		err = connection.Serve()
	}
	if err != nil {
		ginContext.Header("Connection", "close")
		return nil, bodyFault(err, maximum)
	}
	return data, nil
}

// ReserveDocument counts the memory for the decoded form of a document with lists of objects. It returns a typed error if there is
// none, and one of kind fault.TooLarge if the document takes more than any may.
func ReserveDocument(ginContext *gin.Context, data []byte) error {
	connection := inbound.ConnectionOf(ginContext.Request)
	bytes := int64(0)
	for _, character := range data {
		switch character {
		case '{', '[':
			bytes += memoryPerContainer
		case ',':
			bytes += memoryPerElement
		}
	}
	err := connection.Reserve(bytes)
	if err != nil && !connection.MayEverHold(bytes) {
		return fault.New(fault.TooLarge, "the document has too many values", "send fewer")
	}
	if errors.Is(err, inbound.ErrNoMemory) {
		return noMemoryFault()
	}
	return err
}

func noMemoryFault() error {
	return fault.New(fault.Unavailable, "other requests take the memory for this one; it was not carried out", "try again")
}
