// Command comfreythread is a query tier over many shards.
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
	code := verb.Main(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
