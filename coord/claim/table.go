package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// recordState is the state of a key.
type recordState uint8

const (
	// stateFree: the last attempt was abandoned without a run. The record is
	// its tombstone: a delayed Claim of that attempt is not granted.
	stateFree recordState = iota
	// stateRunning: the attempt was granted and has not ended.
	stateRunning
	// stateMayHaveRun: the outcome of the attempt is not known.
	stateMayHaveRun
	// stateDone: the attempt ended with a verdict above NotRun.
	stateDone
)

// record is what is stored for a key; recordBytes long in a snapshot.
type record struct {
	key     Key
	body    Digest
	attempt AttemptID
	answer  Digest
	// expiry and heldUntil are on the table's clock, in Unix seconds.
	expiry, heldUntil uint32
	// lifetime in seconds.
	lifetime uint32
	// owner is the number of the attempt's instance in Table.owners.
	owner int32
	// status is the HTTP status of the answer, 0 if none.
	status  uint16
	verdict verdict.Verdict
	state   recordState
}

// lostIncarnation is the highest lost incarnation of an instance.
type lostIncarnation struct {
	incarnation uint64
	// until is when the entry is removed, in Unix seconds on the table's clock.
	until uint32
}

// Table is the replicated state machine of claims. It is not safe for concurrent use:
// only the goroutine that applies the log may use it.
type Table struct {
	// clock in Unix milliseconds.
	clock   int64
	applied uint64
	// records are referred to by their index here, the slot. unused are the free slots.
	records []record
	unused  []int32
	byKey   map[Key]int32
	// byExpiry lists the slot of each record once, under a second at or before its expiry.
	byExpiry map[uint32][]int32
	owners   owners
	// lost is by instance id.
	lost map[string]lostIncarnation
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		byKey:    make(map[Key]int32),
		byExpiry: make(map[uint32][]int32),
		owners:   newOwners(),
		lost:     make(map[string]lostIncarnation),
	}
}

// Len returns the number of keys in the table, tombstones included.
func (t *Table) Len() int { return len(t.byKey) }

// Clock returns the table's clock in Unix milliseconds; 0 before the first Expire.
func (t *Table) Clock() int64 { return t.clock }

// Applied returns the index of the last entry applied.
func (t *Table) Applied() uint64 { return t.applied }

// Encode encodes a command for the log.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// DecodeResult decodes what Apply returned.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	err := cbor.Unmarshal(b, &r)
	return r, err
}

// Apply applies the committed entry at index and returns its Result in CBOR. An
// index at or below the last one is not applied again: its Result is Invalid.
func (t *Table) Apply(index uint64, command []byte) []byte {
	var c Command
	var res Result
	if index <= t.applied {
		res = invalid("entry %d comes after %d", index, t.applied)
	} else if err := cbor.Unmarshal(command, &c); err != nil {
		t.applied = index
		res = invalid("command: %v", err)
	} else {
		t.applied = index
		res = t.Step(c)
	}
	b, err := cbor.Marshal(res)
	if err != nil {
		// A Result has only plain fields, so this is a programming error.
		panic(fmt.Sprintf("claim: result: %v", err))
	}
	return b
}

// Step applies a decoded command.
func (t *Table) Step(c Command) Result {
	switch {
	case c.count() != 1:
		return invalid("%d commands in one entry", c.count())
	case c.Claim != nil:
		return t.claim(c.Now, c.Claim)
	case c.Finish != nil:
		return t.finish(c.Finish)
	case c.Abandon != nil:
		return t.abandon(c.Abandon)
	case c.Expire != nil:
		return t.expire(c.Now)
	default:
		return t.instanceLost(c.InstanceLost)
	}
}

// count returns how many commands the entry holds; exactly one is valid.
func (c *Command) count() int {
	n := 0
	for _, set := range []bool{c.Claim != nil, c.Finish != nil, c.Abandon != nil, c.Expire != nil, c.InstanceLost != nil} {
		if set {
			n++
		}
	}
	return n
}

func (t *Table) claim(now int64, c *Claim) Result {
	if err := checkLifetime(c.LifetimeSeconds); err != nil {
		return invalid("%v", err)
	}
	if c.Instance.ID == "" {
		return invalid("claim without an instance")
	}
	slot, known := t.byKey[c.Key]
	if known && t.records[slot].state != stateFree {
		return t.replyTaken(&t.records[slot], c)
	}
	if now+int64(c.LifetimeSeconds)*1000 <= t.clock {
		return Result{Reply: Stale}
	}
	// A proposal of a lost incarnation may arrive after the loss was recorded. If it
	// were granted, the key would stay Running without an owner.
	if l, ok := t.lost[c.Instance.ID]; ok && c.Instance.Incarnation <= l.incarnation {
		return Result{Reply: OwnerLost}
	}
	if !known {
		if len(t.byKey) >= MaxRecords {
			return Result{Reply: Full, RetryAfterMillis: time.Second.Milliseconds()}
		}
		return t.grant(t.newRecord(c.Key, c.LifetimeSeconds), c)
	}
	r := &t.records[slot]
	if r.attempt == c.Attempt {
		return Result{Reply: Released}
	}
	if held := int64(r.heldUntil)*1000 - t.clock; held > 0 {
		return Result{Reply: Held, RetryAfterMillis: held}
	}
	return t.grant(r, c)
}

// replyTaken returns the reply to a claim of a key that is not free.
func (t *Table) replyTaken(r *record, c *Claim) Result {
	if r.body != c.Body && r.body != (Digest{}) {
		return Result{Reply: Conflict}
	}
	switch {
	case r.state == stateDone:
		return Result{Reply: Done, Verdict: r.verdict, Status: r.status, Answer: r.answer}
	case r.state == stateMayHaveRun:
		return Result{Reply: MayHaveRun}
	case r.attempt == c.Attempt:
		// The reply was lost and the proposal retried: same reply.
		return Result{Reply: Granted}
	}
	return Result{Reply: Running, Owner: t.owners.at(r.owner), Attempt: r.attempt}
}

func (t *Table) grant(r *record, c *Claim) Result {
	t.owners.release(r.owner)
	r.owner = t.owners.intern(c.Instance)
	r.body = c.Body
	r.attempt = c.Attempt
	r.lifetime = c.LifetimeSeconds
	r.state = stateRunning
	r.heldUntil = 0
	t.restartLifetime(r)
	return Result{Reply: Granted}
}

// finish records the end of an attempt; a recorded verdict only rises.
func (t *Table) finish(f *Finish) Result {
	if f.Verdict != verdict.MayHaveRun && f.Verdict != verdict.Ran {
		return invalid("finish with verdict %v", f.Verdict)
	}
	slot, known := t.byKey[f.Key]
	if !known {
		return Result{Reply: Forgotten}
	}
	r := &t.records[slot]
	if r.attempt != f.Attempt {
		return Result{Reply: NotOwner}
	}
	if r.state != stateDone || f.Verdict > r.verdict {
		r.status, r.answer = f.Status, f.Answer
	}
	r.verdict = r.verdict.Join(f.Verdict)
	r.state = stateDone
	t.restartLifetime(r)
	return Result{Reply: Accepted}
}

// abandon releases a running key, or leaves a tombstone if its claim hasn't arrived yet.
func (t *Table) abandon(a *Abandon) Result {
	if err := checkLifetime(a.LifetimeSeconds); err != nil {
		return invalid("%v", err)
	}
	slot, known := t.byKey[a.Key]
	if !known {
		return t.addTombstone(a)
	}
	r := &t.records[slot]
	if r.attempt != a.Attempt {
		return Result{Reply: NotOwner}
	}
	if r.state != stateRunning {
		return Result{Reply: Accepted}
	}
	if !a.NotRun {
		r.state = stateMayHaveRun
		t.restartLifetime(r)
		return Result{Reply: Accepted}
	}
	r.state = stateFree
	t.hold(r, a.Mark)
	t.restartLifetime(r)
	return Result{Reply: Accepted}
}

// addTombstone records an attempt that was abandoned before its claim was
// applied. Without it the claim, when it arrives, would be granted although its
// proposer has given up, and resends would be told that the key is running.
func (t *Table) addTombstone(a *Abandon) Result {
	if len(t.byKey) >= MaxRecords {
		return Result{Reply: Full, RetryAfterMillis: time.Second.Milliseconds()}
	}
	r := t.newRecord(a.Key, a.LifetimeSeconds)
	r.attempt = a.Attempt
	r.state = stateFree
	if !a.NotRun {
		r.state = stateMayHaveRun
	}
	t.hold(r, a.Mark)
	t.restartLifetime(r)
	return Result{Reply: Accepted}
}

// hold blocks the key for all attempts until Hold has passed, unless mark is First: an
// earlier attempt may still have a claim in flight, and its caller may have been told "not
// run" because of the release.
func (t *Table) hold(r *record, mark Mark) {
	if mark == First {
		return
	}
	r.heldUntil = uint32((t.clock + Hold.Milliseconds() + 999) / 1000)
}

func (t *Table) instanceLost(l *InstanceLost) Result {
	if l.Instance.ID == "" {
		return invalid("a lost instance without a name")
	}
	t.markLostRunning(l.Instance)
	old, known := t.lost[l.Instance.ID]
	if !known && len(t.lost) >= MaxInstances {
		return Result{Reply: Full, RetryAfterMillis: time.Second.Milliseconds()}
	}
	t.lost[l.Instance.ID] = lostIncarnation{
		incarnation: max(old.incarnation, l.Instance.Incarnation),
		until:       t.seconds() + uint32(MaxLifetime/time.Second),
	}
	return Result{Reply: Accepted}
}

// markLostRunning changes the running keys of the lost incarnations to MayHaveRun. It
// scans every record, which takes a few milliseconds at MaxRecords for each loss.
func (t *Table) markLostRunning(lost Instance) {
	for _, slot := range t.byKey {
		r := &t.records[slot]
		if r.state != stateRunning {
			continue
		}
		o := t.owners.at(r.owner)
		if o.ID == lost.ID && o.Incarnation <= lost.Incarnation {
			r.state = stateMayHaveRun
			t.restartLifetime(r)
		}
	}
}

func checkLifetime(seconds uint32) error {
	if seconds == 0 || time.Duration(seconds)*time.Second > MaxLifetime {
		return fmt.Errorf("lifetime of %d s is not between 1 s and %v", seconds, MaxLifetime)
	}
	return nil
}

func invalid(format string, args ...any) Result {
	return Result{Reply: Invalid, Message: fmt.Sprintf(format, args...)}
}
