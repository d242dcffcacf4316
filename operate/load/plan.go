package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Dest is where a request goes.
type Dest uint8

// Destinations of a run.
const (
	// ToGateway sends through the gateway.
	ToGateway Dest = iota
	// ToEngine sends directly to the engine.
	ToEngine
)

// Resend is whether and when a key is sent a second time.
type Resend uint8

// Kinds of resends.
const (
	ResendNever Resend = iota
	// ResendDuring resends while the first attempt may still run.
	ResendDuring
	// ResendAfter resends after the first attempt ended.
	ResendAfter
)

// resendDelay is the time from the first attempt to a resend by ResendDuring.
const resendDelay = 2 * time.Millisecond

// Request is one arrival.
type Request struct {
	// At is the time of arrival since the start of the run.
	At time.Duration
	// Number counts the arrivals of a destination from 0. Both destinations get the
	// same text under a number.
	Number int
	Dest   Dest
	Caller int
	Resend Resend
	// Pick, in [0, 1), chooses among the caller's instances.
	Pick float64
}

// Plan returns arrivals in the order of time. Intervals are exponential, so that
// arrivals come in bursts like those of independent callers. The same
// configuration gives the same plan.
type Plan struct {
	cfg  *Config
	rng  *rand.Rand
	next [2]Request
}

// planStreamID makes the plan's random numbers independent of other uses of a seed.
const planStreamID = 0x10ad

// NewPlan makes the plan of a configuration that passed Check.
func NewPlan(c *Config) *Plan {
	p := &Plan{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, planStreamID))}
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

// advance draws the next arrival of a destination.
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

// bytesPerToken is the size of a token as the gateway and the stand-ins count it.
const bytesPerToken = 4

// filler is repeated to make prompts.
const filler = "gust over the ridge "

// promptText returns a prompt of at least c.PromptTokens tokens. After the shared
// prefix it differs from those of other numbers and seeds.
func promptText(c *Config, number int) string {
	var b strings.Builder
	b.Grow(c.PromptTokens*bytesPerToken + len(filler))
	fill(&b, c.SharedPrefix*bytesPerToken)
	fmt.Fprintf(&b, "request %d of seed %d: ", number, c.Seed)
	fill(&b, c.PromptTokens*bytesPerToken)
	return b.String()
}

// fill appends filler up to a length of n bytes.
func fill(b *strings.Builder, n int) {
	for b.Len() < n {
		b.WriteString(filler[:min(len(filler), n-b.Len())])
	}
}

// keyOf returns the idempotency key of a plain request, the same for its resends.
// The run's name makes it differ from the keys of an earlier run with the same
// seed, which are claimed already.
func keyOf(c *Config, run string, number int) string {
	return fmt.Sprintf("load-%s-%d-%d", run, c.Seed, number)
}
