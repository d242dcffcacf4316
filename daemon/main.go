// Package daemon is the command line of gullhavend: it runs one instance, or
// the stand-ins of targets.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Exit codes.
const (
	// ExitOK is a graceful end or a passed check.
	ExitOK = 0
	// ExitFailed is wrong settings, an address in use, a damaged disk, or requests
	// cut off at the end.
	ExitFailed = 1
	// ExitUsage is a wrong command line.
	ExitUsage = 2
)

// options of the command line.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings of the instance"`
	Check    bool   `long:"check" description:"Check the settings, print all faults and exit"`
	Dev      bool   `long:"dev" description:"Run one instance with embedded defaults, a stand-in engine and plain services inside, on 127.0.0.1:8080"`
}

const usage = `Runs one instance of gullhaven.

Examples:
  gullhavend --dev
  gullhavend --settings instance.json --check
  gullhavend --settings instance.json
  gullhavend site --settings site.json
  gullhavend standin --engines 127.0.0.1:7201 --plain 127.0.0.1:7251

SIGTERM and SIGINT end it gracefully: other instances stop naming it to
callers, and requests in progress are finished first.

Exit codes: 0 ended gracefully, or the check passed; 1 failed, or requests were
cut off at the end; 2 wrong command line.`

// errUsage marks a wrong command line.
var errUsage = errors.New("wrong command line")

// Main runs a command line without the program's name and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, args, out, errOut)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return ExitOK
	case errors.As(err, &flagsErr), errors.Is(err, errUsage):
		_, _ = fmt.Fprintln(errOut, err)
		return ExitUsage
	default:
		_, _ = fmt.Fprintln(errOut, "gullhavend:", err)
		return ExitFailed
	}
}

// run parses the command line and runs its command until ctx ends.
func run(ctx context.Context, args []string, out, errOut io.Writer) error {
	var o options
	parser := flags.NewNamedParser("gullhavend", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = usage
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Instance", "", &o); err != nil {
		return err
	}
	standins := &standinOptions{}
	standinCommand, err := parser.AddCommand("standin", "Run stand-ins of targets", "Runs stand-in engines and plain services until it is ended.", standins)
	if err != nil {
		return err
	}
	site := &siteOptions{}
	siteCommand, err := parser.AddCommand("site", "Run an instance of a site", "Runs one instance that routes by host and path, on a platform that lists its targets, until it is ended.", site)
	if err != nil {
		return err
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return fmt.Errorf("%w: unknown argument %q", errUsage, rest[0])
	}
	switch {
	case parser.Active == standinCommand:
		return standins.run(ctx, out)
	case parser.Active == siteCommand:
		return site.run(ctx, out)
	case o.Dev && o.Settings == "":
		return runDev(ctx, out, errOut)
	case o.Settings != "" && !o.Dev:
		return runInstance(ctx, o, out, errOut)
	default:
		return fmt.Errorf("%w: give --settings FILE, --dev or the command standin; --help tells more", errUsage)
	}
}

// newLogger returns a logger that writes JSON lines of at least a level to w.
func newLogger(w io.Writer, level string) (*zap.Logger, error) {
	core, err := newLogCore(w, level)
	if err != nil {
		return nil, err
	}
	return zap.New(core), nil
}

func newLogCore(w io.Writer, level string) (zapcore.Core, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), parsed), nil
}
