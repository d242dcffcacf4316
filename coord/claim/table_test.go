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

// simulation runs Gates of several instances against one Table over a network that
// delays, duplicates and loses messages, and records what really ran.
type simulation struct {
	t                 *rapid.T
	random            *rand.Rand
	now               time.Time
	table             *Table
	index             uint64
	inFlight          []proposal
	attempts          []*attempt
	lastExpireAt      time.Time
	lastExtraExpireAt time.Time
	incarnations      map[string]uint64
	recorded          map[Key]verdict.Verdict
	// mayExpire: records may expire within the test.
	mayExpire bool
}

type proposal struct {
	cmd  Command
	from *attempt
}

// attempt is one attempt of the key; order is its index in simulation.attempts.
type attempt struct {
	r        Request
	g        *Gate
	proposed bool
	order    int
	ran      bool
	notRun   bool // its caller was told "not run"
	dead     bool // its instance has ended
}

var start = time.Unix(1_800_000_000, 0)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now: start, table: NewTable(), lastExpireAt: start, lastExtraExpireAt: start,
		incarnations: map[string]uint64{"a": 1, "b": 1, "c": 1}, recorded: map[Key]verdict.Verdict{},
	}
	w.apply(Command{Now: start.UnixMilli(), Expire: &Expire{}})
	return w
}

// draw is uniform, unlike rapid's integers, which prefer small values and so would
// make long interleavings of all kinds of steps rare.
func (w *simulation) draw(n int) int { return w.random.IntN(n) }

// pick returns a live attempt whose Gate is in one of the states, or nil.
func (w *simulation) pick(states ...gateState) *attempt {
	var fit []*attempt
	for _, s := range w.attempts {
		if !s.dead && slices.Contains(states, s.g.state) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.draw(len(fit))]
}

func (w *simulation) apply(c Command) Result {
	w.index++
	b, err := Encode(c)
	if err != nil {
		w.t.Fatal(err)
	}
	replica := NewTable()
	snap, err := w.table.Snapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := replica.Restore(snap); err != nil {
		w.t.Fatal(err)
	}
	got, restoredGot := w.table.Apply(w.index, b), replica.Apply(w.index, b)
	snapshot, _ := w.table.Snapshot()
	replicaSnapshot, _ := replica.Snapshot()
	if !bytes.Equal(got, restoredGot) || !bytes.Equal(snapshot, replicaSnapshot) {
		w.t.Fatalf("a restored replica differs after %+v", c)
	}
	if w.draw(2) == 0 {
		w.table = replica
	}
	res, err := DecodeResult(got)
	if err != nil {
		w.t.Fatal(err)
	}
	w.checkRecordsOnlyRise()
	return res
}

// checkRecordsOnlyRise fails when the recorded verdict of a key falls.
func (w *simulation) checkRecordsOnlyRise() {
	for k := range w.recorded {
		if _, kept := w.table.byKey[k]; !kept && w.mayExpire {
			delete(w.recorded, k)
		} else if !kept {
			w.t.Fatal("a record was removed within its lifetime")
		}
	}
	for k, slot := range w.table.byKey {
		r := &w.table.records[slot]
		v := r.verdict
		if r.state == stateMayHaveRun {
			v = verdict.MayHaveRun
		}
		if v < w.recorded[k] {
			w.t.Fatalf("recorded verdict fell from %v to %v", w.recorded[k], v)
		}
		w.recorded[k] = v
	}
}

func (w *simulation) open() {
	id := []string{"a", "b", "c"}[w.draw(3)]
	r := Request{
		Key: KeyOf("w", "k"), Body: DigestOf([]byte{byte(w.draw(8) / 7)}),
		Instance: Instance{id, w.incarnations[id]}, Lifetime: time.Hour,
	}
	r.Attempt[0], r.Attempt[1] = byte(len(w.attempts)), 1
	r.Mark = First
	if len(w.attempts) > 0 {
		r.Mark = []Mark{Resend, Unmarked}[w.draw(2)]
	}
	s := &attempt{r: r, order: len(w.attempts)}
	w.attempts = append(w.attempts, s)
	g, step := Open(w.now, r)
	s.g = g
	w.applyStep(s, step)
}

func (w *simulation) applyStep(s *attempt, step Step) {
	if step.Action == Propose {
		s.proposed = true
	}
	if step.Command != nil {
		w.inFlight = append(w.inFlight, proposal{*step.Command, s})
	}
	if step.Action == Refuse && step.Err.Verdict == verdict.NotRun && step.Err.Code != CodeConflict {
		s.notRun = true
		w.checkNotRunIsTrue()
	}
}

// checkNotRunIsTrue fails when a caller was told "not run" and this attempt or an
// earlier one ran, before or after.
func (w *simulation) checkNotRunIsTrue() {
	runs := 0
	for _, s := range w.attempts {
		if s.ran {
			runs++
		}
		for _, e := range w.attempts[:s.order+1] {
			if s.notRun && e.ran {
				w.t.Fatalf("attempt %d was told not_run and attempt %d ran", s.order, e.order)
			}
		}
	}
	if runs > 1 {
		w.t.Fatalf("the key ran %d times", runs)
	}
}

func (w *simulation) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.draw(len(w.inFlight))
	p := w.inFlight[i]
	outcome := w.draw(8)
	if outcome != 0 { // Otherwise a copy stays in flight.
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
	if outcome == 1 {
		return
	}
	res := w.apply(p.cmd)
	if p.cmd.Claim == nil || p.from.dead || outcome == 2 {
		return
	}
	w.applyStep(p.from, p.from.g.Replied(w.now, res))
}

func (w *simulation) send() {
	s := w.pick(gateGranted)
	if s == nil || !s.g.BeginSend() {
		return
	}
	if w.draw(4) == 0 {
		s.g.CancelSend()
		return
	}
	s.ran = true
	w.checkNotRunIsTrue()
}

func (w *simulation) finish() {
	s := w.pick(gateSent)
	if s == nil {
		return
	}
	v := []verdict.Verdict{verdict.MayHaveRun, verdict.Ran}[w.draw(2)]
	w.applyStep(s, s.g.Finished(w.now, v, 200, DigestOf([]byte("answer"))))
	// A late report on the same attempt, by another of its instances.
	late := &Finish{Key: s.r.Key, Attempt: s.r.Attempt, Verdict: verdict.MayHaveRun}
	w.inFlight = append(w.inFlight, proposal{Command{Finish: late}, s})
}

// loseInstance ends an incarnation of an instance, or only reports it as lost.
func (w *simulation) loseInstance() {
	id := []string{"a", "b", "c"}[w.draw(3)]
	w.inFlight = append(w.inFlight, proposal{cmd: Command{InstanceLost: &InstanceLost{Instance{id, w.incarnations[id]}}}})
	if w.draw(2) == 0 {
		return
	}
	for _, s := range w.attempts {
		s.dead = s.dead || s.r.Instance == Instance{id, w.incarnations[id]}
	}
	w.incarnations[id]++
}

// advance moves time and, at most once per ExpireInterval, applies the leader's Expire
// command, whose clock may be ahead by any jump. A previous leader may leave one more.
func (w *simulation) advance() {
	w.now = w.now.Add(time.Duration(w.draw(400)) * time.Millisecond)
	if w.now.Sub(w.lastExpireAt) >= ExpireInterval {
		w.lastExpireAt = w.now
		w.applyExpire()
	}
	if w.now.Sub(w.lastExtraExpireAt) > ClaimWait && w.draw(3) == 0 {
		w.lastExtraExpireAt = w.now
		w.applyExpire()
	}
}

// applyExpire applies an Expire command of a leader whose clock is up to 99 s ahead.
func (w *simulation) applyExpire() {
	ahead := time.Duration(w.draw(100)) * time.Second
	w.apply(Command{Now: w.now.Add(ahead).UnixMilli(), Expire: &Expire{}})
}

// Guards against a request that runs twice, or whose caller is told "not run" although it
// runs. The caller resends to other instances while claims, replies and releases are
// delayed, duplicated and lost, instances are lost or only reported so, replicas are restored
// from snapshots and the leader's clock jumps. Causes: a key granted twice, a release while
// a send is possible, a late grant that is used after a resend was told "not run", or a
// verdict that falls.
func TestAtMostOneRunAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range 10 {
			w := newSimulation(t)
			for range 150 {
				w.step()
			}
		}
	})
}

func (w *simulation) step() {
	proposing := w.pick(gateProposing)
	unsent := w.pick(gateProposing, gateGranted)
	switch k := w.draw(100); {
	case k < 12 && len(w.attempts) < 12:
		w.open()
	case k < 50:
		w.deliver()
	case k < 56:
		w.send()
	case k < 60:
		w.finish()
	case k < 62:
		w.loseInstance()
	case k < 70 && proposing != nil:
		w.applyStep(proposing, proposing.g.Failed(w.now, Failure(w.draw(2))))
	case k < 82 && unsent != nil:
		w.applyStep(unsent, unsent.g.GiveUp(w.now, CodeGivenUp, "no target"))
	default:
		w.advance()
	}
}

// Guards against a resend after the lifetime that is refused for ever, one within the
// lifetime that runs again, and growing memory: an expiry that is listed too late, too
// early or not at all.
func TestRecordsLastExactlyTheirLifetime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.mayExpire = true
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
		recordSeconds := int64(max(first, lifetime)) + 1
		if !finished {
			recordSeconds += int64(lifetime) + 1 // as MayHaveRun
		}
		for s := int64(1); s <= recordSeconds; s++ {
			w.now = w.now.Add(time.Second)
			w.apply(Command{Now: w.now.UnixMilli(), Expire: &Expire{}})
			if s < recordSeconds && w.table.Len() != 1 {
				t.Fatalf("removed after %d of %d s", s, recordSeconds)
			}
		}
		if w.table.Len() != 0 || len(w.table.byExpiry) != 0 {
			t.Fatalf("%d records and %d expiry lists are left", w.table.Len(), len(w.table.byExpiry))
		}
		claimAs(2, lifetime)
	})
}

// Guards against resends that are told for a lifetime that the key is running although it
// has no owner: an attempt is abandoned before or after its claim is applied, the claim,
// delayed or duplicated, is applied again, and there is no tombstone.
func TestAbandonedAttemptIsNeverGranted(t *testing.T) {
	claim := Command{Claim: &Claim{Key: Key{1}, Attempt: AttemptID{1}, Instance: Instance{"a", 1}, LifetimeSeconds: 60}}
	abandon := Command{Abandon: &Abandon{Key: Key{1}, Attempt: AttemptID{1}, NotRun: true, LifetimeSeconds: 60, Mark: First}}
	for _, before := range [][]Command{{abandon}, {claim, abandon}, {claim, claim, abandon}} {
		table := NewTable()
		for _, c := range before {
			table.Step(c)
		}
		if r := table.Step(claim); r.Reply != Released {
			t.Errorf("the delayed claim got reply %v", r.Reply)
		}
		next := *claim.Claim
		next.Attempt = AttemptID{2}
		if r := table.Step(Command{Claim: &next}); r.Reply != Granted {
			t.Errorf("the next attempt got reply %v", r.Reply)
		}
	}
}

// Guards against an attempt that runs after its caller was told "not run": a resend is
// granted the key and releases it, the table's clock runs at its fastest for ClaimWait, and
// the earlier claim arrives after a hold that was too short.
func TestReleaseIsHeldForClaimWait(t *testing.T) {
	table := NewTable()
	table.Step(Command{Now: start.UnixMilli(), Expire: &Expire{}})
	abandon := &Abandon{Key: Key{1}, Attempt: AttemptID{2}, NotRun: true, LifetimeSeconds: 60, Mark: Resend}
	table.Step(Command{Abandon: abandon})
	earlier := &Claim{Key: Key{1}, Attempt: AttemptID{1}, Instance: Instance{"a", 1}, LifetimeSeconds: 3600}
	for expires := range 4 { // At 0 s, 1 s and 2 s, and one of a previous leader.
		if r := table.Step(Command{Now: start.UnixMilli(), Claim: earlier}); r.Reply != Held {
			t.Fatalf("reply %v after %d Expire commands", r.Reply, expires)
		}
		table.Step(Command{Now: start.Add(time.Hour).UnixMilli(), Expire: &Expire{}})
	}
	if r := table.Step(Command{Now: start.UnixMilli(), Claim: earlier}); r.Reply != Granted {
		t.Fatalf("reply %v after the hold", r.Reply)
	}
}

// Guards against a key granted twice because a lost instance's claim arrives after its loss
// was applied and the lost incarnation was not remembered.
func TestLostIncarnationIsNotGranted(t *testing.T) {
	table := NewTable()
	table.Step(Command{InstanceLost: &InstanceLost{Instance{"a", 3}}})
	for incarnation, want := range map[uint64]Reply{2: OwnerLost, 3: OwnerLost, 4: Granted} {
		c := &Claim{Key: Key{byte(incarnation)}, Instance: Instance{"a", incarnation}, LifetimeSeconds: 60}
		if r := table.Step(Command{Claim: c}); r.Reply != want {
			t.Errorf("incarnation %d got reply %v", incarnation, r.Reply)
		}
	}
}
