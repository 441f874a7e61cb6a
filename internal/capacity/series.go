package main

import (
	"fmt"
	"math"
	"os"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

type (
	// series is one cost measured at several sizes, to which a straight line is
	// fitted.
	series struct {
		name string
		// sizeName names what the sizes count, such as "target", and costUnit is the
		// unit of the costs.
		sizeName, costUnit string
		sizes, costs       []float64
	}
)

func (series *series) add(size, cost float64) {
	series.sizes = append(series.sizes, size)
	series.costs = append(series.costs, cost)
}

// fit returns the intercept and slope of the fitted line, and the largest
// vertical distance of a point from the line as a share of the largest cost.
func (series *series) fit() (intercept, slope, maxError float64) {
	intercept, slope = stat.LinearRegression(series.sizes, series.costs, nil, false)
	largest := 0.0
	for index, size := range series.sizes {
		maxError = math.Max(maxError, math.Abs(series.costs[index]-(intercept+slope*size)))
		largest = math.Max(largest, math.Abs(series.costs[index]))
	}
	if largest > 0 {
		maxError /= largest
	}
	return intercept, slope, maxError
}

func writeTable(path string, all []*series) error {
	var text strings.Builder
	text.WriteString("# Slopes\n\nWritten by `make capacity`. The error is the largest distance of a point from\nthe line, as a share of the largest cost.\n\n")
	text.WriteString("| cost | unit | sizes | measured | at size 0 | for each | error |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, series := range all {
		intercept, slope, maxError := series.fit()
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.4g | %.4g a %s | %.0f%% |\n",
			series.name, series.costUnit, joinNumbers(series.sizes), joinNumbers(series.costs), intercept, slope, series.sizeName, 100*maxError)
	}
	text.WriteString("\n![slopes](capacity_slopes.svg)\n")
	return os.WriteFile(path, []byte(text.String()), 0o600)
}

func joinNumbers(values []float64) string {
	var texts []string
	for _, value := range values {
		texts = append(texts, fmt.Sprintf("%.4g", value))
	}
	return strings.Join(texts, ", ")
}

// writePlot draws each series relative to its largest size and cost, so that a
// deviation from a straight line is visible.
func writePlot(path string, all []*series) error {
	canvas := plot.New()
	canvas.Title.Text = "Cost by size, each as a share of its largest"
	canvas.X.Label.Text = "size"
	canvas.Y.Label.Text = "cost"
	canvas.Legend.Top, canvas.Legend.Left = true, true
	var lines []any
	for _, series := range all {
		last := len(series.sizes) - 1
		points := plotter.XYs{}
		for index, size := range series.sizes {
			points = append(points, plotter.XY{X: size / series.sizes[last], Y: series.costs[index] / series.costs[last]})
		}
		lines = append(lines, series.name, points)
	}
	if err := plotutil.AddLinePoints(canvas, lines...); err != nil {
		return err
	}
	return canvas.Save(plotWidth, plotHeight, path)
}
