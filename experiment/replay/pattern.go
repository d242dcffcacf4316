// Package replay simulates recorded load patterns in virtual time to test the routing of a
// site: package pick chooses among model engines, package place forwards and refuses. Plain
// balancers run on the same arrivals for comparison.
//
// Not modelled: the time that a decision takes, and the network inside a region. An engine's
// memory is reserved when a request starts there, so that no request is preempted.
package replay

import (
	"embed"
	"encoding/json"
	"io/fs"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/standin/enginemodel"
)

// Pattern is a recorded load pattern.
type Pattern struct {
	// Name identifies the pattern; Tells describes it.
	Name, Tells string
	// Seconds is the time during which requests arrive.
	Seconds float64
	Engine  Engine
	Regions []Region
	Kinds   []Kind
	Faults  []Fault
}

// Engine describes all engines of a pattern.
type Engine struct {
	Slots int
	// ChunkTokens bounds the tokens prefilled in a step; ReadPerMilli is the prefill speed
	// in tokens per millisecond.
	ChunkTokens  int
	ReadPerMilli float64
	// StepMillis is the fixed duration of a step, StepPerRunning the time that each running
	// request adds, both in milliseconds.
	StepMillis, StepPerRunning float64
	// EventTokens is the number of tokens in an event of an answer; 0 measures no pauses.
	EventTokens int
	// FetchPerKilo is the time that deciders assume for fetching 1,000 cached tokens from
	// another engine, in milliseconds; 0 disables fetching. In the model it takes no time.
	FetchPerKilo float64
	// MemoryTokens bounds the tokens of running requests and of cached prompt parts, half
	// each.
	MemoryTokens int
}

// Region is a region with its engines and callers.
type Region struct {
	Name    string
	Engines int
	// Instances is the number of entry instances; 0 means one. They exchange their requests
	// in flight every localExchangeInterval.
	Instances int
	// PerSecond is the mean arrival rate, and Shape changes it by factors over time.
	PerSecond float64
	Shape     []Step
}

// Step multiplies the mean arrival rate by Times from second From on.
type Step struct{ From, Times float64 }

// Kind is one kind of request.
type Kind struct {
	Name string
	// Share is the weight among all arrivals; Rank orders the engines' queues, 0 first.
	Share float64
	Rank  int
	// Subjects is the number of different shared prompt parts. Shared is their length, Own
	// the median length of the request's own part and Answer that of the answer, all in
	// tokens. Spread is the standard deviation of the logarithm of own parts and answers.
	Subjects, Shared, Own, Answer int
	// Common is the length in tokens of the part before the subject's, which is one of
	// Commons different ones; 0 for none.
	Commons, Common int
	Spread          float64
	// AnswerSpread replaces Spread for answers unless it is 0. MostOwn and MostAnswer bound
	// the lengths of own parts and answers in tokens; 0 means no bound for own parts and four
	// times Answer for answers.
	AnswerSpread        float64
	MostOwn, MostAnswer int
	// AimMillis is the objective for the first event, DeadlineMillis the deadline for the
	// last one, both from arrival.
	AimMillis, DeadlineMillis int
	// GapAimMillis bounds the pauses between events of an answer in time; 0 for no bound.
	GapAimMillis int
	// Worth is the worth of an answer in time, LateWorth that of another complete answer.
	Worth, LateWorth float64
}

// Fault is a fault in a pattern.
type Fault struct {
	// Kind is crash (a share of a region's engines, or of each region's if Region is empty,
	// is down), rest (such a share turns all requests away and asks for RestSeconds of rest),
	// leave (such a share says that it is leaving, ends after For and starts again), cut (no
	// region reaches another), or dark (all instances are down and lose their state). It begins
	// at second At and lasts For seconds.
	Kind        string
	At, For     float64
	Region      string
	Share       float64
	RestSeconds float64
}

// faultKinds are the kinds of faults.
var faultKinds = []string{"crash", "rest", "leave", "cut", "dark"}

//go:embed patterns/*.json
var patterns embed.FS

// Names returns the names of the recorded patterns.
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

// Load reads the recorded pattern with this name. An unknown name gives a NotFound error.
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
		if !slices.Contains(faultKinds, f.Kind) || f.Kind == "rest" && f.RestSeconds <= 0 {
			return errors.NotValidf("fault %q", f.Kind)
		}
	}
	return nil
}

// WithSpeed returns a copy of the pattern whose engines are faster by the factor times.
func (p *Pattern) WithSpeed(times float64) *Pattern {
	out := *p
	out.Engine.ReadPerMilli *= times
	out.Engine.StepMillis /= times
	out.Engine.StepPerRunning /= times
	return &out
}

// config returns the configuration of the engine model.
func (e *Engine) config() enginemodel.Config {
	return enginemodel.Config{
		Slots: e.Slots, ChunkTokens: e.ChunkTokens, PrefillRate: e.ReadPerMilli * 1000,
		StepBase: millis(e.StepMillis), StepPerSeq: millis(e.StepPerRunning),
		KVTokens: e.MemoryTokens / 2, CacheTokens: e.MemoryTokens / 2, MaxWaiting: 512, EventTokens: e.EventTokens,
	}
}

// gapAim returns the shortest GapAimMillis of all kinds; 0 if none has one.
func (p *Pattern) gapAim() time.Duration {
	least := 0
	for i := range p.Kinds {
		if aim := p.Kinds[i].GapAimMillis; aim > 0 && (least == 0 || aim < least) {
			least = aim
		}
	}
	return time.Duration(least) * time.Millisecond
}

// mostAnswer returns the maximal length of an answer, in tokens.
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

// times returns the factor of the mean arrival rate at a time.
func (r *Region) times(second float64) float64 {
	out := 1.0
	for _, s := range r.Shape {
		if second >= s.From {
			out = s.Times
		}
	}
	return out
}
