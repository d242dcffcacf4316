package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// ending is how a request ended.
type ending uint8

const (
	served ending = iota
	// unfinished: the deadline passed while it ran, or its engine was lost.
	unfinished
	// unserved: nobody was there until its deadline.
	unserved
	// refused: twice.
	refused
)

// KindFigures are those of one kind of request.
type KindFigures struct {
	Arrived, InTime, Late, Unfinished, Unserved, Refused int
	// Worth that was asked for and earned.
	Possible, Earned float64
}

// Figures are those of one run.
type Figures struct {
	Pattern, Decider string
	Kinds            map[string]*KindFigures
	// Passed is how many requests were passed on to another region.
	Forwarded int
	// Read are the prompt tokens that engines read until the first events.
	PrefillTokens int
}

func newFigures(p *Pattern, decider string) *Figures {
	f := &Figures{Pattern: p.Name, Decider: decider, Kinds: map[string]*KindFigures{}}
	for _, k := range p.Kinds {
		f.Kinds[k.Name] = &KindFigures{}
	}
	return f
}

func (f *Figures) count(q *request, how ending) {
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

// inTime reports whether a whole answer began in time and did not pause for too long.
func (q *request) inTime() bool {
	gapAim := int64(q.kind.GapAimMillis)
	return q.first.Sub(q.at).Milliseconds() <= int64(q.kind.AimMillis) && (gapAim == 0 || q.pause.Milliseconds() <= gapAim)
}

// Worth is the share of what was asked for that was earned.
func (f *Figures) Worth() float64 {
	owed, earned := 0.0, 0.0
	// In the order of names, as sums of fractions depend on theirs.
	for _, name := range slices.Sorted(maps.Keys(f.Kinds)) {
		k := f.Kinds[name]
		owed, earned = owed+k.Possible, earned+k.Earned
	}
	return earned / max(owed, 1e-9)
}

// InTime is the share of a kind that was answered in time.
func (f *Figures) InTime(kind string) float64 {
	k := f.Kinds[kind]
	return float64(k.InTime) / float64(max(1, k.Arrived))
}

// WriteTable writes the worth of each pattern by decider, the mean of all seeds.
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
	worth, passed, asked := 0.0, 0, 0
	sums := newFigures(p, decider)
	for seed := range seeds {
		f, err := Run(p, decider, uint64(seed+1))
		if err != nil {
			return err
		}
		worth, passed = worth+f.Worth()/float64(seeds), passed+f.Forwarded
		for name, k := range f.Kinds {
			sums.Kinds[name].add(k)
			asked += k.Arrived
		}
	}
	fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t", p.Name, decider, worth, float64(passed)/float64(max(1, asked)))
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
