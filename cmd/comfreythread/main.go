// Command comfreythread runs and operates a query tier over many shards.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gitlab.com/comfreythread/comfreythread/internal/verb"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // stop catching signals, so that a second one kills the process at once
	code := verb.Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
