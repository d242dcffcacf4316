package cli

import (
	"encoding/json"
	"io"
	"os"
	"path"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/operate/explain"
)

var _ = Register(Command{
	Path:  "explain",
	Short: "Tell the story of one request from the logs of a site, or count why requests failed",
	Long: `Reads log files of instances of a site and prints what they tell of the request with
an id, in the order of time, with what its instances believed before it, and says what
was not logged. Lines that are torn or of another program are named and left out. Exit
code 1 if no line names the request.

With --causes, all arguments are files. It counts the requests that were rejected,
aborted or failed by their first cause, in all and by region, route, workspace and
second. Lines that can't be read are counted. Log lines don't state the region of their
instance: name it with --region. Exit code 1 if the files have no log line.

Example: gullhaven explain 9c41d07be2a35f68 entry-1.log entry-2.log core-1.log
Example: gullhaven explain --causes --region 'north=entry-north-*' entry-*.log`,
	New: func(env *Env) flags.Commander { return &explainCommand{env: env} },
})

// explainCommand is the command `explain`.
type explainCommand struct {
	env     *Env
	Causes  bool     `long:"causes" description:"count the requests that were not served, by first cause"`
	JSON    bool     `long:"json" description:"with --causes: print JSON"`
	Regions []string `long:"region" value-name:"REGION=PATTERN" description:"with --causes: the instances whose names match the pattern are in this region; the first match counts"`
	Args    struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request; with --causes the first file"`
		Files []string `positional-arg-name:"FILE" description:"log of an instance"`
	} `positional-args:"yes"`
}

// Execute reads all files and prints the timeline or the causes.
func (c *explainCommand) Execute([]string) error {
	switch {
	case c.Causes && c.Args.ID == "":
		return usageError(flags.ErrRequired, "--causes needs at least one FILE")
	case c.Causes:
		return c.printCauses(append([]string{c.Args.ID}, c.Args.Files...))
	case c.JSON || len(c.Regions) > 0:
		return usageError(flags.ErrRequired, "--json and --region need --causes")
	case c.Args.ID == "" || len(c.Args.Files) == 0:
		return usageError(flags.ErrRequired, "the required arguments `ID` and `FILE (at least 1 argument)` were not provided")
	}
	return c.printTimeline()
}

func usageError(kind flags.ErrorType, message string) error {
	return &flags.Error{Type: kind, Message: message}
}

func (c *explainCommand) printTimeline() error {
	var logs explain.Logs
	for _, path := range c.Args.Files {
		if err := readLog(&logs, path); err != nil {
			return err
		}
	}
	for _, s := range logs.Skipped {
		c.env.Progress("%s:%d: left out: %s", s.File, s.Number, s.Reason)
	}
	timeline, ok := logs.Timeline(c.Args.ID)
	if !ok {
		c.env.Printf("no line of these files names the request %q\n", c.Args.ID)
		return ErrRefused
	}
	return timeline.Write(c.env.Out, c.Args.ID)
}

func readLog(logs *explain.Logs, path string) error {
	return withFile(path, func(r io.Reader) error { return logs.Read(path, r) })
}

// withFile opens a file and passes it to read.
func withFile(path string, read func(io.Reader) error) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return annotateFile(path, read(f))
}

// printCauses counts the lines of all files and prints the report.
func (c *explainCommand) printCauses(files []string) error {
	regions, err := parseRegions(c.Regions)
	if err != nil {
		return err
	}
	counter := explain.NewCounter(regions.of, explain.MaxRequests)
	for _, name := range files {
		err := withFile(name, func(r io.Reader) error {
			unreadable, err := explain.Scan(name, r, counter.Add)
			counter.AddUnreadable(unreadable)
			return err
		})
		if err != nil {
			return err
		}
	}
	report := counter.Report()
	if c.JSON {
		err = json.NewEncoder(c.env.Out).Encode(report)
	} else {
		err = report.Write(c.env.Out)
	}
	if err == nil && report.Lines == 0 {
		c.env.Progress("these files have no log line of an instance")
		return ErrRefused
	}
	return err
}

// regionPattern assigns the instances whose names match a pattern to a region.
type regionPattern struct{ region, pattern string }

type regionPatterns []regionPattern

// parseRegions parses the values of --region.
func parseRegions(values []string) (regionPatterns, error) {
	var out regionPatterns
	for _, value := range values {
		region, pattern, ok := strings.Cut(value, "=")
		if _, err := path.Match(pattern, ""); err != nil || !ok || region == "" {
			return nil, usageError(flags.ErrMarshal, "--region "+value+": not of the form REGION=PATTERN")
		}
		out = append(out, regionPattern{region, pattern})
	}
	return out, nil
}

// of returns the region of an instance, or "" if no pattern matches.
func (p regionPatterns) of(instance string) string {
	for _, r := range p {
		if ok, _ := path.Match(r.pattern, instance); ok {
			return r.region
		}
	}
	return ""
}
