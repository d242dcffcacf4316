package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// Guards against an instance that restarts and never has a bundle in force again. Over a link
// of 32 to 256 KB a second, an answer takes longer than the pull's timeout of a second. Without
// keeping the received sections the instance starts over with another peer, and the answers to
// earlier pulls saturate its link.
func TestWholeCopyArrivesOverSlowLinks(t *testing.T) {
	for _, rate := range []int{32 << 10, 128 << 10, 256 << 10, 1 << 20} {
		t.Run(fmt.Sprintf("%d KB a second", rate>>10), func(t *testing.T) {
			t.Parallel()
			testWholeCopyAt(t, rate)
		})
	}
}

func testWholeCopyAt(t *testing.T, rate int) {
	w := newWorld(11, 3, 3, 3)
	base := bundletest.Large(bundletest.Size{Workspaces: 10_000, Targets: 50, Models: 36, Regions: 11, Zones: 40})
	w.accept(base, changeNote)
	w.run(w.now.Add(60*time.Second), func() bool { return w.behind() == 0 })
	if n := w.behind(); n > 0 {
		t.Fatalf("%d behind at the start", n)
	}
	const slow = "r01-02"
	manifest, sections, err := bundle.Split(&w.accepted[0].Bundle)
	if err != nil {
		t.Fatal(err)
	}
	whole := 0
	for _, data := range sections {
		whole += len(data)
	}
	w.start(w.peer(slow))
	w.rates[slow], w.received[slow] = rate, 0
	// New versions are accepted meanwhile.
	started := w.now
	needed := time.Duration(whole) * time.Second / time.Duration(rate)
	for range 3 {
		w.run(w.now.Add(needed/4), func() bool { return w.behind() == 0 })
		w.accept(nil, func(b *bundle.Bundle) { b.Workspaces[7].Limits.RequestsPerSecond++ })
	}
	w.run(w.now.Add(5*needed+20*time.Second), func() bool { return w.behind() == 0 })
	if n := w.behind(); n > 0 {
		t.Fatalf("version %d at %s, %d instances behind after %v; %d bytes came, %d are a copy of %d sections",
			w.installed[slow], slow, n, w.now.Sub(started), w.received[slow], whole, len(manifest.Sections))
	}
	if got := w.received[slow]; got > 2*whole {
		t.Errorf("%d bytes came for a copy of %d", got, whole)
	}
}

func (w *world) peer(id string) Peer {
	for _, p := range w.peers {
		if p.ID == id {
			return p
		}
	}
	panic("no instance " + id)
}
