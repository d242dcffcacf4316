package hop

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Symptom: a request travels on and on.
// Events: every instance passes each request to any other, without judgement.
// Cause: a check that some path gets around.
func TestEveryWalkEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := station(t)
		var p Path
		for steps := 0; ; steps++ {
			if steps > MaxHops {
				t.Fatalf("walked %v", p)
			}
			p = p.Add(at)
			read, err := Parse(p.String())
			if err != nil && len(p) <= MaxHops {
				t.Fatalf("%q: %v", p, err)
			}
			at = station(t)
			if err != nil || read.Check(at) != nil {
				break
			}
			checkRules(t, p.Add(at))
		}
	})
}

func station(t *rapid.T) Hop {
	r := rapid.IntRange(0, 2).Draw(t, "region")
	return Hop{Instance: fmt.Sprintf("i%d%d", r, rapid.IntRange(0, 3).Draw(t, "instance")), Region: fmt.Sprintf("r%d", r)}
}

// checkRules counts apart from Check.
func checkRules(t *rapid.T, p Path) {
	seen, crossings, steps := map[string]bool{}, 0, map[string]int{}
	for i, s := range p {
		if seen[s.Instance] {
			t.Fatalf("%v is a loop", p)
		}
		seen[s.Instance] = true
		if i > 0 && p[i-1].Region != s.Region {
			crossings++
		} else if i > 0 {
			steps[s.Region]++
		}
	}
	for r, n := range steps {
		if n > 1 {
			t.Fatalf("%v has %d steps in %s", p, n, r)
		}
	}
	if crossings > 1 {
		t.Fatalf("%v crosses %d times", p, crossings)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "a@b", "a@b, c@d", "a@b,c@d,e@f,g@h", "@", "a@b@c", "a b@c", "a@b,,"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(p.String())
		if err != nil || again.String() != p.String() || len(p) == 0 || len(p) > MaxHops {
			t.Fatalf("%q read as %v, then %v, %v", text, p, again, err)
		}
	})
}
