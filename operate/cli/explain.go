package cli

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/operate/explain"
)

var _ = Register(Command{
	Path:  "explain",
	Short: "Tell the story of one request from the logs of a site",
	Long: `Reads log files of instances of a site and prints what they tell of the request with
an id, in the order of time, with what its instances believed before it, and says what
was not logged. Lines that are torn or of another program are named and left out. Exit
code 1 if no line names the request.

Example: gullhaven explain 9c41d07be2a35f68 entry-1.log entry-2.log core-1.log`,
	New: func(env *Env) flags.Commander { return &explainCommand{env: env} },
})

// explainCommand is the command `explain`.
type explainCommand struct {
	env  *Env
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Files []string `positional-arg-name:"FILE" required:"1" description:"log of an instance"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reads all files and prints the timeline.
func (c *explainCommand) Execute([]string) error {
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
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return annotateFile(path, logs.Read(path, f))
}
