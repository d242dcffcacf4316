package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/gullhaven/gullhaven/operate"
	"github.com/gullhaven/gullhaven/operate/load"
)

var _ = Register(Command{
	Path:  "load",
	Short: "Send a bounded load to instances on loopback and check every answer",
	Long: `Sends requests at a mean rate, whether or not earlier ones have ended, to the
instances that the directory names, and checks each answer: whole streams, the
answer to the own prompt, the form of refusals. It refuses addresses that are
not on loopback.

With --plain the requests run at most once, each with an Idempotency-Key; a
share is sent again to another instance, and whatever ended unknown as well.
--audit asks the service's stand-in targets at the end how often they ran each
key.

With --baseline the same load goes straight to a stand-in engine in the same
run.

Exit code 1 if a stream ended without a mark, an answer or refusal was wrong, a
key ran twice or a verdict was wrong. Refusals, and connections that broke, are
counted and no fault by themselves.

Example: gullhaven load --to 127.0.0.1:8080 --key dev-key --model dev-llm --rate 100 --for 10s --baseline 127.0.0.1:8091`,
	New: func(env *Env) flags.Commander { return &loadCommand{env: env} },
})

// loadCommand is the command `load`.
type loadCommand struct {
	env          *Env
	To           []string      `long:"to" required:"yes" value-name:"IP:PORT[,IP:PORT]" description:"callers' interface of instances on loopback; repeat for more"`
	Keys         []string      `long:"key" required:"yes" value-name:"KEY" description:"workspace key; repeat for more, callers take them in turn"`
	Model        string        `long:"model" value-name:"NAME" description:"what completions ask for"`
	Plain        string        `long:"plain" value-name:"SERVICE" description:"plain service that is asked in place of a model, with requests that run at most once"`
	Region       string        `long:"region" description:"region of the callers; that of the first instance if not given"`
	Zone         string        `long:"zone" description:"availability zone of the callers"`
	Callers      int           `long:"callers" default:"8" description:"number of callers, each with a directory of its own"`
	Rate         float64       `long:"rate" default:"20" description:"mean of arrivals a second"`
	For          time.Duration `long:"for" default:"10s" description:"how long requests arrive"`
	Concurrency  int           `long:"concurrency" default:"256" description:"requests under way at most; as many may wait for a sender"`
	Tokens       int           `long:"tokens" default:"16" description:"tokens of each answer"`
	PromptTokens int           `long:"prompt-tokens" default:"250" description:"tokens of each prompt"`
	SharedPrefix int           `long:"shared-prefix" value-name:"TOKENS" description:"tokens at the start that all prompts share"`
	DeadlineMS   int64         `long:"deadline-ms" description:"deadline of each request; the service's if not given"`
	Resend       float64       `long:"resend" default:"0.2" value-name:"SHARE" description:"share of plain requests that is sent again to another instance, half of them while the first may still run"`
	Audit        []string      `long:"audit" value-name:"IP:PORT[,IP:PORT]" description:"stand-in targets of the plain service, asked at the end how often they ran each key"`
	Baseline     string        `long:"baseline" value-name:"IP:PORT" description:"stand-in engine that gets the same load straight"`
	AnyEngine    bool          `long:"any-engine" description:"do not compare texts with what the stand-in engine answers"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of arrivals and texts"`
	JSON         bool          `long:"json" description:"print JSON"`
}

// Execute sends the load and prints the report.
func (c *loadCommand) Execute(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q", args[0])
	}
	report, err := load.Run(c.env.Context, c.config(), load.Env{
		Now: c.env.Now, Sleep: c.env.Sleep,
		Progress: func(line string) { c.env.Progress("%s", line) },
	})
	if report != nil {
		if written := c.write(report); written != nil {
			return written
		}
	}
	switch {
	case errors.Is(err, load.ErrNoInstance):
		return fmt.Errorf("%w: %w", operate.ErrUnreachable, err)
	case err != nil:
		return err
	case report.Faults() > 0:
		return ErrRefused
	}
	return nil
}

func (c *loadCommand) config() load.Config {
	return load.Config{
		To: splitCommas(c.To), Keys: c.Keys, Model: c.Model, Plain: c.Plain, Region: c.Region, Zone: c.Zone,
		Callers: c.Callers, Rate: c.Rate, Duration: c.For, Concurrency: c.Concurrency,
		Tokens: c.Tokens, PromptTokens: c.PromptTokens, SharedPrefix: c.SharedPrefix,
		Deadline:    time.Duration(c.DeadlineMS) * time.Millisecond,
		ResendShare: c.Resend, Audit: splitCommas(c.Audit), Baseline: c.Baseline,
		SkipTextCheck: c.AnyEngine, Seed: c.Seed,
	}
}

// splitCommas joins the items of comma-separated lists.
func splitCommas(lists []string) []string {
	var all []string
	for _, list := range lists {
		all = append(all, strings.FieldsFunc(list, func(r rune) bool { return r == ',' })...)
	}
	return all
}

func (c *loadCommand) write(r *load.Report) error {
	if c.JSON {
		return json.NewEncoder(c.env.Out).Encode(r)
	}
	r.Write(c.env.Out)
	return nil
}
