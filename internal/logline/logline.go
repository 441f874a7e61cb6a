// Package logline reads the log lines of processes and puts those together that
// explain one request.
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
	// MaximumLineBytes bounds one line.
	MaximumLineBytes = 1 << 20

	// startMessage is the first that a process writes.
	startMessage = "listening"
)

var (
	// ErrUnknownID reports an ID that no line names.
	ErrUnknownID = errors.New("no line names this request; check the ID, and give the logs of all entries of that time")

	// beliefs are the messages by which a process says what it believes.
	beliefs = []string{"tables in force", "view received", "registry reached", "registry lost", "registry not believed any more", "group", "lease not renewed"}
	// envelope are the fields that every line has, and errorVerbose, which says
	// again what error says and where in the source it arose.
	envelope = []string{"level", "time", "msg", "process", "failure_domain", "request", "target", "errorVerbose"}
)

type (
	// Line is one line of a process's log.
	Line struct {
		Time          time.Time `json:"time"`
		Process       string    `json:"process"`
		FailureDomain string    `json:"failure_domain,omitempty"`
		Level         string    `json:"level"`
		Message       string    `json:"message"`
		Request       string    `json:"request,omitempty"`
		Target        string    `json:"target,omitempty"`
		// Fields holds the rest.
		Fields map[string]any `json:"fields,omitempty"`
	}

	// Explanation is what the lines say of one request.
	Explanation struct {
		Request string `json:"request"`
		// Decisions are the lines about the request, in the order of time.
		Decisions []Line `json:"decisions"`
		// Beliefs are, for each process that decided something, the last lines
		// before its first decision about its tables, view, group and registries,
		// and about the targets that are named.
		Beliefs []Line `json:"beliefs"`
		// Skipped counts lines of other forms.
		Skipped int `json:"skipped"`
	}
)

// Read reads lines. Whatever stands before a line's first brace is passed over,
// because log collectors put times and names there.
func Read(reader io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, MaximumLineBytes)
	for scanner.Scan() {
		line, isLine := parse(scanner.Bytes())
		if !isLine {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, errors.Wrap(err, "read the log")
	}
	return lines, skipped, nil
}

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
	name := func(field string) string {
		value, _ := fields[field].(string)
		return value
	}
	at, err := time.Parse("2006-01-02T15:04:05.000Z0700", name("time"))
	if err != nil || name("msg") == "" {
		return Line{}, false
	}
	line := Line{
		Time: at, Process: name("process"), FailureDomain: name("failure_domain"), Level: name("level"), Message: name("msg"),
		Request: name("request"), Target: name("target"), Fields: fields,
	}
	for _, field := range envelope {
		delete(fields, field)
	}
	return line, true
}

// Explain puts together what lines say of a request.
func Explain(id string, lines []Line) (*Explanation, error) {
	explanation := &Explanation{Request: id}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(left, right Line) int { return left.Time.Compare(right.Time) })
	first := map[string]time.Time{}
	for _, line := range lines {
		if line.Request != id {
			continue
		}
		explanation.Decisions = append(explanation.Decisions, line)
		if _, known := first[line.Process]; !known {
			first[line.Process] = line.Time
		}
	}
	if len(explanation.Decisions) == 0 {
		return nil, ErrUnknownID
	}
	explanation.Beliefs = believed(lines, first, explanation.text())
	return explanation, nil
}

// believed returns the last lines before each process's first decision.
func believed(lines []Line, first map[string]time.Time, decisions string) []Line {
	last := map[string]Line{}
	for _, line := range lines {
		decided, concerned := first[line.Process]
		if !concerned || line.Time.After(decided) || line.Request != "" {
			continue
		}
		switch {
		case line.Message == startMessage:
			// A process that starts believes nothing.
			maps.DeleteFunc(last, func(_ string, earlier Line) bool { return earlier.Process == line.Process })
		case line.Target != "" && strings.Contains(decisions, line.Target):
			last[line.Process+" target "+line.Target] = line
		case slices.Contains(beliefs, line.Message):
			last[fmt.Sprint(line.Process, " ", line.Message, " ", line.Fields["registry"])] = line
		}
	}
	var found []Line
	for _, line := range last {
		found = append(found, line)
	}
	slices.SortFunc(found, func(left, right Line) int {
		if order := strings.Compare(left.Process, right.Process); order != 0 {
			return order
		}
		if order := left.Time.Compare(right.Time); order != 0 {
			return order
		}
		return strings.Compare(left.Message+left.Target, right.Message+right.Target)
	})
	return found
}

func (explanation *Explanation) text() string {
	var text strings.Builder
	for _, line := range explanation.Decisions {
		text.WriteString(line.Target)
		fmt.Fprint(&text, line.Fields)
	}
	return text.String()
}

// String returns the line for people: time, process, message and fields.
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
