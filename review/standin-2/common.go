package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

func sprintf(format string, arguments ...any) string { return fmt.Sprintf(format, arguments...) }

// recordRun returns a function that records each run with the credential that the leaf got.
func recordRun(lock *sync.Mutex, ran map[string]string, leaf *leaf) func(net.Conn, *http.Request, []byte) {
	return func(_ net.Conn, request *http.Request, _ []byte) {
		id := request.Header.Get("Request-Id")
		lock.Lock()
		ran[id] = request.Header.Get("Authorization")
		lock.Unlock()
		record.line("leaf      %s runs %s", leaf.id, id)
	}
}
