package logline_test

import (
	"errors"
	"strings"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/logline"
)

const (
	log = `{"level":"info","time":"2026-03-26T18:49:09.000Z","msg":"view received","process":"e1","view":17}
{"level":"info","time":"2026-03-26T18:49:09.500Z","msg":"listening","process":"e1"}
{"level":"info","time":"2026-03-26T18:49:10.000Z","msg":"tables in force","process":"e1","version":3}
 12.5 e1 {"level":"info","time":"2026-03-26T18:49:11.000Z","msg":"tables in force","process":"e1","version":4}
{"level":"info","time":"2026-03-26T18:49:11.500Z","msg":"target changed","process":"e1","target":"t1","silent":true}
{"level":"info","time":"2026-03-26T18:49:11.500Z","msg":"target changed","process":"e1","target":"t2","silent":true}
{"level":"info","time":"2026-03-26T18:49:12.100Z","msg":"request refused","process":"e1","request":"q1","reason":"no_target"}
{"level":"info","time":"2026-03-26T18:49:12.000Z","msg":"attempt failed","process":"e1","request":"q1","target":"t1","outcome":"lost","errorVerbose":"reset:\n    attempt.go:7"}
{"level":"info","time":"2026-03-26T18:49:12.200Z","msg":"tables in force","process":"e1","version":5}
{"level":"info","time":"2026-03-26T18:49:11.900Z","msg":"tables in force","process":"e2","version":5}
not a line
`
)

func TestExplain(t *testing.T) {
	lines, skipped, err := logline.Read(strings.NewReader(log))
	if err != nil || skipped != 1 {
		t.Fatal(err, skipped)
	}
	explanation, err := logline.Explain("q1", lines)
	if err != nil {
		t.Fatal(err)
	}
	var text []string
	for _, line := range append(explanation.Decisions, explanation.StateBefore...) {
		text = append(text, line.String())
	}
	expected := []string{
		"18:49:12.000 e1: attempt failed target=t1 outcome=lost",
		"18:49:12.100 e1: request refused reason=no_target",
		"18:49:11.000 e1: tables in force version=4",
		"18:49:11.500 e1: target changed target=t1 silent=true",
	}
	if strings.Join(text, "\n") != strings.Join(expected, "\n") {
		t.Errorf("got\n%s", strings.Join(text, "\n"))
	}
	if _, err := logline.Explain("q2", lines); !errors.Is(err, logline.ErrUnknownID) {
		t.Errorf("unknown ID: error %v, want ErrUnknownID", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(log))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines, _, err := logline.Read(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		for _, line := range lines {
			_ = line.String()
			_, _ = logline.Explain(line.Request, lines)
		}
	})
}
