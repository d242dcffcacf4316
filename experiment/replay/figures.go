package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// outcome is how a request ended.
type outcome uint8

const (
	served outcome = iota
	// unfinished means that the deadline passed while it ran, or that its engine crashed.
	unfinished
	// unserved means that no instance accepted it by its deadline.
	unserved
	// refused means that it was refused twice.
	refused
)

// KindFigures are the figures of one kind of request.
type KindFigures struct {
	Arrived, InTime, Late, Unfinished, Unserved, Refused int
	// Possible is the worth of all requests answered in time, Earned that of the answers given.
	Possible, Earned float64
}

// Figures are the figures of one run.
type Figures struct {
	Pattern, Decider string
	Kinds            map[string]*KindFigures
	// Forwarded is the number of requests forwarded to another region.
	Forwarded int
	// PrefillTokens are the prompt tokens that engines prefilled, without cached ones, in
	// requests that got a first event.
	PrefillTokens int
	// TurnedAway counts requests that engines turned away and asked for rest, DuringRest those
	// of them that a sender had sent during a rest that it was asked for. AfterLeaving counts
	// requests to engines that had told their sender that they were leaving.
	TurnedAway, DuringRest, AfterLeaving int
	// Returns counts the refused callers by the time for which they were told to return, in
	// units of returnWindow.
	Returns map[int]int
}

// returnWindow is the unit of Figures.Returns.
const returnWindow = 250 * time.Millisecond

func newFigures(p *Pattern, decider string) *Figures {
	f := &Figures{Pattern: p.Name, Decider: decider, Kinds: map[string]*KindFigures{}, Returns: map[int]int{}}
	for _, k := range p.Kinds {
		f.Kinds[k.Name] = &KindFigures{}
	}
	return f
}

func (f *Figures) count(q *request, how outcome) {
	k := f.Kinds[q.kind.Name]
	k.Arrived++
	k.Possible += q.kind.Worth
	switch how {
	case unfinished:
		k.Unfinished++
	case unserved:
		k.Unserved++
	case refused:
		k.Refused++
	case served:
		if q.inTime() {
			k.InTime++
			k.Earned += q.kind.Worth
			return
		}
		k.Late++
		k.Earned += q.kind.LateWorth
	}
}

// inTime reports whether a complete answer began in time and had no too long pause.
func (q *request) inTime() bool {
	gapAim := int64(q.kind.GapAimMillis)
	return q.first.Sub(q.at).Milliseconds() <= int64(q.kind.AimMillis) && (gapAim == 0 || q.pause.Milliseconds() <= gapAim)
}

// Worth returns the earned fraction of the possible worth, 0 to 1.
func (f *Figures) Worth() float64 {
	possible, earned := 0.0, 0.0
	// Sorted by name, as floating-point sums depend on the order.
	for _, name := range slices.Sorted(maps.Keys(f.Kinds)) {
		k := f.Kinds[name]
		possible, earned = possible+k.Possible, earned+k.Earned
	}
	return earned / max(possible, 1e-9)
}

// InTime returns the fraction of a kind's requests that were answered in time.
func (f *Figures) InTime(kind string) float64 {
	k := f.Kinds[kind]
	return float64(k.InTime) / float64(max(1, k.Arrived))
}

// WriteTable runs each pattern with each decider and the seeds 1 to seeds, and writes a
// table of the worth and the outcomes, as means over the seeds.
func WriteTable(out io.Writer, names, deciders []string, seeds int) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "pattern\tdecider\tworth\tpassed on\tkind: in time, late, refused, unfinished or unserved\n")
	for _, name := range names {
		p, err := Load(name)
		if err != nil {
			return err
		}
		for _, d := range deciders {
			if err := writeRow(t, p, d, seeds); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

func writeRow(t io.Writer, p *Pattern, decider string, seeds int) error {
	worth, forwarded, arrived := 0.0, 0, 0
	sums := newFigures(p, decider)
	for seed := range seeds {
		f, err := Run(p, decider, uint64(seed+1))
		if err != nil {
			return err
		}
		worth, forwarded = worth+f.Worth()/float64(seeds), forwarded+f.Forwarded
		for name, k := range f.Kinds {
			sums.Kinds[name].add(k)
			arrived += k.Arrived
		}
	}
	fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t", p.Name, decider, worth, float64(forwarded)/float64(max(1, arrived)))
	for _, k := range p.Kinds {
		s := sums.Kinds[k.Name]
		n := float64(max(1, s.Arrived))
		fmt.Fprintf(t, "%s: %.2f %.2f %.2f %.2f  ", k.Name, float64(s.InTime)/n, float64(s.Late)/n, float64(s.Refused)/n, float64(s.Unfinished+s.Unserved)/n)
	}
	_, err := fmt.Fprintln(t)
	return err
}

func (k *KindFigures) add(o *KindFigures) {
	k.Arrived, k.InTime, k.Late = k.Arrived+o.Arrived, k.InTime+o.InTime, k.Late+o.Late
	k.Unfinished, k.Unserved, k.Refused = k.Unfinished+o.Unfinished, k.Unserved+o.Unserved, k.Refused+o.Refused
	k.Possible, k.Earned = k.Possible+o.Possible, k.Earned+o.Earned
}
