package claim

// seconds is the table's clock in Unix seconds, rounded down.
func (t *Table) seconds() uint32 { return uint32(t.clock / 1000) }

// expire moves the clock and forgets what is due. See the package comment for
// why one command moves it by no more than MaxClockStep.
func (t *Table) expire(now int64) Result {
	if now <= t.clock {
		return Result{Reply: Accepted}
	}
	if t.clock == 0 {
		return t.startClock(now)
	}
	from := t.seconds()
	t.clock = min(now, t.clock+MaxClockStep.Milliseconds())
	for s := from + 1; s <= t.seconds(); s++ {
		t.forgetDue(s)
	}
	for id, l := range t.lost {
		if l.until <= t.seconds() {
			delete(t.lost, id)
		}
	}
	return Result{Reply: Accepted}
}

// startClock sets the clock of a new table and restarts the lifetimes of what
// was recorded before it had one.
func (t *Table) startClock(now int64) Result {
	t.clock = now
	t.byExpiry = make(map[uint32][]int32)
	for _, slot := range t.byKey {
		r := &t.records[slot]
		if r.heldUntil > 0 {
			t.hold(r, Unmarked)
		}
		t.touch(r)
		t.listExpiry(slot)
	}
	for id, l := range t.lost {
		l.until += t.seconds()
		t.lost[id] = l
	}
	return Result{Reply: Accepted}
}

// forgetDue looks at the records listed under a second. One that changed since
// it was listed is listed again under its new expiry.
func (t *Table) forgetDue(second uint32) {
	due := t.byExpiry[second]
	delete(t.byExpiry, second)
	for _, slot := range due {
		r := &t.records[slot]
		if r.expiry > second {
			t.listExpiry(slot)
			continue
		}
		if r.state == stateRunning {
			// Forgotten while it runs, the key could be granted a second time.
			r.state = stateMayHaveRun
			t.touch(r)
			t.listExpiry(slot)
			continue
		}
		t.remove(slot)
	}
}

// newRecord makes a record of a key that nobody holds yet.
func (t *Table) newRecord(k Key, lifetime uint32) *record {
	r := record{key: k, lifetime: lifetime, owner: noOwner}
	t.touch(&r)
	return &t.records[t.insert(r)]
}

// insert takes a record in and lists its expiry.
func (t *Table) insert(r record) int32 {
	slot := int32(len(t.records))
	if n := len(t.unused); n > 0 {
		slot = t.unused[n-1]
		t.unused = t.unused[:n-1]
	} else {
		t.records = append(t.records, record{})
	}
	t.records[slot] = r
	t.byKey[r.key] = slot
	t.listExpiry(slot)
	return slot
}

// touch starts the lifetime of a record anew. An expiry never falls, so a
// record is always listed under a second at or before it: forgetDue then sees
// it in time, on a replica that was restored from a snapshot as well.
func (t *Table) touch(r *record) {
	r.expiry = max(r.expiry, t.seconds()+r.lifetime+1, r.heldUntil+1)
}

func (t *Table) listExpiry(slot int32) {
	s := t.records[slot].expiry
	t.byExpiry[s] = append(t.byExpiry[s], slot)
}

func (t *Table) remove(slot int32) {
	r := &t.records[slot]
	t.owners.release(r.owner)
	delete(t.byKey, r.key)
	*r = record{owner: noOwner}
	t.unused = append(t.unused, slot)
}

// noOwner stands for a record that no instance holds.
const noOwner int32 = -1

// owners gives each life of an instance a small number, as long as a record
// names it.
type owners struct {
	byLife map[Instance]int32
	lives  []ownedLife
	unused []int32
}

type ownedLife struct {
	life    Instance
	records int
}

func newOwners() owners { return owners{byLife: make(map[Instance]int32)} }

func (o *owners) at(n int32) Instance {
	if n == noOwner {
		return Instance{}
	}
	return o.lives[n].life
}

func (o *owners) intern(i Instance) int32 {
	n, ok := o.byLife[i]
	if !ok {
		n = o.place(i)
	}
	o.lives[n].records++
	return n
}

func (o *owners) place(i Instance) int32 {
	n := int32(len(o.lives))
	if k := len(o.unused); k > 0 {
		n = o.unused[k-1]
		o.unused = o.unused[:k-1]
	} else {
		o.lives = append(o.lives, ownedLife{})
	}
	o.lives[n] = ownedLife{life: i}
	o.byLife[i] = n
	return n
}

func (o *owners) release(n int32) {
	if n == noOwner {
		return
	}
	l := &o.lives[n]
	l.records--
	if l.records > 0 {
		return
	}
	delete(o.byLife, l.life)
	*l = ownedLife{}
	o.unused = append(o.unused, n)
}
