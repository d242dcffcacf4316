package hop

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a request that is forwarded without end: every instance forwards
// to any other at random, and the check lets some loop pass.
func TestEveryWalkEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := drawHop(t)
		var p Path
		for steps := 0; ; steps++ {
			if steps > MaxHops {
				t.Fatalf("forwarded by %v", p)
			}
			p = p.Add(at)
			read, err := Parse(p.String())
			if err != nil && len(p) <= MaxHops {
				t.Fatalf("%q: %v", p, err)
			}
			at = drawHop(t)
			if err != nil || read.Check(at) != nil {
				break
			}
			checkPath(t, p.Add(at))
		}
	})
}

func drawHop(t *rapid.T) Hop {
	r := rapid.IntRange(0, 2).Draw(t, "region")
	return Hop{Instance: fmt.Sprintf("i%d%d", r, rapid.IntRange(0, 3).Draw(t, "instance")), Region: fmt.Sprintf("r%d", r)}
}

// checkPath checks the rules of Check independently of it.
func checkPath(t *rapid.T, p Path) {
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
