package faults_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/bubble"
)

const (
	// pairCount is the number of cells with two faults, and sampleSize the number of
	// cells that a run without -cell draws from all.
	pairCount    = 60
	knownRedFile = "../../KNOWN-RED.txt"
	sampleSize   = 5
	// failedCellsFile lists cells that CI runs besides its sample.
	failedCellsFile = "testdata/failed_cells.txt"
)

var (
	onlyCell = flag.String("cell", "", "run only the cells of this name, FAULT/STEP or FAULT+FAULT/STEP; the name all stands for every cell")
	seed     = flag.Uint64("seed", 1, "seed of the cells")
)

// TestMatrix runs cells, each an injection of faults at a step, and prints the matrix
// of their results. Without -cell it runs a sample drawn by the seed, and the cells
// that failed once.
func TestMatrix(t *testing.T) {
	cells := selectCells()
	knownViolations := knownRed()
	results := make([]*outcome, len(cells))
	t.Run("cells", func(t *testing.T) {
		for index, cell := range cells {
			results[index] = &outcome{problem: "the cell did not end"}
			t.Run(cell.name(), func(t *testing.T) {
				// Bubbles share the globals of libraries, and the race detector
				// reports them. CI runs the sample under it, so the cells of
				// the sample run one at a time.
				if *onlyCell != "" {
					t.Parallel()
				}
				results[index] = runCell(t, cell)
				if !results[index].isClean() {
					fmt.Printf("%s: %s; make faults CELL='%s' SEED=%d\n", cell.name(), results[index], cell.name(), cell.seed)
				}
			})
		}
	})
	symbols := map[string]string{}
	failedCount, knownCount := 0, 0
	for index, cell := range cells {
		result := results[index]
		symbols[cell.name()] = result.symbol()
		if result.isClean() {
			continue
		}
		if result.isKnown(cell.name(), knownViolations) {
			knownCount++
			fmt.Printf("known red (KNOWN-RED.txt): %s\n", cell.name())
		} else {
			failedCount++
			t.Errorf("%s failed", cell.name())
		}
	}
	printMatrix(symbols)
	fmt.Printf("cells %d, violations %d, known red %d\n", len(cells), failedCount, knownCount)
}

// runCell runs a cell in a bubble of testing/synctest. An error of the cell becomes the
// outcome's problem.
func runCell(t *testing.T, cell *cell) *outcome {
	var result *outcome
	bubble.Test(t, func(*testing.T) {
		completed, err := cell.run(context.Background())
		if err != nil {
			completed = &outcome{problem: err.Error()}
		}
		result = completed
		time.Sleep(10 * time.Minute)
	})
	return result
}

// selectCells returns the cells to run: those that -cell names, every cell with
// a sample of pairs for -cell all, or otherwise a sample of these and the cells
// that failed once.
func selectCells() []*cell {
	random := rand.New(rand.NewPCG(*seed, 1))
	var all, sampled []*cell
	for fault := range faults {
		for step := range steps {
			all = append(all, newCell(step, fault))
		}
	}
	for range pairCount {
		first, second := random.IntN(len(faults)), random.IntN(len(faults))
		all = append(all, newCell(random.IntN(len(steps)), first, second))
	}
	if *onlyCell == "all" {
		return all
	}
	if *onlyCell != "" {
		return cellsNamed(*onlyCell)
	}
	for _, index := range random.Perm(len(all))[:sampleSize] {
		sampled = append(sampled, all[index])
	}
	return append(sampled, failedCells()...)
}

// failedCells returns the cells listed in failedCellsFile, each with its seed.
func failedCells() []*cell {
	var cells []*cell
	data, err := os.ReadFile(failedCellsFile)
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(data)) {
		line, _, _ = strings.Cut(line, "#")
		seedText, name, found := strings.Cut(strings.TrimSpace(line), " ")
		if !found {
			continue
		}
		cellSeed, err := strconv.ParseUint(seedText, 10, 64)
		matching := cellsNamed(name)
		if err != nil || len(matching) != 1 {
			panic(fmt.Sprintf("%s: %q is not a seed and the name of one cell", failedCellsFile, line))
		}
		matching[0].seed = cellSeed
		cells = append(cells, matching...)
	}
	return cells
}

// newCell returns a cell for the step and the faults with the given indexes.
func newCell(stepIndex int, faultIndexes ...int) *cell {
	created := &cell{step: &steps[stepIndex], seed: *seed}
	for _, fault := range faultIndexes {
		created.faults = append(created.faults, &faults[fault])
	}
	return created
}

// cellsNamed returns the cells that a name matches. An empty fault or step
// matches any.
func cellsNamed(name string) []*cell {
	faultNames, stepName, _ := strings.Cut(name, "/")
	var found []*cell
	for step := range steps {
		if stepName != "" && steps[step].name != stepName {
			continue
		}
		var faultIndexes []int
		for fault := range faults {
			for _, wanted := range strings.Split(faultNames, "+") {
				if faults[fault].name == wanted {
					faultIndexes = append(faultIndexes, fault)
				}
			}
			if faultNames == "" {
				found = append(found, newCell(step, fault))
			}
		}
		if len(faultIndexes) > 0 {
			found = append(found, newCell(step, faultIndexes...))
		}
	}
	return found
}

// knownRed reads the known violations, each of which comes from a real fault,
// from KNOWN-RED.txt. Each consists of a text that the cell's name contains, and the
// promise that is broken.
func knownRed() [][2]string {
	var known [][2]string
	data, err := os.ReadFile(knownRedFile)
	if err != nil {
		return known
	}
	for line := range strings.Lines(string(data)) {
		_, cell, hasCell := strings.Cut(line, "CELL='")
		_, promise, hasPromise := strings.Cut(line, "PROMISE='")
		if hasCell && hasPromise {
			cell, _, _ = strings.Cut(cell, "'")
			promise, _, _ = strings.Cut(promise, "'")
			known = append(known, [2]string{cell, promise})
		}
	}
	return known
}

// isKnown reports whether the cell ran without a problem of its own and found only
// known violations, in the form that knownRed returns.
func (outcome *outcome) isKnown(cellName string, knownViolations [][2]string) bool {
	for _, violation := range outcome.violations {
		if !slices.ContainsFunc(knownViolations, func(entry [2]string) bool {
			return strings.Contains(cellName, entry[0]) && string(violation.Promise) == entry[1]
		}) {
			return false
		}
	}
	return outcome.problem == ""
}

// isClean reports whether the cell ran without a problem and found no violation.
func (outcome *outcome) isClean() bool {
	return outcome.problem == "" && len(outcome.violations) == 0
}

// symbol returns the cell's text in the matrix.
func (outcome *outcome) symbol() string {
	switch {
	case outcome.problem != "":
		return "?"
	case len(outcome.violations) > 0:
		return fmt.Sprint(len(outcome.violations))
	}
	return "."
}

// String lists each broken promise once, with the count of its violations and
// the detail of the first.
func (outcome *outcome) String() string {
	var parts []string
	if outcome.problem != "" {
		parts = append(parts, outcome.problem)
	}
	counts := map[string]int{}
	for _, violation := range outcome.violations {
		counts[string(violation.Promise)]++
	}
	for _, violation := range outcome.violations {
		if name := string(violation.Promise); counts[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s (%d): %s", name, counts[name], violation.Detail))
			counts[name] = 0
		}
	}
	return fmt.Sprintf("answered %d of %d; %s", outcome.answeredCount, outcome.sentCount, strings.Join(parts, "; "))
}

// printMatrix prints a row for each fault and a column for each step. A cell
// that wasn't run is blank.
func printMatrix(results map[string]string) {
	fmt.Println("steps:")
	for number, step := range steps {
		fmt.Printf("%3d %-16s %s\n", number+1, step.name, step.detection)
	}
	fmt.Printf("%-36s", "fault")
	for number := range steps {
		fmt.Printf("%4d", number+1)
	}
	fmt.Println()
	for _, fault := range faults {
		fmt.Printf("%-36s", fault.name)
		for _, step := range steps {
			fmt.Printf("%4s", results[fault.name+"/"+step.name])
		}
		fmt.Println()
	}
}
