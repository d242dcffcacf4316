package pipeline

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
	"github.com/gullhaven/gullhaven/standin"
)

// watched are engines that call onChunk for each chunk that is read.
type watched struct {
	ports.Engines
	onChunk func(seq uint64)
}

type watchedEngine struct {
	ports.Engine
	onChunk func(uint64)
}

type watchedStream struct {
	ports.Stream
	onChunk func(uint64)
}

func (w *watched) Engine(address string) ports.Engine {
	return watchedEngine{w.Engines.Engine(address), w.onChunk}
}

func (e watchedEngine) Complete(ctx context.Context, c ports.Completion) (ports.Stream, error) {
	s, err := e.Engine.Complete(ctx, c)
	if err != nil {
		return nil, err
	}
	return watchedStream{s, e.onChunk}, nil
}

func (e watchedEngine) Resume(ctx context.Context, c ports.Completion, after uint64) (ports.Stream, error) {
	s, err := e.Engine.Resume(ctx, c, after)
	if err != nil {
		return nil, err
	}
	return watchedStream{s, e.onChunk}, nil
}

func (s watchedStream) Next() (ports.Chunk, error) {
	c, err := s.Stream.Next()
	if err == nil {
		s.onChunk(c.Seq)
	}
	return c, err
}

// newMoveRig returns a rig with two engines. runner-0 gets the request; when chunk
// number at has come, it is leaving and its drain time has passed.
func newMoveRig(t *testing.T, at uint64) *rig {
	var r *rig
	var drained atomic.Int64
	leave := func(seq uint64) {
		if seq == at+2 && r.deps.Metrics.MovedStreams.Count() > 0 {
			// The new engine generates the answer: the old attempt must end now,
			// not only when the caller has the whole answer.
			waitIdle(r.t, r.engines[0])
		}
		if seq != at {
			return
		}
		left := *r.b
		left.Targets = append([]bundle.Target(nil), r.b.Targets...)
		for i := range left.Targets {
			if left.Targets[i].ID == "runner-0" {
				left.Targets[i].State = bundle.TargetLeaving
			}
		}
		r.p.SetView(NewView(&left, "", "jatim"))
		drained.Store(int64(time.Duration(left.Rules.DrainSeconds) * time.Second))
	}
	r = newRig(t, withEngines(2, standin.EngineConfig{}),
		withBundle(func(b *bundle.Bundle) { b.Rules.DrainSeconds = 5 }),
		withDeps(func(d *Deps) {
			d.Now = func() time.Time { return time.Now().Add(time.Duration(drained.Load())) }
			d.Engines = &watched{d.Engines, leave}
			d.Decider = orderedDecider{d.Decider, []route.TargetID{"runner-0", "runner-1"}}
		}))
	return r
}

// waitIdle waits until an engine runs nothing.
func waitIdle(t testing.TB, e *standin.Engine) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n := e.Counts(); n.Finished+n.Cancelled >= n.Runs+n.Resumed {
			return
		}
	}
	t.Errorf("it still runs: %+v", e.Counts())
}

// Guards against a change of a target that waits for a long answer, and against
// duplicate or missing tokens where a stream is moved (the count of chunks is one
// off), or an old attempt that is left running. The answer stalls after any chunk,
// the first and the last included.
func TestStreamsMoveOffALeavingTarget(t *testing.T) {
	const tokens = 12
	for _, at := range []int{1, 2, 7, tokens - 1, tokens} {
		t.Run(strconv.Itoa(at), func(t *testing.T) {
			r := newMoveRig(t, uint64(at))
			r.engines[0].SetFaults(standin.Fault{Kind: standin.FaultStall, Chunk: at})
			// A moved stream can be cut and resumed like any other.
			r.engines[1].SetFaults(standin.Fault{Kind: standin.FaultCut, Match: "resume:", Chunk: at + 2, Count: 1})
			prompt := fmt.Sprint("long dossier ", at)
			got := readStream(t, r.do(call{body: chat(prompt, true, tokens)}).Body)
			if !got.ended || got.text != answerTo(prompt, tokens) {
				t.Fatalf("%+v; want %q", got, answerTo(prompt, tokens))
			}
			m := r.deps.Metrics
			if m.MovedStreams.Count() != 1 || m.FailedMoves.Count() != 0 {
				t.Fatalf("%d moved, %d failed", m.MovedStreams.Count(), m.FailedMoves.Count())
			}
			waitIdle(t, r.engines[0])
			if n := r.engines[0].Counts(); n.Runs != 1 || n.Finished != 0 || n.Cancelled != 1 {
				t.Fatalf("the old engine: %+v", n)
			}
			if n := r.engines[1].Counts(); n.Runs != 0 || n.Finished != 1 {
				t.Fatalf("the new engine: %+v", n)
			}
		})
	}
}

// Guards against an answer that is lost or garbled by a failed move, as the old
// stream is given up before the first chunk of the new one. Export, import or
// resume fails or breaks off, there is no other target, the drain time has not
// passed, or the request runs at most once.
func TestStreamsThatCannotMoveStayWhole(t *testing.T) {
	const tokens, at = 12, 5
	fault := func(engine int, kind standin.FaultKind, step string) func(*rig) {
		return func(r *rig) {
			r.engines[engine].SetFaults(standin.Fault{Kind: kind, Match: step + ":"}, stalled(at))
		}
	}
	for _, c := range []struct {
		name   string
		set    func(*rig)
		failed int64
		once   bool
	}{
		{"export refused", fault(0, standin.FaultError, "export"), 1, false},
		{"export cut", fault(0, standin.FaultCut, "export"), 1, false},
		{"import refused", fault(1, standin.FaultError, "import"), 1, false},
		{"import cut", fault(1, standin.FaultCrash, "import"), 1, false},
		{"resume refused", fault(1, standin.FaultError, "resume"), 1, false},
		{"resume crashes", fault(1, standin.FaultCrash, "resume"), 1, false},
		{"resume of another", fault(1, standin.FaultWrongAnswer, "resume"), 1, false},
		{"no other target", setTargetOrder("runner-0"), 0, false},
		{"only leaving ones", setTargetOrder("runner-0", "runner-0"), 0, false},
		{"drain time not over", func(r *rig) { r.p.deps.Now = time.Now; r.p.routing.now = time.Now }, 0, false},
		{"at most once", func(*rig) {}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newMoveRig(t, at)
			r.engines[0].SetFaults(stalled(at))
			c.set(r)
			header := map[string]string{}
			if c.once {
				header = map[string]string{HeaderIdempotent: "false", HeaderIdempotencyKey: "k", HeaderResend: "false"}
			}
			got := readStream(t, r.do(call{body: chat(c.name, true, tokens), header: header}).Body)
			if !got.ended || got.text != answerTo(c.name, tokens) {
				t.Fatalf("%+v; want %q", got, answerTo(c.name, tokens))
			}
			m := r.deps.Metrics
			if m.MovedStreams.Count() != 0 || m.FailedMoves.Count() != c.failed {
				t.Fatalf("%d moved, %d failed", m.MovedStreams.Count(), m.FailedMoves.Count())
			}
			if n := r.engines[0].Counts(); n.Runs != 1 || n.Finished != 1 {
				t.Fatalf("the engine it stays at: %+v", n)
			}
		})
	}
}

// setTargetOrder makes routing choose these targets in order.
func setTargetOrder(targets ...route.TargetID) func(*rig) {
	return func(r *rig) { r.p.routing.d = orderedDecider{r.p.routing.d, targets} }
}

// stalled delays a run so that it doesn't end during a move.
func stalled(at int) standin.Fault {
	return standin.Fault{Kind: standin.FaultStall, Chunk: at, DelayMillis: 200}
}

const limitWait = 100 * time.Millisecond

// Guards against a drain time that starts again at each bundle, so that a stream
// is never moved, and against one that never ends, so that it is moved off a
// target that is no longer leaving. Each bundle shows the target as staying for a
// moment; later it stays for longer and leaves again.
func TestDrainTimeOutlastsABundle(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRouting(orderedDecider{Decider: noDecider{}}, func() time.Time { return now }, 1)
	set := func(s route.State) { r.SetTargets([]route.TargetSpec{{ID: "a", State: s}, {ID: "b"}}) }
	first := now
	for range 5 {
		set(route.Leaving)
		if since, ok := r.leavingSince("a"); !ok || !since.Equal(first) {
			t.Fatalf("leaving %v since %v, want %v", ok, since, first)
		}
		now = now.Add(time.Minute)
		set(route.Warm)
		if _, ok := r.leavingSince("a"); ok {
			t.Fatal("counts as leaving although its newest state is warm")
		}
		now = now.Add(leavingGrace / 2)
		set(route.Warm)
	}
	now = now.Add(leavingGrace)
	set(route.Leaving)
	if since, ok := r.leavingSince("a"); !ok || !since.Equal(now) {
		t.Fatalf("leaving again at %v: got %v, %v", now, since, ok)
	}
	if _, ok := r.leavingSince("b"); ok {
		t.Fatal("b never left")
	}
}

// noDecider accepts SetTargets only.
type noDecider struct{ route.Decider }

func (noDecider) SetTargets(time.Time, []route.TargetSpec) {}

// slowLimits allow everything and advance a clock by limitWait for each call.
type slowLimits struct{ clock *atomic.Int64 }

func (w slowLimits) Consume(time.Time, string, float64, float64) ports.LimitDecision {
	w.clock.Add(int64(limitWait))
	return ports.LimitDecision{Allowed: true}
}

// outcomes is an Observer that sends the outcomes to a channel.
type outcomes chan Outcome

func (o outcomes) Observe(out Outcome) { o <- out }

// Guards against counting the time from arrival as time at the target, so that
// waiting at the instance is billed as target time. The request may be retried, or
// runs at most once.
func TestTargetTimeExcludesWaiting(t *testing.T) {
	for _, once := range []bool{false, true} {
		var clock atomic.Int64
		observed := make(outcomes, 1)
		r := newRig(t, withDeps(func(d *Deps) {
			d.Now = func() time.Time { return time.Now().Add(time.Duration(clock.Load())) }
			d.Limits, d.Observer = slowLimits{&clock}, observed
		}))
		header := map[string]string{HeaderIdempotent: strconv.FormatBool(!once), HeaderIdempotencyKey: "k", HeaderResend: "false"}
		readStream(t, r.do(call{body: chat("p", true, 4), header: header}).Body)
		out := <-observed
		if out.Code != "" || out.TargetTime <= 0 || out.TargetTime > out.Took-limitWait {
			t.Fatalf("once %v: %v at the target of %v, %q", once, out.TargetTime, out.Took, out.Code)
		}
		if n := r.deps.Metrics.Chunks.Count(); n != int64(out.Chunks) || n == 0 || (!once && n != 4) {
			t.Fatalf("once %v: %d chunks counted of %d", once, n, out.Chunks)
		}
	}
}
