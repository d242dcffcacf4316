package pieces

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is one receiver behind a link, in virtual time. Sources learn of versions one after
// the other, are down for a while, forget all at a restart, and answers are lost.
type world struct {
	t    *rapid.T
	now  time.Time
	rate int // bytes a second that the link leaves to the transfer
	trip time.Duration
	loss int // one answer in so many is lost; 0 for none

	sources  []*Holder
	down     []bool
	transfer *Transfer
	// got is what the receiver holds, and version what it has in force.
	got     map[Digest][]byte
	version int
	// told and texts are the versions that were made.
	told  []Digest
	texts [][]byte
	// sent are the bytes that came over the link, of use or not.
	sent int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), got: map[Digest][]byte{},
		rate: rapid.SampledFrom([]int{4 << 10, 40 << 10, 1 << 20}).Draw(t, "rate"),
		trip: time.Duration(rapid.IntRange(1, 200).Draw(t, "trip")) * time.Millisecond,
		loss: rapid.SampledFrom([]int{0, 3, 20}).Draw(t, "loss"),
	}
	for range rapid.IntRange(1, 4).Draw(t, "sources") {
		w.sources, w.down = append(w.sources, &Holder{}), append(w.down, false)
	}
	w.transfer = NewTransfer(func(d Digest) bool { return w.got[d] != nil })
	return w
}

// publish makes a version that some sources know at once.
func (w *world) publish(names []string) {
	s := cut(w.t, names)
	d := s.Pack()
	root := d.Manifest.Root()
	text, _ := elements(names)
	w.told, w.texts = append(w.told, root), append(w.texts, text)
	for k, h := range w.sources {
		if !w.down[k] {
			h.Put(root, d)
		}
	}
}

// tell has the receiver hear of the newest version from the sources that know it.
func (w *world) tell() {
	root := w.told[len(w.told)-1]
	if w.version == len(w.told) {
		return
	}
	for k, h := range w.sources {
		if !w.down[k] && !h.Respond(&Request{Root: root}).Unknown {
			w.transfer.HandleAnnouncement(w.now, root, fmt.Sprint(k))
		}
	}
}

// step asks one question, or waits.
func (w *world) step() {
	q, wait := w.transfer.NextFetch(w.now)
	if q == nil {
		w.now = w.now.Add(max(wait, 50*time.Millisecond))
		return
	}
	var k int
	_, _ = fmt.Sscan(q.To, &k)
	if w.down[k] {
		w.fail(q)
		return
	}
	a := w.sources[k].Respond(&q.Request)
	bytes := sizeOf(a)
	w.sent += bytes
	took := w.trip + time.Duration(bytes)*time.Second/time.Duration(w.rate)
	if took > q.Timeout || w.loss > 0 && rapid.IntRange(1, w.loss).Draw(w.t, "lost") == 1 {
		w.fail(q)
		return
	}
	w.now = w.now.Add(took)
	// A failure is a source that has forgotten the version: the next one to tell is asked.
	_ = w.transfer.HandleResponse(w.now, q, a)
	w.adopt()
}

func (w *world) fail(q *Fetch) {
	w.now = w.now.Add(q.Timeout)
	w.transfer.HandleFailure(w.now, q)
}

func sizeOf(a *Response) int {
	size := 50
	for _, p := range a.Packed {
		size += len(p)
	}
	if a.Manifest != nil {
		size += len(a.Manifest.Digests) * len(Digest{})
	}
	return size
}

func (w *world) adopt() {
	if !w.transfer.Complete() {
		return
	}
	root := w.transfer.Current()
	m, got := w.transfer.Finish(w.now)
	text, all := m.Join(got, w.got)
	w.got = all
	version := 1
	for w.told[version-1] != root {
		version++
	}
	if version <= w.version {
		w.t.Fatalf("version %d is in force after %d", version, w.version)
	}
	w.version = version
	if !bytes.Equal(text, w.texts[version-1]) {
		w.t.Fatalf("version %d is not what was made", version)
	}
}

// Whatever the link carries, whatever is lost, whoever restarts and however fast versions
// follow each other, the newest version arrives once no newer one comes, no older one is put
// in force after it, and what has come of a version is not asked for again.
func TestNewestVersionArrivesInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		names := numbered(rapid.IntRange(1, 900).Draw(t, "elements"), 7)
		w.publish(names)
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			for range rapid.IntRange(0, 6).Draw(t, "steps") {
				w.tell()
				w.step()
			}
			k := rapid.IntRange(0, len(w.sources)-1).Draw(t, "source")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				w.down[k] = len(w.sources) > 1 && !w.down[k]
			case 1:
				*w.sources[k] = Holder{}
			default:
				names = append([]string{}, names...)
				names[rapid.IntRange(0, len(names)-1).Draw(t, "at")] = fmt.Sprintf("changed %d", len(w.told))
				w.publish(names)
			}
		}
		for k := range w.down {
			w.down[k] = false
		}
		w.publish(append([]string{"last"}, names...))
		d := cut(t, append([]string{"last"}, names...)).Pack()
		whole := 0
		for _, p := range d.Packed {
			whole += len(p)
		}
		begun, failed, sent := w.now, w.transfer.Stats().FailedFetches, w.sent
		for w.version < len(w.told) {
			w.tell()
			w.step()
			if w.now.Sub(begun) > time.Hour {
				left, _, _ := w.transfer.Remaining()
				t.Fatalf("version %d of %d, %d pieces left after an hour", w.version, len(w.told), left)
			}
		}
		failures := int(w.transfer.Stats().FailedFetches - failed)
		// Each piece once, a manifest for each try of it, and what failed questions brought.
		most := whole + (failures+2)*(mostAsk+len(d.Manifest.Digests)*len(Digest{})+100) + len(d.Packed)*100
		if got := w.sent - sent; got > most {
			t.Fatalf("%d bytes were sent for %d, with %d failures", got, whole, failures)
		}
	})
}

// Versions follow each other every 100 ms while a manifest and a piece take 160 ms each, as
// from another region. Each one used to end the transfer of the one before, and none was ever
// in force until the last had come.
func TestVersionsInSeriesComeIntoForceMeanwhile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.rate, w.loss, w.trip = 1<<20, 0, 160*time.Millisecond
		names := numbered(400, 3)
		w.publish(names)
		for w.version == 0 {
			w.tell()
			w.step()
		}
		end, last := w.now.Add(10*time.Second), w.now
		next := w.now
		for w.now.Before(end) {
			if !w.now.Before(next) {
				names = append([]string{}, names...)
				names[rapid.IntRange(0, len(names)-1).Draw(t, "at")] = fmt.Sprint("changed ", len(w.told))
				w.publish(names)
				next = w.now.Add(100 * time.Millisecond)
			}
			before := w.version
			w.tell()
			w.step()
			if w.version > before {
				last = w.now
			}
			if w.now.Sub(last) > 2*time.Second {
				t.Fatalf("version %d of %d is in force since %v", w.version, len(w.told), w.now.Sub(last))
			}
		}
	})
}

// Answers that are wrong change nothing, and the next source is asked.
func TestWrongAnswersAreLeftOut(t *testing.T) {
	now := time.Unix(1000, 0)
	d, other := cut(t, numbered(300, 1)).Pack(), cut(t, numbered(300, 2)).Pack()
	root := d.Manifest.Root()
	tr := NewTransfer(func(Digest) bool { return false })
	tr.HandleAnnouncement(now, root, "a")
	tr.HandleAnnouncement(now, root, "b")
	var good Holder
	good.Put(root, d)
	ask := func() *Fetch {
		for {
			q, wait := tr.NextFetch(now)
			if q != nil {
				return q
			}
			now = now.Add(wait)
		}
	}
	for name, wrong := range map[string]*Response{
		"another manifest": {Manifest: &other.Manifest}, "none": {},
		"one that cannot be": {Manifest: &Manifest{Head: 3}},
	} {
		q := ask()
		if tr.HandleResponse(now, q, wrong) == nil {
			t.Error(name)
		}
		if next := ask(); next.To == q.To {
			t.Errorf("%s: %s is asked again", name, q.To)
		}
	}
	q := ask()
	if err := tr.HandleResponse(now, q, good.Respond(&q.Request)); err != nil {
		t.Fatal(err)
	}
	before, _, _ := tr.Remaining()
	for name, wrong := range map[string]*Response{
		"another piece": {Packed: [][]byte{other.Packed[3]}}, "damaged": {Packed: [][]byte{{1, 2, 3}}}, "none": {},
	} {
		if tr.HandleResponse(now, ask(), wrong) == nil {
			t.Error(name)
		}
	}
	if left, _, _ := tr.Remaining(); left != before {
		t.Errorf("%d pieces are left of %d", left, before)
	}
	for !tr.Complete() {
		q := ask()
		if err := tr.HandleResponse(now, q, good.Respond(&q.Request)); err != nil {
			t.Fatal(err)
		}
	}
}

// The only source of a document has forgotten it, as newer ones have come, and has told of the
// newest. It is asked for that at once, and not left out for what it does not have any more.
func TestSourceOfAForgottenDocumentIsAskedForTheNext(t *testing.T) {
	now := time.Unix(1000, 0)
	old, newest := cut(t, numbered(50, 1)).Pack().Manifest.Root(), cut(t, numbered(50, 2)).Pack().Manifest.Root()
	for failures := range giveUpAfter + 1 {
		tr := NewTransfer(func(Digest) bool { return false })
		tr.HandleAnnouncement(now, old, "a")
		for range failures {
			q, wait := tr.NextFetch(now)
			for ; q == nil; q, wait = tr.NextFetch(now) {
				now = now.Add(wait)
			}
			tr.HandleFailure(now, q)
		}
		q, wait := tr.NextFetch(now)
		for ; q == nil; q, wait = tr.NextFetch(now) {
			now = now.Add(wait)
		}
		tr.HandleAnnouncement(now, newest, "a")
		_ = tr.HandleResponse(now, q, &Response{Unknown: true})
		next, wait := tr.NextFetch(now)
		for ; next == nil && wait >= 0; next, wait = tr.NextFetch(now) {
			now = now.Add(wait)
		}
		if next == nil || next.To != "a" || next.Request.Root != newest {
			t.Errorf("after %d failures: %+v", failures, next)
		}
	}
}
