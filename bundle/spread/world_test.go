package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/bundle/bundletest"
)

// world simulates a set of instances, the accepted bundles and the messages between
// instances, in virtual time.
type world struct {
	now       time.Time
	rng       *rand.Rand
	peers     []Peer
	cores     map[string]*Core
	installed map[string]uint64
	accepted  []*bundle.Signed
	inbox     []flight
	// isolated holds regions that others can't reach, and instances that nothing reaches.
	isolated map[string]bool
	messages int
	bytes    int
	failure  string
	// rates are the bytes a second that the links to some instances carry, and freeAt is when
	// everything sent to them is transmitted. Transmission to others takes no time.
	rates  map[string]int
	freeAt map[string]time.Time
	// received counts the bytes sent to each instance.
	received map[string]int
}

type flight struct {
	at       time.Time
	from, to string
	data     []byte
}

func newWorld(seed uint64, regions, perRegion, voters int) *world {
	w := &world{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), isolated: map[string]bool{},
		cores: map[string]*Core{}, installed: map[string]uint64{}, rates: map[string]int{}, freeAt: map[string]time.Time{},
		received: map[string]int{},
	}
	for r := range regions {
		for i := range perRegion {
			w.peers = append(w.peers, Peer{
				ID: fmt.Sprintf("r%02d-%02d", r, i), Region: fmt.Sprintf("r%02d", r),
				Relay: i < 2, Voter: i == 0 && r < voters,
			})
		}
	}
	for _, p := range w.peers {
		w.start(p)
	}
	return w
}

// start starts or restarts an instance without a bundle.
func (w *world) start(p Peer) {
	c := New(p, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	var view []Peer
	for _, other := range w.peers {
		if other.Region == p.Region || other.Relay || other.Voter {
			view = append(view, other)
		}
	}
	c.SetPeers(view)
	w.cores[p.ID] = c
	w.installed[p.ID] = 0
}

// accept makes the next bundle by applying change to the last one, or to base if there is
// none, and offers it to all voters that aren't isolated.
func (w *world) accept(base *bundle.Bundle, change func(*bundle.Bundle)) {
	var next bundle.Bundle
	if base != nil {
		next = *base
	}
	if n := len(w.accepted); n > 0 {
		last := w.accepted[n-1]
		next = last.Bundle
		id, err := last.Bundle.Identity()
		if err != nil {
			panic(err)
		}
		next.Version, next.Parent = id.Version+1, id.Digest
	}
	next.Workspaces = append([]bundle.Workspace(nil), next.Workspaces...)
	change(&next)
	w.accepted = append(w.accepted, bundletest.Sign(&next, "ayu", "budi"))
	for _, p := range w.peers {
		if p.Voter && !w.isolated[p.Region] {
			w.offer(p.ID)
		}
	}
}

func (w *world) offer(id string) {
	out, err := w.cores[id].Offer(w.now, w.accepted[len(w.accepted)-1])
	if err != nil {
		panic(err)
	}
	w.handleOutput(id, out)
}

// handleOutput sends the messages that a call of a Core returned and checks what it installed.
func (w *world) handleOutput(id string, out []Out) {
	if s := w.cores[id].TakeInstalled(); s != nil {
		w.checkInstalled(id, s)
	}
	for _, o := range out {
		data, err := Encode(o.Message)
		if err != nil {
			panic(err)
		}
		w.messages++
		w.bytes += len(data)
		w.received[o.To] += len(data)
		w.inbox = append(w.inbox, flight{at: w.transmittedAt(o.To, len(data)).Add(w.delay(id, o.To)), from: id, to: o.To, data: data})
	}
}

// transmittedAt returns when bytes that are sent now have passed the link to an instance.
func (w *world) transmittedAt(to string, bytes int) time.Time {
	rate := w.rates[to]
	if rate == 0 {
		return w.now
	}
	begin := w.now
	if w.freeAt[to].After(begin) {
		begin = w.freeAt[to]
	}
	w.freeAt[to] = begin.Add(time.Duration(bytes) * time.Second / time.Duration(rate))
	return w.freeAt[to]
}

// checkInstalled records a failure for a version that goes back or was never accepted.
func (w *world) checkInstalled(id string, s *bundle.Signed) {
	if s.Bundle.Version <= w.installed[id] {
		w.failure = fmt.Sprintf("%s went from version %d to %d", id, w.installed[id], s.Bundle.Version)
	}
	w.installed[id] = s.Bundle.Version
	got, err := s.Bundle.Digest()
	if err != nil {
		panic(err)
	}
	want, err := w.accepted[s.Bundle.Version-1].Bundle.Digest()
	if err != nil || got != want {
		w.failure = fmt.Sprintf("%s has other content in version %d", id, s.Bundle.Version)
	}
}

func (w *world) region(id string) string { return id[:3] }

// delay returns half a millisecond within a region and 80 ms between two.
func (w *world) delay(from, to string) time.Duration {
	if w.region(from) == w.region(to) {
		return 500 * time.Microsecond
	}
	return 80 * time.Millisecond
}

// deliver delivers one message unless its sender or receiver is isolated.
func (w *world) deliver(f flight) {
	crosses := w.region(f.from) != w.region(f.to)
	if w.isolated[f.to] || crosses && (w.isolated[w.region(f.from)] || w.isolated[w.region(f.to)]) {
		return
	}
	m, err := Decode(f.data)
	if err != nil {
		panic(err)
	}
	w.handleOutput(f.to, w.cores[f.to].Step(w.now, f.from, m))
}

// run delivers messages in the order of time until done returns true or end is reached.
func (w *world) run(end time.Time, done func() bool) {
	nextTick := w.now.Add(TickInterval)
	for w.now.Before(end) && !done() {
		i := w.earliest()
		if i < 0 || w.inbox[i].at.After(nextTick) {
			w.now = nextTick
			nextTick = w.now.Add(TickInterval)
			w.tick()
			continue
		}
		f := w.inbox[i]
		w.inbox[i] = w.inbox[len(w.inbox)-1]
		w.inbox = w.inbox[:len(w.inbox)-1]
		w.now = f.at
		w.deliver(f)
	}
}

func (w *world) earliest() int {
	best := -1
	for i, f := range w.inbox {
		if best < 0 || f.at.Before(w.inbox[best].at) {
			best = i
		}
	}
	return best
}

func (w *world) tick() {
	for _, p := range w.peers {
		w.handleOutput(p.ID, w.cores[p.ID].Tick(w.now))
	}
}

// behind returns the number of instances without the newest accepted version.
func (w *world) behind() int {
	n := 0
	for _, p := range w.peers {
		if w.installed[p.ID] != uint64(len(w.accepted)) {
			n++
		}
	}
	return n
}
