package claim

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// world runs Gates of several instances against one Table over a network that
// delays, doubles and loses, and keeps the truth about what ran.
type world struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Time
	table  *Table
	index  uint64
	flying []proposal
	sends  []*sending
	ticked time.Time
	extra  time.Time
	lives  map[string]uint64
	risen  map[Key]verdict.Verdict
	// mortal says that records may be forgotten within the test.
	mortal bool
}

type proposal struct {
	cmd  Command
	from *sending
}

type sending struct {
	r      Request
	g      *Gate
	asked  bool
	order  int
	ran    bool
	notRun bool
	dead   bool
}

var start = time.Unix(1_800_000_000, 0)

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now: start, table: NewTable(), ticked: start, extra: start,
		lives: map[string]uint64{"a": 1, "b": 1, "c": 1}, risen: map[Key]verdict.Verdict{},
	}
	w.apply(Command{Now: start.UnixMilli(), Expire: &Expire{}})
	return w
}

// draw is uniform, unlike rapid's integers, which prefer small ones: long
// interleavings of all kinds of steps would be rare with those.
func (w *world) draw(n int) int { return w.random.IntN(n) }

// pick returns a live sending whose Gate is in one of the states, or nil.
func (w *world) pick(states ...gateState) *sending {
	var fit []*sending
	for _, s := range w.sends {
		if !s.dead && slices.Contains(states, s.g.state) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.draw(len(fit))]
}

func (w *world) apply(c Command) Result {
	w.index++
	b, err := Encode(c)
	if err != nil {
		w.t.Fatal(err)
	}
	other := NewTable()
	snap, err := w.table.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := other.Restore(snap); err != nil {
		w.t.Fatal(err)
	}
	one, two := w.table.Apply(w.index, b), other.Apply(w.index, b)
	again, _ := w.table.Snapshot()
	restored, _ := other.Snapshot()
	if !bytes.Equal(one, two) || !bytes.Equal(again, restored) {
		w.t.Fatalf("a restored replica differs after %+v", c)
	}
	if w.draw(2) == 0 {
		w.table = other
	}
	res, err := DecodeResult(one)
	if err != nil {
		w.t.Fatal(err)
	}
	w.checkRise()
	return res
}

// checkRise fails when what is recorded of a key falls.
func (w *world) checkRise() {
	for k := range w.risen {
		if _, kept := w.table.byKey[k]; !kept && w.mortal {
			delete(w.risen, k)
		} else if !kept {
			w.t.Fatal("a record was forgotten within its lifetime")
		}
	}
	for k, slot := range w.table.byKey {
		r := &w.table.records[slot]
		v := r.verdict
		if r.state == stateMayHaveRun {
			v = verdict.MayHaveRun
		}
		if v < w.risen[k] {
			w.t.Fatalf("recorded verdict fell from %v to %v", w.risen[k], v)
		}
		w.risen[k] = v
	}
}

func (w *world) open() {
	id := []string{"a", "b", "c"}[w.draw(3)]
	r := Request{
		Key: KeyOf("w", "k"), Body: DigestOf([]byte{byte(w.draw(8) / 7)}),
		Instance: Instance{id, w.lives[id]}, Lifetime: time.Hour,
	}
	r.Attempt[0], r.Attempt[1] = byte(len(w.sends)), 1
	r.Mark = First
	if len(w.sends) > 0 {
		r.Mark = []Mark{Resend, Unmarked}[w.draw(2)]
	}
	s := &sending{r: r, order: len(w.sends)}
	w.sends = append(w.sends, s)
	g, step := Open(w.now, r)
	s.g = g
	w.follow(s, step)
}

func (w *world) follow(s *sending, step Step) {
	if step.Action == Propose {
		s.asked = true
	}
	if step.Command != nil {
		w.flying = append(w.flying, proposal{*step.Command, s})
	}
	if step.Action == Refuse && step.Err.Verdict == verdict.NotRun && step.Err.Code != CodeConflict {
		s.notRun = true
		w.checkTold()
	}
}

// checkTold fails when a caller was told "not run" and this sending or an
// earlier one ran, before or after.
func (w *world) checkTold() {
	runs := 0
	for _, s := range w.sends {
		if s.ran {
			runs++
		}
		for _, e := range w.sends[:s.order+1] {
			if s.notRun && e.ran {
				w.t.Fatalf("sending %d was told not_run and sending %d ran", s.order, e.order)
			}
		}
	}
	if runs > 1 {
		w.t.Fatalf("the key ran %d times", runs)
	}
}

func (w *world) deliver() {
	if len(w.flying) == 0 {
		return
	}
	i := w.draw(len(w.flying))
	p := w.flying[i]
	fate := w.draw(8)
	if fate != 0 { // else a copy stays under way
		w.flying = append(w.flying[:i], w.flying[i+1:]...)
	}
	if fate == 1 {
		return
	}
	res := w.apply(p.cmd)
	if p.cmd.Claim == nil || p.from.dead || fate == 2 {
		return
	}
	w.follow(p.from, p.from.g.Replied(w.now, res))
}

func (w *world) send() {
	s := w.pick(gateGranted)
	if s == nil || !s.g.BeginSend() {
		return
	}
	if w.draw(4) == 0 {
		s.g.CancelSend()
		return
	}
	s.ran = true
	w.checkTold()
}

func (w *world) finish() {
	s := w.pick(gateSent)
	if s == nil {
		return
	}
	v := []verdict.Verdict{verdict.MayHaveRun, verdict.Ran}[w.draw(2)]
	w.follow(s, s.g.Finished(w.now, v, 200, DigestOf([]byte("answer"))))
	// What is found out later of the same attempt, by another of its instances.
	late := &Finish{Key: s.r.Key, Attempt: s.r.Attempt, Verdict: verdict.MayHaveRun}
	w.flying = append(w.flying, proposal{Command{Finish: late}, s})
}

// loseInstance ends a life of an instance, or only believes so.
func (w *world) loseInstance() {
	id := []string{"a", "b", "c"}[w.draw(3)]
	w.flying = append(w.flying, proposal{cmd: Command{InstanceLost: &InstanceLost{Instance{id, w.lives[id]}}}})
	if w.draw(2) == 0 {
		return
	}
	for _, s := range w.sends {
		s.dead = s.dead || s.r.Instance == Instance{id, w.lives[id]}
	}
	w.lives[id]++
}

// advance moves time and, at most once a ExpireInterval, the leader's Expire command,
// whose clock may be ahead by any jump. A former leader may leave one more.
func (w *world) advance() {
	w.now = w.now.Add(time.Duration(w.draw(400)) * time.Millisecond)
	if w.now.Sub(w.ticked) >= ExpireInterval {
		w.ticked = w.now
		w.tick()
	}
	if w.now.Sub(w.extra) > ClaimWait && w.draw(3) == 0 {
		w.extra = w.now
		w.tick()
	}
}

func (w *world) tick() {
	ahead := time.Duration(w.draw(100)) * time.Second
	w.apply(Command{Now: w.now.Add(ahead).UnixMilli(), Expire: &Expire{}})
}

// Symptom: a booking is confirmed twice, or its caller is told "not run" and
// the families arrive all the same.
// Events: the caller resends to other instances while claims, replies and
// releases are delayed, doubled and lost, instances die or are thought dead,
// replicas are restored from snapshots and the leader's clock jumps.
// Cause: a key granted twice, a release while a send is possible, a late grant
// that is used after a resend was told "not run", a verdict that falls.
func TestAtMostOneRunAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 10 {
			w := newWorld(t)
			for range 150 {
				w.step()
			}
		}
	})
}

func (w *world) step() {
	asking := w.pick(gateAsking)
	unsent := w.pick(gateAsking, gateGranted)
	switch k := w.draw(100); {
	case k < 12 && len(w.sends) < 12:
		w.open()
	case k < 50:
		w.deliver()
	case k < 56:
		w.send()
	case k < 60:
		w.finish()
	case k < 62:
		w.loseInstance()
	case k < 70 && asking != nil:
		w.follow(asking, asking.g.Failed(w.now, Failure(w.draw(2))))
	case k < 82 && unsent != nil:
		w.follow(unsent, unsent.g.GiveUp(w.now, CodeGivenUp, "no target"))
	default:
		w.advance()
	}
}

// Symptom: a resend after the lifetime is refused for ever, or one within the
// lifetime runs again, or memory grows.
// Events: claims with random lifetimes, ends, and the clock in steps.
// Cause: an expiry that is listed too late, too early or not at all.
func TestRecordsLastExactlyTheirLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.mortal = true
		lifetime := uint32(rapid.IntRange(1, 20).Draw(t, "lifetime"))
		key := KeyOf("w", "k")
		claimAs := func(n byte, lifetime uint32) {
			c := &Claim{Key: key, Attempt: AttemptID{n}, Instance: Instance{"a", 1}, LifetimeSeconds: lifetime}
			if r := w.apply(Command{Now: w.now.UnixMilli(), Claim: c}); r.Reply != Granted {
				t.Fatalf("claim %d: %v", n, r.Reply)
			}
		}
		first := uint32(rapid.IntRange(1, 20).Draw(t, "lifetime of a released one"))
		claimAs(0, first)
		w.apply(Command{Abandon: &Abandon{Key: key, NotRun: true, LifetimeSeconds: first, Mark: First}})
		claimAs(1, lifetime)
		finished := rapid.Bool().Draw(t, "finished")
		if finished {
			w.apply(Command{Finish: &Finish{Key: key, Attempt: AttemptID{1}, Verdict: verdict.Ran, Status: 200}})
		}
		lives := int64(max(first, lifetime)) + 1
		if !finished {
			lives += int64(lifetime) + 1 // as MayHaveRun
		}
		for s := int64(1); s <= lives; s++ {
			w.now = w.now.Add(time.Second)
			w.apply(Command{Now: w.now.UnixMilli(), Expire: &Expire{}})
			if s < lives && w.table.Len() != 1 {
				t.Fatalf("forgotten after %d of %d s", s, lives)
			}
		}
		if w.table.Len() != 0 || len(w.table.byExpiry) != 0 {
			t.Fatalf("%d records and %d listings are left", w.table.Len(), len(w.table.byExpiry))
		}
		claimAs(2, lifetime)
	})
}

// Symptom: resends are told for a lifetime that the key is running, at nobody.
// Events: an attempt is abandoned before or after its claim is applied, and the
// claim, delayed or doubled, is applied once more.
// Cause: an abandoned attempt without a tombstone.
func TestAbandonedAttemptIsNeverGranted(t *testing.T) {
	claim := Command{Claim: &Claim{Key: Key{1}, Attempt: AttemptID{1}, Instance: Instance{"a", 1}, LifetimeSeconds: 60}}
	abandon := Command{Abandon: &Abandon{Key: Key{1}, Attempt: AttemptID{1}, NotRun: true, LifetimeSeconds: 60, Mark: First}}
	for _, before := range [][]Command{{abandon}, {claim, abandon}, {claim, claim, abandon}} {
		table := NewTable()
		for _, c := range before {
			table.Step(c)
		}
		if r := table.Step(claim); r.Reply != Released {
			t.Errorf("the delayed claim was answered %v", r.Reply)
		}
		next := *claim.Claim
		next.Attempt = AttemptID{2}
		if r := table.Step(Command{Claim: &next}); r.Reply != Granted {
			t.Errorf("the next attempt was answered %v", r.Reply)
		}
	}
}

// Symptom: a caller was told "not run" and its earlier sending runs then.
// Events: a resend is granted the key and releases it; the table's clock runs
// as fast as it may for ClaimWait; the earlier claim arrives.
// Cause: a hold that is shorter than ClaimWait on a fast clock.
func TestReleaseIsHeldForClaimWait(t *testing.T) {
	table := NewTable()
	table.Step(Command{Now: start.UnixMilli(), Expire: &Expire{}})
	abandon := &Abandon{Key: Key{1}, Attempt: AttemptID{2}, NotRun: true, LifetimeSeconds: 60, Mark: Resend}
	table.Step(Command{Abandon: abandon})
	earlier := &Claim{Key: Key{1}, Attempt: AttemptID{1}, Instance: Instance{"a", 1}, LifetimeSeconds: 3600}
	for ticks := range 4 { // at 0 s, 1 s and 2 s, and one of a former leader
		if r := table.Step(Command{Now: start.UnixMilli(), Claim: earlier}); r.Reply != Held {
			t.Fatalf("answered %v after %d ticks", r.Reply, ticks)
		}
		table.Step(Command{Now: start.Add(time.Hour).UnixMilli(), Expire: &Expire{}})
	}
	if r := table.Step(Command{Now: start.UnixMilli(), Claim: earlier}); r.Reply != Granted {
		t.Fatalf("answered %v after the hold", r.Reply)
	}
}

// Symptom: a key is granted twice because a dead instance's claim came late.
// Events: the loss is applied first, then the claim; a new life claims.
// Cause: no memory of lost lives.
func TestLostLifeIsNotGranted(t *testing.T) {
	table := NewTable()
	table.Step(Command{InstanceLost: &InstanceLost{Instance{"a", 3}}})
	for incarnation, want := range map[uint64]Reply{2: OwnerLost, 3: OwnerLost, 4: Granted} {
		c := &Claim{Key: Key{byte(incarnation)}, Instance: Instance{"a", incarnation}, LifetimeSeconds: 60}
		if r := table.Step(Command{Claim: c}); r.Reply != want {
			t.Errorf("life %d was answered %v", incarnation, r.Reply)
		}
	}
}
