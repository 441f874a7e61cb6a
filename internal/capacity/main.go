// Command capacity measures how the system's costs grow with size, fits a
// straight line to each, and writes the table and the plot that
// docs/CAPACITY.md refers to.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
)

const (
	tablePath = "docs/capacity_slopes.md"
	plotPath  = "docs/capacity_slopes.svg"
)

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	var all []*series
	for _, measure := range []func(context.Context) ([]*series, error){measureStandin, measureFanOut, measureDirectory, measureLookups, measureControl} {
		measured, err := measure(ctx)
		if err != nil {
			return err
		}
		all = append(all, measured...)
	}
	if err := writeTable(tablePath, all); err != nil {
		return errors.Wrap(err, "write table")
	}
	if err := writePlot(plotPath, all); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}
