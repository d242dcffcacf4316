// Package cli is the operators' command line. Each command registers itself in its
// own file.
package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/operate"
)

// Exit codes.
const (
	// ExitOK is success.
	ExitOK = 0
	// ExitRefused is a refused bundle, a failed check or any other failure.
	ExitRefused = 1
	// ExitUsage is a wrong command line.
	ExitUsage = 2
	// ExitUnreachable means that no instance answered; the outcome is unknown.
	ExitUnreachable = 3
)

// ErrRefused ends a command that has already printed why it failed.
const ErrRefused = errors.ConstError("refused")

// longHelp is the long description in the main help.
const longHelp = `Operators' command line of gullhaven.

Exit codes: 0 success; 1 refused or failed; 2 wrong command line; 3 no instance
answered, so that nothing is known about the outcome (sending the same bundle
again is safe).`

// Env is the environment of a command: context, output and clock.
type Env struct {
	Context context.Context
	Out     io.Writer
	Err     io.Writer
	Now     func() time.Time
	// Sleep waits, or returns early with the context's error.
	Sleep func(context.Context, time.Duration) error
}

// Printf writes to standard output. A failed write is ignored: the reader sees it.
func (e *Env) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format, args...)
}

// Progress writes a line to standard error.
func (e *Env) Progress(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format+"\n", args...)
}

// Command is one command.
type Command struct {
	// Path is the words that name it, one or two, such as "bundle check".
	Path string
	// Short is the line in lists of commands, Long the help text with an example.
	Short, Long string
	// New returns the options struct, whose Execute runs the command.
	New func(*Env) flags.Commander
}

// groupHelp has the help of the first words of commands with two.
var groupHelp = map[string]string{
	"bundle":   "Check, sign, compare and roll bundles",
	"keygen":   "Make keys of operators and instances",
	"settings": "Check settings of instances",
	"report":   "Reports on the service",
}

// commands are the registered commands.
var commands []Command

// Register adds a command and returns true, for use in a declaration
// `var _ = Register(...)`.
func Register(c Command) bool {
	commands = append(commands, c)
	return true
}

// Run runs a command line without the program's name and returns the exit code.
func Run(env *Env, args []string) int {
	parser, err := newParser(env)
	if err != nil {
		env.Progress("%v", err)
		return ExitRefused
	}
	_, err = parser.ParseArgs(args)
	return env.exitCode(err)
}

// newParser returns a parser with all commands, in the order of their names.
func newParser(env *Env) (*flags.Parser, error) {
	parser := flags.NewNamedParser("gullhaven", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longHelp
	all := slices.Clone(commands)
	slices.SortFunc(all, func(x, y Command) int { return strings.Compare(x.Path, y.Path) })
	for _, c := range all {
		if err := addCommand(parser.Command, c, env); err != nil {
			return nil, errors.Annotatef(err, "command %q", c.Path)
		}
	}
	return parser, nil
}

// addCommand adds a command under its group, if it has one.
func addCommand(parent *flags.Command, c Command, env *Env) error {
	name := c.Path
	if group, rest, two := strings.Cut(c.Path, " "); two {
		name = rest
		found := parent.Find(group)
		if found == nil {
			var err error
			if found, err = parent.AddCommand(group, groupHelp[group], groupHelp[group], &struct{}{}); err != nil {
				return err
			}
		}
		parent = found
	}
	_, err := parent.AddCommand(name, c.Short, c.Long, c.New(env))
	return err
}

// exitCode prints an error, unless it was printed before, and returns the code.
func (e *Env) exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		e.Printf("%s\n", usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		e.Progress("%s\nTry --help.", usage.Message)
		return ExitUsage
	case errors.Is(err, operate.ErrUnreachable):
		e.Progress("%v", err)
		return ExitUnreachable
	case errors.Is(err, ErrRefused):
		return ExitRefused
	default:
		e.Progress("%v", err)
		return ExitRefused
	}
}

// Paths returns the paths of all commands, sorted.
func Paths() []string {
	paths := make([]string, len(commands))
	for i, c := range commands {
		paths[i] = c.Path
	}
	slices.Sort(paths)
	return paths
}
