package enginemodel

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

func small() Config {
	return Config{
		Slots: 3, ChunkTokens: 128, PrefillRate: 10_000,
		StepBase: 4 * time.Millisecond, StepPerSeq: time.Millisecond,
		KVTokens: 3000, CacheTokens: 20 * BlockTokens, MaxWaiting: 6,
	}
}

func drawRequest(t *rapid.T, id uint64) Request {
	r := Request{
		ID:           id,
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		PromptTokens: rapid.IntRange(1, 2000).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(1, 60).Draw(t, "output"),
	}
	family := rapid.Uint64Range(1, 4).Draw(t, "family")
	for i := range uint64(r.PromptTokens / BlockTokens) {
		r.Prefix = append(r.Prefix, family<<32+i)
	}
	return r
}

// account is what a host knows of the requests that it sent to an engine.
type account struct {
	open   map[uint64]Request
	firsts map[uint64]bool
	last   time.Time
}

func (a *account) check(t *rapid.T, events []Event, now time.Time) {
	for _, ev := range events {
		r, ok := a.open[ev.ID]
		if !ok {
			t.Fatalf("event %+v of a request that is not open", ev)
		}
		if ev.At.Before(a.last) || ev.At.After(now) {
			t.Fatalf("event at %v after %v, now %v", ev.At, a.last, now)
		}
		a.last = ev.At
		if ev.CachedTokens >= r.PromptTokens {
			t.Fatalf("hit of %d tokens in a prompt of %d", ev.CachedTokens, r.PromptTokens)
		}
		switch ev.Kind {
		case FirstToken:
			if a.firsts[ev.ID] {
				t.Fatalf("second first token of %d", ev.ID)
			}
			a.firsts[ev.ID] = true
		case Finished:
			if ev.OutputTokens != r.OutputTokens || !a.firsts[ev.ID] {
				t.Fatalf("finished with %d of %d tokens", ev.OutputTokens, r.OutputTokens)
			}
			delete(a.open, ev.ID)
		}
	}
}

// act performs one random action: a crash with a restart, a change of speed,
// cancels or an arrival.
func (a *account) act(t *rapid.T, e *Engine, now time.Time, id uint64) {
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		for _, lost := range e.Crash(now) {
			if _, ok := a.open[lost]; !ok {
				t.Fatalf("crash lost %d, which was not open", lost)
			}
			delete(a.open, lost)
		}
		if len(a.open) != 0 {
			t.Fatalf("crash left %d open", len(a.open))
		}
		e.Restart(now)
	case 1:
		e.SetSpeed(now, rapid.SampledFrom([]float64{0.25, 1}).Draw(t, "speed"))
	case 2:
		for id := range a.open {
			if !e.Cancel(now, id) || e.Cancel(now, id) {
				t.Fatalf("cancel of %d", id)
			}
			delete(a.open, id)
		}
	default:
		r := drawRequest(t, id)
		if err := e.Enqueue(now, r); err == nil {
			a.open[id] = r
		} else if !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
	}
}

// Guards against requests that never end or end twice, and exceeded memory
// bounds, in any interleaving of arrivals, cancels, crashes and speed changes:
// a series of equal steps that is interrupted may be accounted wrongly.
func TestNoRequestIsLostAndMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := small()
		cfg.EmitTokens = rapid.Bool().Draw(t, "emit")
		e := New(cfg)
		a := account{open: map[uint64]Request{}, firsts: map[uint64]bool{}, last: epoch}
		now := epoch
		for id := range uint64(rapid.IntRange(1, 30).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			a.check(t, e.Advance(now), now)
			a.act(t, e, now, id)
			l := e.Load(now)
			if l.KVUsed > 1 || l.KVUsed < 0 || l.Running > cfg.Slots || e.CachedTokens() > cfg.CacheTokens {
				t.Fatalf("load %+v, cache %d", l, e.CachedTokens())
			}
		}
		for {
			at, ok := e.NextEvent()
			if !ok {
				break
			}
			now = at
			a.check(t, e.Advance(now), now)
		}
		if len(a.open) != 0 || !e.Idle() {
			t.Fatalf("%d requests left open", len(a.open))
		}
	})
}

// Guards against event times that depend on how often the host calls Load and
// Advance between steps. Simulating steps together is only an optimisation and
// must not change when events happen.
func TestObservingChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quiet, watched := New(small()), New(small())
		var want, got []Event
		now := epoch
		for id := range uint64(6) {
			r := drawRequest(t, id)
			if (quiet.Enqueue(now, r) == nil) != (watched.Enqueue(now, r) == nil) {
				t.Fatal("one took it, one refused")
			}
			for range 20 {
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "gap")) * time.Millisecond)
				got = append(got, watched.Advance(now)...)
				watched.Load(now)
			}
		}
		now = now.Add(time.Hour)
		want, got = append(want, quiet.Advance(now)...), append(got, watched.Advance(now)...)
		if len(want) != len(got) || quiet.Busy() != watched.Busy() {
			t.Fatalf("%d and %d events, busy %v and %v", len(want), len(got), quiet.Busy(), watched.Busy())
		}
		for i := range want {
			if want[i] != got[i] {
				t.Fatalf("event %d: %+v, watched %+v", i, want[i], got[i])
			}
		}
	})
}

func TestRatesAndCache(t *testing.T) {
	e := New(small())
	r := Request{ID: 1, PromptTokens: 1280, OutputTokens: 11}
	for i := range uint64(20) {
		r.Prefix = append(r.Prefix, i)
	}
	// 10 steps of 128 prompt tokens at 10,000 a second and 4 ms each, then 10
	// steps of 5 ms.
	first := 10 * (12800 + 4000) * time.Microsecond
	if err := e.Enqueue(epoch, r); err != nil {
		t.Fatal(err)
	}
	ev := e.Advance(epoch.Add(time.Minute))
	if len(ev) != 2 || ev[0].At.Sub(epoch) != first || ev[1].At.Sub(epoch) != first+50*time.Millisecond {
		t.Fatalf("%+v", ev)
	}
	now := epoch.Add(time.Minute)
	r.ID = 2
	if err := e.Enqueue(now, r); err != nil {
		t.Fatal(err)
	}
	ev = e.Advance(now.Add(time.Minute))
	if ev[0].CachedTokens != 1279 || ev[0].At.Sub(now) != 4100*time.Microsecond {
		t.Fatalf("%+v after %v", ev[0], ev[0].At.Sub(now))
	}
}
