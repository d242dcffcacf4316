package claim

// seconds returns the table's clock in Unix seconds, rounded down.
func (t *Table) seconds() uint32 { return uint32(t.clock / 1000) }

// expire advances the clock and removes what has expired. See the package comment for
// why one command advances it by no more than MaxClockStep.
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
		t.expireDue(s)
	}
	for id, l := range t.lost {
		if l.until <= t.seconds() {
			delete(t.lost, id)
		}
	}
	return Result{Reply: Accepted}
}

// startClock sets the clock of a new table and restarts the lifetimes of records
// from before it had one.
func (t *Table) startClock(now int64) Result {
	t.clock = now
	t.byExpiry = make(map[uint32][]int32)
	for _, slot := range t.byKey {
		r := &t.records[slot]
		if r.heldUntil > 0 {
			t.hold(r, Unmarked)
		}
		t.restartLifetime(r)
		t.listExpiry(slot)
	}
	for id, l := range t.lost {
		l.until += t.seconds()
		t.lost[id] = l
	}
	return Result{Reply: Accepted}
}

// expireDue handles the records listed under a second. One that changed since
// it was listed is listed again under its new expiry.
func (t *Table) expireDue(second uint32) {
	due := t.byExpiry[second]
	delete(t.byExpiry, second)
	for _, slot := range due {
		r := &t.records[slot]
		if r.expiry > second {
			t.listExpiry(slot)
			continue
		}
		if r.state == stateRunning {
			// If it were removed while it runs, the key could be granted a second time.
			r.state = stateMayHaveRun
			t.restartLifetime(r)
			t.listExpiry(slot)
			continue
		}
		t.remove(slot)
	}
}

// newRecord adds a record for a key that has none.
func (t *Table) newRecord(k Key, lifetime uint32) *record {
	r := record{key: k, lifetime: lifetime, owner: noOwner}
	t.restartLifetime(&r)
	return &t.records[t.insert(r)]
}

// insert stores a record and lists its expiry.
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

// restartLifetime restarts the lifetime of a record. An expiry never falls, so a
// record is always listed under a second at or before it: expireDue then sees
// it in time, also on a replica that was restored from a snapshot.
func (t *Table) restartLifetime(r *record) {
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

// noOwner is the owner number of a record without an instance.
const noOwner int32 = -1

// owners gives each incarnation of an instance a small number for as long as a
// record refers to it.
type owners struct {
	byInstance map[Instance]int32
	entries    []ownerEntry
	unused     []int32
}

type ownerEntry struct {
	instance Instance
	records  int
}

func newOwners() owners { return owners{byInstance: make(map[Instance]int32)} }

// at returns the instance with number n; zero for noOwner.
func (o *owners) at(n int32) Instance {
	if n == noOwner {
		return Instance{}
	}
	return o.entries[n].instance
}

// intern returns the number of an instance and counts one more record that refers to it,
// until release.
func (o *owners) intern(i Instance) int32 {
	n, ok := o.byInstance[i]
	if !ok {
		n = o.add(i)
	}
	o.entries[n].records++
	return n
}

func (o *owners) add(i Instance) int32 {
	n := int32(len(o.entries))
	if k := len(o.unused); k > 0 {
		n = o.unused[k-1]
		o.unused = o.unused[:k-1]
	} else {
		o.entries = append(o.entries, ownerEntry{})
	}
	o.entries[n] = ownerEntry{instance: i}
	o.byInstance[i] = n
	return n
}

func (o *owners) release(n int32) {
	if n == noOwner {
		return
	}
	l := &o.entries[n]
	l.records--
	if l.records > 0 {
		return
	}
	delete(o.byInstance, l.instance)
	*l = ownerEntry{}
	o.unused = append(o.unused, n)
}
