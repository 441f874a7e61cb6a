package bench_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

var (
	report = flag.String("bench-report", "", "folder to write MEASURES.md to; without it nothing is measured")
	only   = flag.String("bench-only", "", "measure only what has this text in deployment/load/system")
)

// TestMeasures measures every system under every load and writes the report.
func TestMeasures(t *testing.T) {
	if *report == "" && *only == "" {
		t.Skip("run make bench")
	}
	var rows []row
	for _, deployment := range []standin.Deployment{standin.Banaag, standin.Atelier} {
		for index := range loads {
			for _, system := range systems {
				name := strings.Join([]string{deployment.Name, loads[index].name, system.name}, "/")
				if !strings.Contains(name, *only) {
					continue
				}
				rows = append(rows, row{deployment: deployment, load: &loads[index], system: system, figures: measureOne(t, name, deployment, &loads[index], system)})
			}
		}
	}
	if *report != "" {
		if err := writeReport(*report, rows); err != nil {
			t.Fatal(err)
		}
	}
}

func measureOne(t *testing.T, name string, deployment standin.Deployment, load *load, system system) *figures {
	var measured *figures
	began := time.Now()
	synctest.Test(t, func(t *testing.T) {
		trial := &trial{system: system, load: load, deployment: deployment}
		var err error
		measured, err = trial.run(context.Background())
		if err != nil {
			t.Error(name, err)
		}
		time.Sleep(10 * time.Minute)
	})
	if measured == nil {
		t.Fatal(name)
	}
	fmt.Printf("%-62s p50 %6.1f p99 %6.1f p99.9 %6.1f ms, in bound %6.2f%%, coverage %.4f complete %.4f, extra %+6.1f%%, refused %d failed %d, peak/limit %.1f, violations %d %v (%.1fs)\n",
		name, ms(measured.p50), ms(measured.p99), ms(measured.p999), measured.inBound*100, measured.coverage, measured.complete, measured.extraLoad*100,
		measured.refused, measured.failed, measured.peak, measured.violationCount(), measured.violations, time.Since(began).Seconds())
	return measured
}

func ms(span time.Duration) float64 {
	return float64(span) / float64(time.Millisecond)
}
