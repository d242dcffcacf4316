// Package explain tells the story of one request from the log lines of the instances of
// a site.
//
// It takes the lines that name the request, those that tell what the instances that
// touched it believed at the time, and says what was not logged. Lines that are no log
// lines, torn ones for example, are told and left out.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// Fields are all others, as they were written.
	Fields map[string]any
	// File and Number say where it stands.
	File   string
	Number int
}

// Skipped is a line that was left out.
type Skipped struct {
	File   string
	Number int
	Reason string
}

// Logs are the lines of several files.
type Logs struct {
	Lines   []Line
	Skipped []Skipped
}

// common are the fields that Line names itself.
var common = []string{"ts", "instance", "msg", "level"}

// Read adds the lines of one file. The error is of the reading, not of a line.
func (l *Logs) Read(file string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for n := 1; s.Scan(); n++ {
		text := bytes.TrimSpace(s.Bytes())
		if len(text) == 0 {
			continue
		}
		line, err := parse(text)
		if err != nil {
			l.Skipped = append(l.Skipped, Skipped{file, n, err.Error()})
			continue
		}
		line.File, line.Number = file, n
		l.Lines = append(l.Lines, line)
	}
	return s.Err()
}

// parse reads one line. What a collector wrote before the object is passed over.
func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, fmt.Errorf("no log line of an instance")
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, fmt.Errorf("torn or foreign: %w", err)
	}
	ts, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, ts)
	if err != nil {
		return Line{}, fmt.Errorf("no time of a log line: %q", ts)
	}
	line := Line{At: at, Fields: fields}
	line.Instance, _ = fields["instance"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range common {
		delete(fields, name)
	}
	return line, nil
}

// ends are the messages that end a request at an instance.
var ends = []string{"served", "refused", "broke off", "caller left"}

// beliefs are the messages that tell what an instance believes from then on.
var beliefs = []string{"in force", "leader", "list of targets changed", "started", "leaving"}

// Story is what the logs tell of one request.
type Timeline struct {
	// Lines in the order of their times: those of the request, and before them the last
	// ones that tell what its instances believed.
	Lines []Line
	// Gaps says in sentences what was not logged.
	Gaps []string
}

// Tell finds the story of a request; false if no line names it.
func (l *Logs) Timeline(id string) (Timeline, bool) {
	var own []Line
	instances := map[string]bool{}
	for _, line := range l.Lines {
		if line.Fields["id"] == id {
			own = append(own, line)
			instances[line.Instance] = true
		}
	}
	if len(own) == 0 {
		return Timeline{}, false
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.At.Compare(b.At) })
	s := Timeline{Lines: append(l.beliefs(own[0].At, instances), own...)}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.Gaps = l.gaps(own, instances)
	return s, true
}

// beliefs are the last lines of each kind before a time.
func (l *Logs) beliefs(before time.Time, instances map[string]bool) []Line {
	last := map[string]Line{}
	for _, line := range l.Lines {
		if !instances[line.Instance] || line.At.After(before) || !slices.Contains(beliefs, line.Message) {
			continue
		}
		key := line.Instance + " " + line.Message
		if old, ok := last[key]; !ok || line.At.After(old.At) {
			last[key] = line
		}
	}
	out := make([]Line, 0, len(last))
	for _, line := range last {
		out = append(out, line)
	}
	return out
}

// gaps says what is missing: ends, other regions, lines that were dropped.
func (l *Logs) gaps(own []Line, instances map[string]bool) []string {
	var out []string
	for _, instance := range sorted(instances) {
		ended := slices.ContainsFunc(own, func(line Line) bool {
			return line.Instance == instance && slices.Contains(ends, line.Message)
		})
		if !ended {
			out = append(out, fmt.Sprintf("its end at %s is not logged: answered requests have a budget of lines, and callers that leave are logged at the level debug", instance))
		}
	}
	for _, line := range own {
		place, _ := line.Fields["place"].(string)
		if strings.Contains(place, ":") && len(instances) == 1 {
			out = append(out, fmt.Sprintf("it was passed on to the instance at %s, of which these files have no line about it", place))
		}
	}
	from, to := own[0].At, own[len(own)-1].At
	for _, line := range l.Lines {
		if line.Message != "log lines missing" || !instances[line.Instance] || line.At.Before(from) || line.At.After(to.Add(time.Second)) {
			continue
		}
		out = append(out, fmt.Sprintf("%s left out %v lines and dropped %v at that time", line.Instance, line.Fields["left_out"], line.Fields["dropped"]))
	}
	return out
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Write prints a story: a line for each line, times from the first one of the request.
func (s Timeline) Write(w io.Writer, id string) error {
	var zero time.Time
	for _, line := range s.Lines {
		if line.Fields["id"] == id {
			zero = line.At
			break
		}
	}
	for _, line := range s.Lines {
		if _, err := fmt.Fprintf(w, "%+9.3f s  %s  %s  %s\n", line.At.Sub(zero).Seconds(), line.Instance, line.Message, fieldsOf(line)); err != nil {
			return err
		}
	}
	for _, gap := range s.Gaps {
		if _, err := fmt.Fprintf(w, "not logged: %s\n", gap); err != nil {
			return err
		}
	}
	return nil
}

// fieldsOf writes the fields in the order of their names.
func fieldsOf(line Line) string {
	names := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		if name != "id" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
