// Package logline parses the log lines of processes and collects those that explain one request.
package logline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaximumLineBytes is the maximum length of a line.
	MaximumLineBytes = 1 << 20

	// startMessage is the first message that a process logs.
	startMessage = "listening"
)

var (
	// ErrUnknownID reports that no line has the request ID.
	ErrUnknownID = errors.New("no log line has this request ID; check the ID, and pass the logs of all entries from that time")

	// stateMessages are the messages that report the state on which a process bases its decisions.
	stateMessages = []string{"tables in force", "view received", "registry reached", "registry lost", "registry not believed any more", "group", "lease not renewed"}
	// commonFields are left out of Line.Fields: those that Line holds separately, and errorVerbose,
	// which repeats error and adds a stack trace.
	commonFields = []string{"level", "time", "msg", "process", "failure_domain", "request", "target", "errorVerbose"}
)

type (
	// Line is a parsed line of a process's log.
	Line struct {
		Time          time.Time `json:"time"`
		Process       string    `json:"process"`
		FailureDomain string    `json:"failure_domain,omitempty"`
		Level         string    `json:"level"`
		Message       string    `json:"message"`
		Request       string    `json:"request,omitempty"`
		Target        string    `json:"target,omitempty"`
		// Fields holds the remaining fields.
		Fields map[string]any `json:"fields,omitempty"`
	}

	// Explanation holds the lines that explain one request.
	Explanation struct {
		Request string `json:"request"`
		// Decisions are the lines about the request, ordered by time.
		Decisions []Line `json:"decisions"`
		// StateBefore are the lines that show the state of each process in Decisions at its first
		// decision: the latest lines up to then about its tables, view, group and registries, and
		// about the targets that Decisions mention.
		StateBefore []Line `json:"beliefs"`
		// Skipped is the number of lines that couldn't be parsed.
		Skipped int `json:"skipped"`
	}
)

// Read parses the lines of a log and counts those that it can't parse. It ignores any text before
// a line's first brace, because log collectors add prefixes such as times and names.
func Read(reader io.Reader) (lines []Line, skippedCount int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, MaximumLineBytes)
	for scanner.Scan() {
		line, isLine := parse(scanner.Bytes())
		if !isLine {
			skippedCount++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrap(err, "read the log")
	}
	return lines, skippedCount, nil
}

// parse returns the line that text contains, and whether text contains one.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	stringField := func(field string) string {
		value, _ := fields[field].(string)
		return value
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", stringField("time"))
	if err != nil || stringField("msg") == "" {
		return Line{}, false
	}
	line := Line{
		Time: at, Process: stringField("process"), FailureDomain: stringField("failure_domain"), Level: stringField("level"), Message: stringField("msg"),
		Request: stringField("request"), Target: stringField("target"), Fields: fields,
	}
	for _, field := range commonFields {
		delete(fields, field)
	}
	return line, true
}

// Explain collects the lines that explain the request with the given ID. It returns ErrUnknownID
// if no line is about that request.
func Explain(id string, lines []Line) (*Explanation, error) {
	explanation := &Explanation{Request: id}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(left, right Line) int { return left.Time.Compare(right.Time) })
	firstDecisions := map[string]time.Time{}
	for _, line := range lines {
		if line.Request != id {
			continue
		}
		explanation.Decisions = append(explanation.Decisions, line)
		if _, seen := firstDecisions[line.Process]; !seen {
			firstDecisions[line.Process] = line.Time
		}
	}
	if len(explanation.Decisions) == 0 {
		return nil, ErrUnknownID
	}
	explanation.StateBefore = latestStateLines(lines, firstDecisions, explanation.decisionText())
	return explanation, nil
}

// latestStateLines returns the latest lines about the state of each process up to its first decision,
// but none from before its last restart. Of the lines about targets, it returns only those whose
// target decisionText mentions.
func latestStateLines(lines []Line, firstDecisions map[string]time.Time, decisionText string) []Line {
	latest := map[string]Line{}
	for _, line := range lines {
		firstDecision, isInvolved := firstDecisions[line.Process]
		if !isInvolved || line.Time.After(firstDecision) || line.Request != "" {
			continue
		}
		switch {
		case line.Message == startMessage:
			// A restarted process has lost its earlier state.
			maps.DeleteFunc(latest, func(_ string, earlier Line) bool { return earlier.Process == line.Process })
		case line.Target != "" && strings.Contains(decisionText, line.Target):
			latest[line.Process+" target "+line.Target] = line
		case slices.Contains(stateMessages, line.Message):
			latest[fmt.Sprint(line.Process, " ", line.Message, " ", line.Fields["registry"])] = line
		}
	}
	var stateLines []Line
	for _, line := range latest {
		stateLines = append(stateLines, line)
	}
	slices.SortFunc(stateLines, func(left, right Line) int {
		if order := strings.Compare(left.Process, right.Process); order != 0 {
			return order
		}
		if order := left.Time.Compare(right.Time); order != 0 {
			return order
		}
		return strings.Compare(left.Message+left.Target, right.Message+right.Target)
	})
	return stateLines
}

// decisionText returns the targets and the other fields of all decisions as one text.
func (explanation *Explanation) decisionText() string {
	var decisionText strings.Builder
	for _, line := range explanation.Decisions {
		decisionText.WriteString(line.Target)
		fmt.Fprint(&decisionText, line.Fields)
	}
	return decisionText.String()
}

// String formats the line for display, with its time, process, message and fields.
func (line Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s: %s", line.Time.Format("15:04:05.000"), line.Process, line.Message)
	if line.Target != "" {
		fmt.Fprintf(&text, " target=%s", line.Target)
	}
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, line.Fields[name])
	}
	return text.String()
}
