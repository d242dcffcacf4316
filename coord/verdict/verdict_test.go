package verdict

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func anyVerdict(t *rapid.T, label string) Verdict {
	return rapid.SampledFrom([]Verdict{NotRun, MayHaveRun, Ran}).Draw(t, label)
}

// Guards against a caller that is told "not run" although an earlier attempt ran: one attempt
// ends as Ran, a later one as NotRun, and the join takes the last verdict or can fall.
func TestJoinIsALatticeThatOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := anyVerdict(t, "a"), anyVerdict(t, "b"), anyVerdict(t, "c")
		if a.Join(b) != b.Join(a) {
			t.Fatalf("join of %v and %v depends on the order", a, b)
		}
		if a.Join(b).Join(c) != a.Join(b.Join(c)) {
			t.Fatalf("join of %v, %v, %v depends on the grouping", a, b, c)
		}
		if a.Join(b) < a || a.Join(b) < b || a.Join(a) != a {
			t.Fatalf("join of %v and %v fell to %v", a, b, a.Join(b))
		}
	})
}

// Guards against a caller that reads a wrong or invented verdict: names that don't match the
// constants, or an unknown name that is read as NotRun.
func TestTextRoundTrip(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		b, err := v.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var got Verdict
		if err := got.UnmarshalText(b); err != nil || got != v {
			t.Fatalf("%q read as %v, %v", b, got, err)
		}
	}
	if _, err := Verdict(9).MarshalText(); err == nil {
		t.Fatal("an unknown verdict was written")
	}
	var v Verdict
	if err := v.UnmarshalText([]byte("maybe")); err == nil {
		t.Fatal("an unknown name was read")
	}
}

// Guards against a verdict that changes with that of another attempt: Raise must not change
// the error that it is called on, as one error may be used twice.
func TestRaiseKeepsTheOriginal(t *testing.T) {
	cause := errors.New("refused")
	e := &Error{Verdict: NotRun, Code: "overloaded", Err: cause}
	r := e.Raise(MayHaveRun)
	if e.Verdict != NotRun || r.Verdict != MayHaveRun || !errors.Is(r, cause) {
		t.Fatalf("raised %+v to %+v", e, r)
	}
}
