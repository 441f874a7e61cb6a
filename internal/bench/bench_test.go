package bench_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

var (
	reportFolder = flag.String("bench-report", "", "folder to write MEASURES.md to; without this and -bench-only nothing is measured")
	nameFilter   = flag.String("bench-only", "", "measure only rows whose deployment/load/system name has this text")
)

// TestMeasures measures every system under every load and writes the report.
func TestMeasures(t *testing.T) {
	if *reportFolder == "" && *nameFilter == "" {
		t.Skip("run make bench")
	}
	var rows []row
	for _, deployment := range []standin.Deployment{standin.Banaag, standin.Atelier} {
		for index := range loads {
			for _, system := range systems {
				measured := row{deployment: deployment, load: &loads[index], system: system}
				if strings.Contains(measured.name(), *nameFilter) {
					rows = append(rows, measured)
				}
			}
		}
	}
	t.Run("rows", func(t *testing.T) {
		for index := range rows {
			t.Run(rows[index].name(), func(t *testing.T) {
				t.Parallel()
				rows[index].figures = measureRow(t, &rows[index])
			})
		}
	})
	if *reportFolder != "" {
		if err := writeReport(*reportFolder, rows); err != nil {
			t.Fatal(err)
		}
	}
}

// measureRow measures the row's system under its load, and prints and returns the figures.
func measureRow(t *testing.T, row *row) *figures {
	var measured *figures
	startedAt := time.Now()
	bubble.Test(t, func(t *testing.T) {
		trial := &trial{system: row.system, load: row.load, deployment: row.deployment}
		var err error
		measured, err = trial.run(context.Background())
		if err != nil {
			t.Error(row.name(), err)
		}
		time.Sleep(10 * time.Minute)
	})
	if measured == nil {
		t.Fatal(row.name())
	}
	fmt.Printf("%-62s p50 %6.1f p99 %6.1f p99.9 %6.1f ms, in bound %6.2f%%, coverage %.4f complete %.4f, extra %+6.1f%%, refused %v failed %d, peak/limit %.1f, violations %d %v (%.1fs)\n",
		row.name(), milliseconds(measured.p50), milliseconds(measured.p99), milliseconds(measured.p999), measured.withinBoundShare*100, measured.meanCoverage, measured.completeShare, measured.extraLoad*100,
		measured.refusals, measured.failedCount, measured.peakSlotRatio, measured.violationCount(), measured.violations, time.Since(startedAt).Seconds())
	return measured
}

func milliseconds(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}
