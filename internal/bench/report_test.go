package bench_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

const (
	plotWidth      = 24 * vg.Centimeter
	plotHeight     = 10 * vg.Centimeter
	barWidth       = 0.35 * vg.Centimeter
	extraLoadBound = 0.05

	introduction = `# Measures

Written by ` + "`make bench`" + ` (seed %d); don't edit. The product's own code and stand-in
targets run on a network in memory under the runtime's paused clock, so the figures hold
queueing, latency and timeouts, and no processor time. Load and run times repeat; the order in which
goroutines run does not, so that figures differ a little between runs. MEASURES_PLATFORM.md has the processor
time and allocations of an attempt of HTTP routes, and days on the users' bench.

- Sizes and latencies are the brief's: 6 entries, two in each failure domain; each failure domain is its
  own region, so that 12 ms lie between two; 3 ms to callers; none within one; 6 or 1 ms for a new connection besides.
- A run takes a log-normal time of median %v, sigma %.1f. Each pool gets %d requests a second at random
  times, from 200 contents of which few are popular (overload: one pool alone, at a multiple of what its slots can run).
- **naive** asks one replica of each shard itself, in turn, limits counted by each entry alone, no hedge, no
  retry, no pinned version, and is told at once what operators take out.
  Targets don't slow down when they are overrun, which favours naive.
  **homes** is ours with disable_hedges and disable_retries in each pool, **retries** with disable_hedges alone,
  **hedges** with neither. Callers allow three runs a shard.
- Latency is the caller's. A request without a whole answer counts with all the time that it had (%v;
  overload %v). "In bound" is the share of requests answered whole within %v. Extra load is attempts that arrived
  at targets over shards asked for, less one. Peak is the most runs at a time over a target's slots.
- Bounds of the users: 99 in 100 within %v and whole wherever a healthy replica exists in time; extra load at most 5%%
  in steady state; no violation. What breaks one is **bold**.

`
)

type (
	// row holds the figures of one system under one load.
	row struct {
		deployment standin.Deployment
		load       *load
		system     system
		figures    *figures
	}

	// chart describes one bar chart.
	chart struct {
		name, title, unit string
		value             func(figures *figures) float64
	}
)

var (
	latencyChart  = chart{"tail", "p99 latency", "ms", func(figures *figures) float64 { return milliseconds(figures.p99) }}
	coverageChart = chart{"coverage", "mean coverage", "%", func(figures *figures) float64 { return figures.meanCoverage * 100 }}
	extraChart    = chart{"extra_load", "extra load", "%", func(figures *figures) float64 { return figures.extraLoad * 100 }}
)

func (row *row) name() string {
	return strings.Join([]string{row.deployment.Name, row.load.name, row.system.name}, "/")
}

// writeReport writes MEASURES.md and its plots into a folder.
func writeReport(folder string, rows []row) error {
	var text strings.Builder
	fmt.Fprintf(&text, introduction, seed, medianRunDuration, runDurationSigma, requestsPerSecond, requestTimeout, overloadTimeout, tailBound, tailBound)
	for _, deployment := range []standin.Deployment{standin.Banaag, standin.Atelier} {
		charts := []chart{latencyChart, coverageChart, extraChart}
		if deployment.Name == standin.Atelier.Name {
			charts = []chart{coverageChart, latencyChart, extraChart}
		}
		deploymentRows := rowsOf(rows, deployment.Name)
		if err := writeDeployment(&text, folder, deployment.Name, deploymentRows, charts); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(folder, "MEASURES.md"), []byte(text.String()), 0o644)
}

func writeDeployment(text *strings.Builder, folder, name string, rows []row, charts []chart) error {
	fmt.Fprintf(text, "## %s%s\n\n", strings.ToUpper(name[:1]), name[1:])
	for _, chart := range charts {
		if err := drawBars(folder, name, chart, rows); err != nil {
			return err
		}
		fmt.Fprintf(text, "![%s](measures/%s_%s.svg)\n\n", chart.title, name, chart.name)
	}
	if err := drawTimeline(folder, name, rows); err != nil {
		return err
	}
	fmt.Fprintf(text, "![service while a failure domain leaves and returns](measures/%s_service.svg)\n\n", name)
	writeTable(text, rows, name == standin.Banaag.Name)
	return nil
}

func writeTable(text *strings.Builder, rows []row, tailFirst bool) {
	tail, cover := "p50 ms | p99 ms | p99.9 ms | in bound", "mean coverage | whole"
	columns := []string{cover, tail}
	if tailFirst {
		columns = []string{tail, cover}
	}
	fmt.Fprintf(text, "| load | system | %s | extra load | refused | failed | peak / slots | violations |\n", strings.Join(columns, " | "))
	fmt.Fprintf(text, "|---|---|%s\n", strings.Repeat("---:|", 11))
	for _, row := range rows {
		figures := row.figures
		tail := fmt.Sprintf("%.1f | %s | %.1f | %.2f%%", milliseconds(figures.p50), bold(row.load.tail && figures.p99 > tailBound, "%.1f", milliseconds(figures.p99)), milliseconds(figures.p999), figures.withinBoundShare*100)
		cover := fmt.Sprintf("%.4f | %s", figures.meanCoverage, bold(row.load.tail && figures.completeShare < 1, "%.2f%%", figures.completeShare*100))
		columns := []string{cover, tail}
		if tailFirst {
			columns = []string{tail, cover}
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s | %d | %d | %.1f | %s |\n", row.load.name, row.system.name, strings.Join(columns, " | "),
			bold(row.load.steady && figures.extraLoad > extraLoadBound, "%+.1f%%", figures.extraLoad*100), figures.refusedCount, figures.failedCount, figures.peakSlotRatio,
			bold(figures.violationCount() > 0, "%s", violationText(figures)))
	}
	text.WriteString("\nOverload, goodput: whole answers a second, because callers accept any coverage and a thin answer\nserves them less. What was sent counts from the first request, the onset of the overload included.\n\n| load | system | in the callers' time | in bound | p50 ms |\n|---|---|---:|---:|---:|\n")
	for _, row := range rows {
		if row.load.capacityFactor > 0 {
			fmt.Fprintf(text, "| %s | %s | %.0f | %.0f | %.1f |\n", row.load.name, row.system.name, row.figures.goodput, row.figures.goodputWithinBound, milliseconds(row.figures.p50))
		}
	}
	text.WriteString("\n")
}

func bold(exceeded bool, format string, arguments ...any) string {
	text := fmt.Sprintf(format, arguments...)
	if exceeded {
		return "**" + text + "**"
	}
	return text
}

func violationText(figures *figures) string {
	if figures.violationCount() == 0 {
		return "0"
	}
	var parts []string
	for _, promise := range standin.Promises {
		if count := figures.violations[promise]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", promise, count))
		}
	}
	return strings.Join(parts, ", ")
}

func rowsOf(rows []row, deployment string) []row {
	var found []row
	for _, row := range rows {
		if row.deployment.Name == deployment {
			found = append(found, row)
		}
	}
	return found
}

// drawBars draws one group of bars for each load except overload.
func drawBars(folder, name string, chart chart, rows []row) error {
	canvas := plot.New()
	canvas.Title.Text = name + ": " + chart.title
	canvas.Y.Label.Text = chart.unit
	canvas.Legend.Top = true
	var labels []string
	for number, system := range systems {
		var values plotter.Values
		labels = nil
		for _, row := range rows {
			if row.system.name == system.name && row.load.capacityFactor == 0 {
				values = append(values, chart.value(row.figures))
				labels = append(labels, row.load.name)
			}
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(number)
		bars.Offset = barWidth * vg.Length(float64(number)-float64(len(systems)-1)/2)
		canvas.Add(bars)
		canvas.Legend.Add(system.name, bars)
	}
	if len(labels) > 0 {
		canvas.NominalX(labels...)
	}
	canvas.X.Tick.Label.Font.Size = 7
	return save(canvas, folder, name+"_"+chart.name)
}

// drawTimeline draws the coverage while a failure domain leaves and returns.
func drawTimeline(folder, name string, rows []row) error {
	canvas := plot.New()
	canvas.Title.Text = name + ": coverage while a failure domain is out from 1 s to 8 s"
	canvas.X.Label.Text, canvas.Y.Label.Text = "s", "%"
	canvas.Y.Min, canvas.Y.Max = 0, 105
	for number, system := range systems {
		for _, row := range rows {
			if row.system.name != system.name || row.load.name != outAndBack {
				continue
			}
			var points plotter.XYs
			for step, share := range row.figures.timeline {
				points = append(points, plotter.XY{X: float64(step) * timelineStep.Seconds(), Y: share * 100})
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(number)
			line.Width = vg.Points(float64(4 - number))
			canvas.Add(line)
			canvas.Legend.Add(system.name, line)
		}
	}
	return save(canvas, folder, name+"_service")
}

func save(canvas *plot.Plot, folder, name string) error {
	plots := filepath.Join(folder, "measures")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	return canvas.Save(plotWidth, plotHeight, filepath.Join(plots, name+".svg"))
}
