// Package strict decodes JSON that people write by hand. It reports the paths of
// all unknown, repeated or wrongly typed fields at once. The standard decoder
// stops at the first problem, ignores the case of names and lets the last of two
// equal names win, so that a typo in a limit or a residency rule would go
// unnoticed.
package strict

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Problem is one error at one path of a document.
type Problem struct {
	// Path of the field, such as `targets[3].service`; empty for the document.
	Path string `json:"path"`
	// Message describes the problem.
	Message string `json:"message"`
}

// String returns path and message, separated by a colon.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems are all problems of a document; an empty list means that it is valid.
type Problems []Problem

// Add appends a problem at path.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Index returns the path of element i of the list at path.
func Index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// unquotedName matches names that need no quotes in a path.
var unquotedName = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// Field returns the path of the field name of the object at path. A name with
// other characters than letters, digits, "_" and "-" is quoted.
func Field(path, name string) string {
	if !unquotedName.MatchString(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}
