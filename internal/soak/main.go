// Soak runs the real program as processes on one machine, injects faults from outside the
// processes and checks the system's promises. See README.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	command := &cli.Command{
		Name: "soak", Usage: "run the real program under faults and check its promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "number of concurrent soaks, with six processes each"},
			&cli.DurationFlag{Name: "span", Value: time.Minute, Usage: "time during which faults are injected for each seed"},
			&cli.StringFlag{Name: "binary", Value: "bin/comfreythread", Usage: "path of the comfreythread program"},
			&cli.StringFlag{Name: "old-binary", Usage: "path of the program of an earlier build, which every process runs at first and changes from and to"},
			&cli.StringFlag{Name: "folder", Value: "soak-logs", Usage: "folder for the logs of failed seeds"},
		},
		Action: soakSeeds,
	}
	err := command.Run(ctx, os.Args)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func soakSeeds(ctx context.Context, command *cli.Command) error {
	binary, err := filepath.Abs(command.String("binary"))
	if err != nil {
		return err
	}
	oldBinary := command.String("old-binary")
	if oldBinary != "" {
		if oldBinary, err = filepath.Abs(oldBinary); err != nil {
			return err
		}
	}
	seeds := make(chan uint64)
	var jobs sync.WaitGroup
	var lock sync.Mutex
	var failed []uint64
	for range command.Int("jobs") {
		jobs.Go(func() {
			for seed := range seeds {
				if soakSeed(ctx, seed, binary, oldBinary, command.String("folder"), command.Duration("span"), command.Root().Writer) {
					continue
				}
				lock.Lock()
				failed = append(failed, seed)
				lock.Unlock()
			}
		})
	}
	for number := range command.Int("seeds") {
		seeds <- command.Uint64("seed") + uint64(number)
	}
	close(seeds)
	jobs.Wait()
	if len(failed) > 0 {
		return errors.Errorf("%d seeds failed: %v; their logs are in %s", len(failed), failed, command.String("folder"))
	}
	return ctx.Err()
}

// soakSeed runs the soak of one seed and reports whether all promises held. It keeps the folder
// of a failed seed.
func soakSeed(ctx context.Context, seed uint64, binary, oldBinary, folder string, length time.Duration, output io.Writer) bool {
	folder = filepath.Join(folder, fmt.Sprint("seed-", seed))
	if err := os.RemoveAll(folder); err != nil {
		_, _ = fmt.Fprintln(output, err)
		return false
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		_, _ = fmt.Fprintln(output, err)
		return false
	}
	notes, err := os.Create(filepath.Join(folder, "notes"))
	if err != nil {
		_, _ = fmt.Fprintln(output, err)
		return false
	}
	defer func() { _ = notes.Close() }()
	soak := newSoak(seed, binary, folder, notes)
	soak.useOldBuild(oldBinary)
	violations := soak.run(ctx, length)
	for _, violation := range violations {
		soak.note("VIOLATION %s", violation)
	}
	_, _ = fmt.Fprintf(output, "seed %d: %d violations; %s\n", seed, len(violations), soak.summary())
	for _, violation := range violations[:min(len(violations), 5)] {
		_, _ = fmt.Fprintln(output, "  "+violation)
	}
	if len(violations) > 0 {
		return false
	}
	return os.RemoveAll(folder) == nil
}
