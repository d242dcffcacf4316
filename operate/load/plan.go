package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Side is where a request goes.
type Dest uint8

// Sides of a run.
const (
	// Through the gateway.
	ToGateway Dest = iota
	// Straight to the engine.
	ToEngine
)

// Resend is when a key is sent a second time.
type Resend uint8

// Kinds of resends.
const (
	ResendNever Resend = iota
	// ResendDuring sends again while the first sending may still run.
	ResendDuring
	// ResendAfter sends again after the first sending ended.
	ResendAfter
)

// resendDelay is how long after the first sending a ResendDuring begins.
const resendDelay = 2 * time.Millisecond

// Request is one arrival.
type Request struct {
	// At is when it arrives, from the start.
	At time.Duration
	// Number counts arrivals of a side from 0; both sides send the same text
	// under a number.
	Number int
	Dest   Dest
	Caller int
	Resend Resend
	// Pick, 0 to 1, chooses among the caller's instances.
	Pick float64
}

// Plan gives out arrivals in the order of time. Intervals are exponential, so
// that arrivals come in bursts as those of independent callers do. The same
// configuration gives the same plan.
type Plan struct {
	cfg  *Config
	rng  *rand.Rand
	next [2]Request
}

// planStream keeps the plan's numbers apart from other uses of a seed.
const planStream = 0x10ad

// NewPlan makes the plan of a checked configuration.
func NewPlan(c *Config) *Plan {
	p := &Plan{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, planStream))}
	for _, side := range []Dest{ToGateway, ToEngine} {
		p.next[side] = Request{Dest: side, Number: -1}
		p.advance(side)
	}
	return p
}

// Next returns the next arrival, or false after the last.
func (p *Plan) Next() (Request, bool) {
	side := ToGateway
	if p.cfg.Baseline != "" && p.next[ToEngine].At < p.next[ToGateway].At {
		side = ToEngine
	}
	r := p.next[side]
	if r.At >= p.cfg.Duration {
		return Request{}, false
	}
	p.advance(side)
	return r, true
}

// advance draws the next arrival of a side.
func (p *Plan) advance(side Dest) {
	r := &p.next[side]
	r.Number++
	r.At += time.Duration(p.rng.ExpFloat64() / p.cfg.Rate * float64(time.Second))
	r.Caller = p.rng.IntN(p.cfg.Callers)
	r.Pick = p.rng.Float64()
	r.Resend = p.resend()
}

func (p *Plan) resend() Resend {
	share, half := p.rng.Float64(), p.rng.IntN(2)
	if p.cfg.Plain == "" || share >= p.cfg.ResendShare {
		return ResendNever
	}
	return ResendDuring + Resend(half)
}

// bytesPerToken is what the gateway and the stand-ins count as a token.
const bytesPerToken = 4

// filler is the text of prompts.
const filler = "gust over the ridge "

// promptText is a prompt of a number of tokens, unlike that of other numbers
// and seeds behind the shared prefix.
func promptText(c *Config, number int) string {
	var b strings.Builder
	b.Grow(c.PromptTokens*bytesPerToken + len(filler))
	fill(&b, c.SharedPrefix*bytesPerToken)
	fmt.Fprintf(&b, "request %d of seed %d: ", number, c.Seed)
	fill(&b, c.PromptTokens*bytesPerToken)
	return b.String()
}

// fill lengthens a text to n bytes.
func fill(b *strings.Builder, n int) {
	for b.Len() < n {
		b.WriteString(filler[:min(len(filler), n-b.Len())])
	}
}

// keyOf names a plain request over its resends. The run's name keeps a second
// run of the same seed apart: its keys are claimed already.
func keyOf(c *Config, run string, number int) string {
	return fmt.Sprintf("load-%s-%d-%d", run, c.Seed, number)
}
