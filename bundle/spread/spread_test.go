package spread

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
	_ "github.com/gullhaven/gullhaven/coord/fixedseed"
)

// Guards against an instance that goes back to an older bundle, has one that was
// never accepted, or stays behind after the network has healed. Messages are lost,
// duplicated and reordered, instances restart without a bundle, regions are
// partitioned while others accept, and voters lag. It happens by installing the
// version of a lagging peer, by a step on the wrong base, or if nothing repairs
// the lost messages of the tree.
func TestVersionsOnlyRiseAndAllCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 5).Draw(t, "per region"), 2)
		t.Repeat(map[string]func(*rapid.T){
			"accept":  func(t *rapid.T) { w.accept(bundletest.Sample(), changeNote) },
			"step":    func(t *rapid.T) { w.reorder(t) },
			"tick":    func(t *rapid.T) { w.now = w.now.Add(TickInterval); w.tick() },
			"restart": func(t *rapid.T) { w.start(rapid.SampledFrom(w.peers).Draw(t, "instance")) },
			"cut":     func(t *rapid.T) { w.isolated[rapid.SampledFrom(w.peers).Draw(t, "of").Region] = true },
			"heal":    func(t *rapid.T) { clear(w.isolated) },
			"":        func(t *rapid.T) { w.check(t) },
		})
		clear(w.isolated)
		w.inbox = nil // The last pushes may all be lost.
		w.catchUpVoters()
		w.run(w.now.Add(30*time.Second), func() bool { return w.behind() == 0 })
		w.check(t)
		if n := w.behind(); n > 0 {
			t.Fatalf("%d instances are behind 30 s after the network healed", n)
		}
	})
}

// catchUpVoters delivers the replicated log's last entry to all voters.
func (w *world) catchUpVoters() {
	for _, p := range w.peers {
		if p.Voter && len(w.accepted) > 0 {
			w.offer(p.ID)
		}
	}
}

func changeNote(b *bundle.Bundle) { b.Note = fmt.Sprint("change ", b.Version) }

// reorder delivers, loses or duplicates any message in flight.
func (w *world) reorder(t *rapid.T) {
	if len(w.inbox) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inbox)-1).Draw(t, "message")
	f := w.inbox[i]
	fate := rapid.SampledFrom([]string{"deliver", "deliver", "lose", "double"}).Draw(t, "fate")
	if fate != "double" {
		w.inbox = append(w.inbox[:i:i], w.inbox[i+1:]...)
	}
	if fate != "lose" {
		w.deliver(f)
	}
}

func (w *world) check(t *rapid.T) {
	if w.failure != "" {
		t.Fatal(w.failure)
	}
}

// Guards against a change that is reported as in force although one instance
// lacks it, as nothing reaches it. It happens if members count that have not
// reported their version.
func TestOneInstanceBehindIsNamed(t *testing.T) {
	w := newWorld(5, 2, 4, 1)
	w.accept(bundletest.Sample(), changeNote)
	w.run(w.now.Add(10*time.Second), func() bool { return w.behind() == 0 })
	w.isolated["r01-03"] = true
	w.accept(nil, changeNote)
	w.run(w.now.Add(10*time.Second), func() bool { return false })
	state := w.cores["r00-00"].Regions(w.now)[1]
	if state.InForce != 3 || len(state.Behind) != 1 {
		t.Fatalf("%+v", state)
	}
	if b := state.Behind[0]; b.Instance != "r01-03" || b.Version != 1 || b.Since.IsZero() {
		t.Errorf("behind: %+v", b)
	}
}

// Guards against an instance that runs a bundle that its operators did not sign. A
// peer sends a step with forged content and genuine sign-offs of another one; it
// must not be trusted for what only operators may decide.
func TestForgedStepsAreRefused(t *testing.T) {
	w := newWorld(1, 1, 3, 1)
	w.accept(bundletest.Sample(), changeNote)
	w.run(w.now.Add(10*time.Second), func() bool { return w.behind() == 0 })
	first := w.accepted[0].Bundle
	forged := first
	forged.Version, forged.Parent, forged.SignOffs = 2, w.cores["r00-02"].Head().Digest, 1
	delta, err := bundle.DeltaOf(&first, &forged)
	if err != nil {
		t.Fatal(err)
	}
	data, err := delta.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	id, err := forged.Identity()
	if err != nil {
		t.Fatal(err)
	}
	for name, signatures := range map[string][]bundle.Signature{
		"none":         nil,
		"of the first": w.accepted[0].Signatures,
		"too few":      bundletest.Sign(&forged, "ayu").Signatures,
		"of strangers": bundletest.Sign(&forged, "ayu", "mallory").Signatures,
	} {
		c := w.cores["r00-02"]
		c.Step(w.now, "r00-01", Message{Kind: KindSteps, Head: id, Steps: []Step{{ID: id, Signatures: signatures, Delta: data}}})
		if c.Head().Version != 1 {
			t.Errorf("%s: version %d is in force", name, c.Head().Version)
		}
	}
}

// Guards against a status that reports a change as in force while a partitioned
// region lacks it, or that names no instance behind. It happens if an accepted
// version counts as in force.
func TestRegionsReportWhoIsBehind(t *testing.T) {
	w := newWorld(3, 3, 3, 2)
	w.accept(bundletest.Sample(), changeNote)
	w.run(w.now.Add(10*time.Second), func() bool { return false })
	w.isolated["r02"] = true
	w.accept(nil, changeNote)
	w.run(w.now.Add(10*time.Second), func() bool { return false })
	want := map[string]uint64{"r00": 2, "r01": 2, "r02": 1}
	for _, s := range w.cores["r00-00"].Regions(w.now) {
		if s.Newest.Version != want[s.Region] || s.InForce != 3 || s.Members != 3 || len(s.Behind) != 0 {
			t.Errorf("cut off: %+v", s)
		}
		delete(want, s.Region)
	}
	if len(want) != 0 {
		t.Errorf("no state of %v", want)
	}
	clear(w.isolated)
	w.run(w.now.Add(20*time.Second), func() bool { return false })
	for _, s := range w.cores["r00-00"].Regions(w.now) {
		if s.Newest.Version != 2 || s.InForce != 3 {
			t.Errorf("healed: %+v", s)
		}
	}
}

// Guards against a change that is in force everywhere within milliseconds but
// reported five seconds later. A relay reports its region twice within a second,
// first with members behind, then without; if the encoding truncates times to
// seconds, the second state is no newer and is dropped.
func TestInForceIsReportedWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, 3, 3, 3)
		w.accept(bundletest.Sample(), changeNote)
		w.run(w.now.Add(10*time.Second), func() bool { return false })
		w.accept(nil, changeNote)
		w.run(w.now.Add(10*time.Second), func() bool { return w.behind() == 0 })
		w.run(w.now.Add(time.Second), func() bool { return false })
		for _, s := range w.cores["r00-00"].Regions(w.now) {
			if s.Newest.Version != 2 || len(s.Behind) != 0 {
				t.Errorf("seed %d: %+v", seed, s)
			}
		}
	}
}

// TestCostAtSize prints the time until one change is in force and its bytes. It
// must take at most 4 s, and 8 KB/s for an instance.
func TestCostAtSize(t *testing.T) {
	for _, size := range []struct{ regions, perRegion int }{{3, 1}, {3, 3}, {5, 6}, {9, 10}, {11, 33}} {
		w := newWorld(7, size.regions, size.perRegion, min(5, size.regions))
		base := bundletest.Large(bundletest.Size{Workspaces: 200, Targets: 50, Models: 36, Regions: 11, Zones: 40})
		w.accept(base, changeNote)
		w.run(w.now.Add(60*time.Second), func() bool { return w.behind() == 0 })
		if w.behind() > 0 {
			t.Fatalf("%d behind after a whole copy", w.behind())
		}
		start, bytes, messages := w.now, w.bytes, w.messages
		w.accept(nil, func(b *bundle.Bundle) { b.Workspaces[7].Limits.RequestsPerSecond++ })
		w.run(w.now.Add(10*time.Second), func() bool { return w.behind() == 0 })
		inForce := w.now.Sub(start)
		w.run(start.Add(60*time.Second), func() bool { return false })
		n := len(w.peers)
		t.Logf("%3d instances: in force in %v; %d messages and %d bytes each in 60 s with one change",
			n, inForce, (w.messages-messages)/n, (w.bytes-bytes)/n)
		if inForce > 4*time.Second || (w.bytes-bytes)/n/60 > 8000 {
			t.Errorf("%d instances: %v, %d bytes/s", n, inForce, (w.bytes-bytes)/n/60)
		}
	}
}
