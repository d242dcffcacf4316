// Package replay plays recorded patterns of load against the decisions that serve a site,
// in virtual time: package pick chooses among model engines, package place passes on and
// refuses. Plain balancers are played on the same arrivals.
//
// What is left out: the time that a decision takes, and the network inside a region. An engine's memory is reserved when a request begins
// there, so nothing is taken out in the middle.
package replay

import (
	"embed"
	"encoding/json"
	"io/fs"
	"path"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

// Pattern is a recorded pattern of load.
type Pattern struct {
	// Name of the pattern, and what it tells.
	Name, Tells string
	// Seconds is its length; arrivals end then.
	Seconds float64
	Engine  Engine
	Regions []Region
	Kinds   []Kind
	Faults  []Fault
}

// Engine is what all engines of a pattern are like.
type Engine struct {
	Slots int
	// ChunkTokens are read in a step at most; ReadPerMilli is how many are read in a
	// millisecond.
	ChunkTokens  int
	ReadPerMilli float64
	// StepMillis is a step of one running request, and StepPerRunning what each adds.
	StepMillis, StepPerRunning float64
	// EventTokens is how many tokens an event of an answer holds; 0 measures no pauses.
	EventTokens int
	// FetchPerKilo is what deciders are told that fetching 1,000 kept tokens from another
	// engine takes, in milliseconds; 0 tells nothing. In the model it takes no time.
	FetchPerKilo float64
	// MemoryTokens bounds what running requests and kept prompt parts take, half each.
	MemoryTokens int
}

// Region has engines and callers of its own.
type Region struct {
	Name    string
	Engines int
	// Instances is the number of entry instances, which each know what the others have under
	// way tellNear later; 0 for one.
	Instances int
	// PerSecond are its arrivals at the mean, and Shape how many times that come from a
	// second on.
	PerSecond float64
	Shape     []Step
}

// Step is a change of the arrivals.
type Step struct{ From, Times float64 }

// Kind is one kind of request.
type Kind struct {
	Name string
	// Share of the arrivals, Rank in the engines' queue.
	Share float64
	Rank  int
	// Subjects is the number of shared prompt parts, Shared their length and Own that of
	// the request's own part; Answer is the length of the answer at the median, all in
	// tokens. Own and answers differ by a factor of Spread or so.
	Subjects, Shared, Own, Answer int
	// Common is the length of the part before the subject's, which is one of Commons; 0 for
	// none.
	Commons, Common int
	Spread          float64
	// AnswerSpread is that of answers; 0 for Spread. MostOwn and MostAnswer bound the lengths
	// of own parts and of answers; 0 for any own part, and for four times Answer.
	AnswerSpread        float64
	MostOwn, MostAnswer int
	// AimMillis is until the first event, DeadlineMillis until the last one.
	AimMillis, DeadlineMillis int
	// GapAimMillis is the longest pause between events of an answer in time; 0 for any.
	GapAimMillis int
	// Worth of an answer in time, and of a whole one that began late.
	Worth, LateWorth float64
}

// Fault is one thing that goes wrong.
type Fault struct {
	// Kind is crash (a share of a region's engines is down), cut (no region reaches
	// another), or dark (all instances are down, and know nothing when they are back).
	Kind    string
	At, For float64
	Region  string
	Share   float64
}

//go:embed patterns/*.json
var patterns embed.FS

// Names lists the recorded patterns.
func Names() []string {
	entries, err := fs.ReadDir(patterns, "patterns")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".json"))
	}
	return out
}

// Load reads a recorded pattern by its name.
func Load(name string) (*Pattern, error) {
	data, err := patterns.ReadFile(path.Join("patterns", name+".json"))
	if err != nil {
		return nil, errors.NotFoundf("pattern %q, there are %s,", name, strings.Join(Names(), ", "))
	}
	p := &Pattern{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errors.Annotatef(err, "pattern %s", name)
	}
	return p, p.check()
}

func (p *Pattern) check() error {
	e := p.Engine
	switch {
	case p.Seconds <= 0 || len(p.Regions) == 0 || len(p.Kinds) == 0:
		return errors.NotValidf("pattern without length, regions or kinds")
	case e.Slots <= 0 || e.ChunkTokens <= 0 || e.ReadPerMilli <= 0 || e.MemoryTokens <= 0:
		return errors.NotValidf("engine")
	}
	for _, f := range p.Faults {
		if f.Kind != "crash" && f.Kind != "cut" && f.Kind != "dark" {
			return errors.NotValidf("fault %q", f.Kind)
		}
	}
	return nil
}

// Faster is the pattern with engines so many times as fast.
func (p *Pattern) WithSpeed(times float64) *Pattern {
	out := *p
	out.Engine.ReadPerMilli *= times
	out.Engine.StepMillis /= times
	out.Engine.StepPerRunning /= times
	return &out
}

// config is that of the engine model.
func (e *Engine) config() enginemodel.Config {
	return enginemodel.Config{
		Slots: e.Slots, ChunkTokens: e.ChunkTokens, PrefillRate: e.ReadPerMilli * 1000,
		StepBase: millis(e.StepMillis), StepPerSeq: millis(e.StepPerRunning),
		KVTokens: e.MemoryTokens / 2, CacheTokens: e.MemoryTokens / 2, MaxWaiting: 512, EventTokens: e.EventTokens,
	}
}

// gapAim is the shortest of all kinds; 0 for none.
func (p *Pattern) gapAim() time.Duration {
	least := 0
	for i := range p.Kinds {
		if aim := p.Kinds[i].GapAimMillis; aim > 0 && (least == 0 || aim < least) {
			least = aim
		}
	}
	return time.Duration(least) * time.Millisecond
}

// mostAnswer is the longest answer that is asked for.
func (k *Kind) mostAnswer() int {
	const times = 4
	if k.MostAnswer > 0 {
		return k.MostAnswer
	}
	return times * k.Answer
}

func (k *Kind) answerSpread() float64 {
	if k.AnswerSpread > 0 {
		return k.AnswerSpread
	}
	return k.Spread
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// times is how many times the mean arrives at a moment.
func (r *Region) times(second float64) float64 {
	out := 1.0
	for _, s := range r.Shape {
		if second >= s.From {
			out = s.Times
		}
	}
	return out
}
