package verdict

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func anyVerdict(t *rapid.T, label string) Verdict {
	return rapid.SampledFrom([]Verdict{NotRun, MayHaveRun, Ran}).Draw(t, label)
}

// Symptom: a caller is told "not run" although an earlier sending ran.
// Events: one sending ends Ran, a later one NotRun.
// Cause: a join that takes the last verdict, or one that can fall.
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

// Symptom: a caller reads another verdict than was meant, or one from nowhere.
// Events: each verdict is written and read; unknown ones and texts come in.
// Cause: names out of step with the constants, an unknown name read as NotRun.
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

// Symptom: the verdict of one sending changes with that of another.
// Events: one error is raised for a second use.
// Cause: Raise changes the error that it was called on.
func TestRaiseKeepsTheOriginal(t *testing.T) {
	cause := errors.New("refused")
	e := &Error{Verdict: NotRun, Code: "overloaded", Err: cause}
	r := e.Raise(MayHaveRun)
	if e.Verdict != NotRun || r.Verdict != MayHaveRun || !errors.Is(r, cause) {
		t.Fatalf("raised %+v to %+v", e, r)
	}
}
