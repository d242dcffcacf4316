// Package explain shows the timeline of one request from the log lines of the
// instances of a site.
//
// A timeline has the lines that name the request, the earlier lines on the state
// of its instances, and sentences on what was not logged. Lines that can't be
// parsed, for example truncated ones, are listed and skipped.
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

const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// Fields are all other fields of the line, as written.
	Fields map[string]any
	// File and Number (from 1) locate the line.
	File   string
	Number int
}

// Skipped is a line that could not be parsed.
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

// lineFields are the log fields that are not kept in Line.Fields.
var lineFields = []string{"ts", "instance", "msg", "level"}

// Read adds the lines of one file. A line that can't be parsed goes to Skipped;
// the error is that of the reader or bufio.ErrTooLong for a line beyond 1 MiB.
func (l *Logs) Read(file string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
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

// parse reads one line. Text before the JSON object, as log collectors write it,
// is ignored.
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
	for _, name := range lineFields {
		delete(fields, name)
	}
	return line, nil
}

// endMessages are logged when a request ends at an instance.
var endMessages = []string{"served", "refused", "broke off", "caller left"}

// stateMessages are logged when what an instance knows changes.
var stateMessages = []string{"in force", "leader", "list of targets changed", "started", "leaving"}

// Timeline holds the log lines about one request.
type Timeline struct {
	// Lines in the order of time: those of the request, and the last state messages
	// that its instances logged before it.
	Lines []Line
	// Gaps says in a sentence each what was not logged.
	Gaps []string
}

// Timeline returns the timeline of a request, or false if no line names it.
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
	s := Timeline{Lines: append(l.stateBefore(own[0].At, instances), own...)}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.Gaps = l.gaps(own, instances)
	return s, true
}

// stateBefore returns the last line of each state message that each of the
// instances logged up to a time.
func (l *Logs) stateBefore(before time.Time, instances map[string]bool) []Line {
	last := map[string]Line{}
	for _, line := range l.Lines {
		if !instances[line.Instance] || line.At.After(before) || !slices.Contains(stateMessages, line.Message) {
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

// gaps returns a sentence for each instance without an end of the request, for a
// request that was forwarded to an instance without lines, and for lines that the
// logger left out or dropped during the request or up to a second after it.
func (l *Logs) gaps(own []Line, instances map[string]bool) []string {
	var out []string
	for _, instance := range sortedNames(instances) {
		ended := slices.ContainsFunc(own, func(line Line) bool {
			return line.Instance == instance && slices.Contains(endMessages, line.Message)
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

func sortedNames(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Write prints one line for each log line, with the time in seconds since the first
// line that names the request, and one for each gap.
func (s Timeline) Write(w io.Writer, id string) error {
	var zero time.Time
	for _, line := range s.Lines {
		if line.Fields["id"] == id {
			zero = line.At
			break
		}
	}
	for _, line := range s.Lines {
		if _, err := fmt.Fprintf(w, "%+9.3f s  %s  %s  %s\n", line.At.Sub(zero).Seconds(), line.Instance, line.Message, formatFields(line)); err != nil {
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

// formatFields formats the fields except id, in the order of their names.
func formatFields(line Line) string {
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
