package pieces

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation is one receiver behind a link, in virtual time. Sources get versions one by one,
// are down for a while and lose all documents at a restart, and responses are lost.
type simulation struct {
	t       *rapid.T
	now     time.Time
	rate    int // bytes a second that the link leaves to the transfer
	latency time.Duration
	loss    int // one response in so many is lost; 0 for none

	sources  []*Holder
	down     []bool
	transfer *Transfer
	// held are the pieces that the receiver holds, version is the one in force; 0 for none.
	held    map[Digest][]byte
	version int
	// roots and texts are the published versions.
	roots []Digest
	texts [][]byte
	// sent counts the bytes sent over the link, useful or not.
	sent int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1000, 0), held: map[Digest][]byte{},
		rate:    rapid.SampledFrom([]int{4 << 10, 40 << 10, 1 << 20}).Draw(t, "rate"),
		latency: time.Duration(rapid.IntRange(1, 200).Draw(t, "trip")) * time.Millisecond,
		loss:    rapid.SampledFrom([]int{0, 3, 20}).Draw(t, "loss"),
	}
	for range rapid.IntRange(1, 4).Draw(t, "sources") {
		sim.sources, sim.down = append(sim.sources, &Holder{}), append(sim.down, false)
	}
	sim.transfer = NewTransfer(func(d Digest) bool { return sim.held[d] != nil })
	return sim
}

// publish adds a version that the sources which are up have at once.
func (sim *simulation) publish(names []string) {
	s := cut(sim.t, names)
	d := s.Pack()
	root := d.Manifest.Root()
	text, _ := elements(names)
	sim.roots, sim.texts = append(sim.roots, root), append(sim.texts, text)
	for k, h := range sim.sources {
		if !sim.down[k] {
			h.Put(root, d)
		}
	}
}

// announce announces the newest version to the receiver for each source that has it.
func (sim *simulation) announce() {
	root := sim.roots[len(sim.roots)-1]
	if sim.version == len(sim.roots) {
		return
	}
	for k, h := range sim.sources {
		if !sim.down[k] && !h.Respond(&Request{Root: root}).Unknown {
			sim.transfer.HandleAnnouncement(sim.now, root, fmt.Sprint(k))
		}
	}
}

// step makes one fetch, or waits.
func (sim *simulation) step() {
	q, wait := sim.transfer.NextFetch(sim.now)
	if q == nil {
		sim.now = sim.now.Add(max(wait, 50*time.Millisecond))
		return
	}
	var k int
	_, _ = fmt.Sscan(q.To, &k)
	if sim.down[k] {
		sim.fail(q)
		return
	}
	a := sim.sources[k].Respond(&q.Request)
	bytes := sizeOf(a)
	sim.sent += bytes
	took := sim.latency + time.Duration(bytes)*time.Second/time.Duration(sim.rate)
	if took > q.Timeout || sim.loss > 0 && rapid.IntRange(1, sim.loss).Draw(sim.t, "lost") == 1 {
		sim.fail(q)
		return
	}
	sim.now = sim.now.Add(took)
	// An error means that the source has dropped the version: another source is tried.
	_ = sim.transfer.HandleResponse(sim.now, q, a)
	sim.install()
}

func (sim *simulation) fail(q *Fetch) {
	sim.now = sim.now.Add(q.Timeout)
	sim.transfer.HandleFailure(sim.now, q)
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

func (sim *simulation) install() {
	if !sim.transfer.Complete() {
		return
	}
	root := sim.transfer.Current()
	m, got := sim.transfer.Finish(sim.now)
	text, all := m.Join(got, sim.held)
	sim.held = all
	version := 1
	for sim.roots[version-1] != root {
		version++
	}
	if version <= sim.version {
		sim.t.Fatalf("version %d is in force after %d", version, sim.version)
	}
	sim.version = version
	if !bytes.Equal(text, sim.texts[version-1]) {
		sim.t.Fatalf("version %d is not what was published", version)
	}
}

// Guards against a newest version that never arrives, an older version that is put in force
// after a newer one, and received pieces that are requested again, whatever the rate of the
// link, lost responses, restarts of sources and rate of new versions.
func TestNewestVersionArrivesInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		names := numbered(rapid.IntRange(1, 900).Draw(t, "elements"), 7)
		sim.publish(names)
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			for range rapid.IntRange(0, 6).Draw(t, "steps") {
				sim.announce()
				sim.step()
			}
			k := rapid.IntRange(0, len(sim.sources)-1).Draw(t, "source")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				sim.down[k] = len(sim.sources) > 1 && !sim.down[k]
			case 1:
				*sim.sources[k] = Holder{}
			default:
				names = append([]string{}, names...)
				names[rapid.IntRange(0, len(names)-1).Draw(t, "at")] = fmt.Sprintf("changed %d", len(sim.roots))
				sim.publish(names)
			}
		}
		for k := range sim.down {
			sim.down[k] = false
		}
		sim.publish(append([]string{"last"}, names...))
		d := cut(t, append([]string{"last"}, names...)).Pack()
		whole := 0
		for _, p := range d.Packed {
			whole += len(p)
		}
		begun, failed, sent := sim.now, sim.transfer.Stats().FailedFetches, sim.sent
		for sim.version < len(sim.roots) {
			sim.announce()
			sim.step()
			if sim.now.Sub(begun) > time.Hour {
				left, _, _ := sim.transfer.Remaining()
				t.Fatalf("version %d of %d, %d pieces left after an hour", sim.version, len(sim.roots), left)
			}
		}
		failures := int(sim.transfer.Stats().FailedFetches - failed)
		// Each piece once, the manifests, and the responses of failed fetches.
		most := whole + (failures+2)*(maxRequestBytes+len(d.Manifest.Digests)*len(Digest{})+100) + len(d.Packed)*100
		if got := sim.sent - sent; got > most {
			t.Fatalf("%d bytes were sent for %d, with %d failures", got, whole, failures)
		}
	})
}

// Guards against a series of versions of which none is in force until the last
// has arrived, if each one aborts the transfer of the one before: they follow
// every 100 ms while a manifest and a piece take 160 ms each, as from another
// region.
func TestRapidVersionsAreInstalledMeanwhile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.rate, sim.loss, sim.latency = 1<<20, 0, 160*time.Millisecond
		names := numbered(400, 3)
		sim.publish(names)
		for sim.version == 0 {
			sim.announce()
			sim.step()
		}
		end, last := sim.now.Add(10*time.Second), sim.now
		next := sim.now
		for sim.now.Before(end) {
			if !sim.now.Before(next) {
				names = append([]string{}, names...)
				names[rapid.IntRange(0, len(names)-1).Draw(t, "at")] = fmt.Sprint("changed ", len(sim.roots))
				sim.publish(names)
				next = sim.now.Add(100 * time.Millisecond)
			}
			before := sim.version
			sim.announce()
			sim.step()
			if sim.version > before {
				last = sim.now
			}
			if sim.now.Sub(last) > 2*time.Second {
				t.Fatalf("version %d of %d is in force since %v", sim.version, len(sim.roots), sim.now.Sub(last))
			}
		}
	})
}

// Guards against wrong responses that change the state of a transfer, and against requests
// that are sent to the same source again although there is another.
func TestWrongResponsesAreIgnored(t *testing.T) {
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
			t.Errorf("%s: %s gets the next request too", name, q.To)
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

// Guards against a transfer that stops when the only source of a document has dropped it for
// newer ones and has announced the newest: the source must get the request for that one at
// once, and not be excluded for lacking the old one.
func TestSourceThatDroppedADocumentIsAskedForTheNewest(t *testing.T) {
	now := time.Unix(1000, 0)
	old, newest := cut(t, numbered(50, 1)).Pack().Manifest.Root(), cut(t, numbered(50, 2)).Pack().Manifest.Root()
	for failures := range abandonAfterFailures + 1 {
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

// Guards against a request that changes while it is sent: pieces that arrive meanwhile are removed
// from those that are missing.
func TestFetchKeepsItsPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		var names []string
		for n := range 200 {
			names = append(names, fmt.Sprint("name ", n))
		}
		sim.publish(names)
		sim.announce()
		var fetch *Fetch
		for fetch == nil || len(fetch.Request.Pieces) < 2 {
			if sim.transfer.Complete() {
				t.Skip("a document of less than two pieces")
			}
			if f, wait := sim.transfer.NextFetch(sim.now); f != nil {
				fetch = f
			} else {
				sim.now = sim.now.Add(max(wait, time.Millisecond))
				continue
			}
			if len(fetch.Request.Pieces) < 2 {
				_ = sim.transfer.HandleResponse(sim.now, fetch, sim.sources[0].Respond(&fetch.Request))
			}
		}
		before := slices.Clone(fetch.Request.Pieces)
		first := Request{Root: fetch.Request.Root, Pieces: before[:1], MaxBytes: 1 << 20}
		if err := sim.transfer.HandleResponse(sim.now, &Fetch{To: fetch.To, Request: first}, sim.sources[0].Respond(&first)); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(before, fetch.Request.Pieces) {
			t.Fatal("the pieces of a fetch have changed")
		}
	})
}

// Guards against a version that comes into force many seconds late: sources whose connections live do not answer,
// and each doubles the time that the next one gets, though another one has the document.
func TestSourceThatDoesNotAnswerHoldsUpNoOther(t *testing.T) {
	sources := []string{"a", "b", "c"}
	tr := NewTransfer(func(Digest) bool { return false })
	now := time.Unix(1, 0)
	for _, s := range sources {
		tr.HandleAnnouncement(now, Digest{1}, s)
	}
	for round := range 4 {
		var asked []string
		for range sources {
			f, wait := tr.NextFetch(now)
			if f == nil {
				now = now.Add(wait)
				f, _ = tr.NextFetch(now)
			}
			if want := minResponseTimeout << round; f.Timeout != want {
				t.Errorf("round %d: %s has %v, %v expected", round, f.To, f.Timeout, want)
			}
			asked, now = append(asked, f.To), now.Add(f.Timeout)
			tr.HandleFailure(now, f)
		}
		if !slices.Equal(asked, sources) {
			t.Errorf("round %d: asked %v", round, asked)
		}
	}
}
