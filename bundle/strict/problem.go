// Package strict decodes JSON that people write by hand: it names the path of
// each unknown, repeated or wrongly typed field and reports all of them at
// once. The standard decoder stops at the first fault, matches names without
// regard to case and lets the last of two equal names win, so that a typing
// mistake in a limit or a residency rule would pass unseen.
package strict

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Problem is one fault at one place of a document.
type Problem struct {
	// Path of the field, such as `targets[3].service`; empty for the document.
	Path string `json:"path"`
	// Message says what is wrong, for people.
	Message string `json:"message"`
}

// String joins path and message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems are all faults of a document; an empty list is no fault.
type Problems []Problem

// Add appends a fault at path.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Error lists one fault a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err is nil where there is no fault, and else the list as an error.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Index is the path of element i of the list at path.
func Index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// plainName matches names that stand in a path without quotes.
var plainName = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// Field is the path of the field name of the object at path.
func Field(path, name string) string {
	if !plainName.MatchString(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
