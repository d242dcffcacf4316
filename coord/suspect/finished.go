package suspect

import (
	"math/bits"
	"time"
)

// finished remembers when requests finished, by digest, in two halves: when the newer one
// is full the older one is dropped, so at least the newest MaxFinished digests are kept.
//
// Without it, a request that many callers send at once and that is in flight at two targets
// which crash within seconds for other reasons is refused everywhere from then on. As no
// copy of it runs any more, none can clear it by finishing.
type finished struct {
	newer, older map[Digest]finish
}

// finish is the last time that a request with a digest finished, and how often one has. excused is the
// last round of crashes that the finishes excused, and spent the number of rounds since the last finish.
type finish struct {
	at      time.Time
	count   uint32
	excused uint32
	spent   int
}

func (f *finished) add(now time.Time, d Digest, maxNewer int) {
	last, _ := f.last(d)
	last.at, last.count, last.spent = now, last.count+1, 0
	f.set(d, last, maxNewer)
}

func (f *finished) set(d Digest, v finish, maxNewer int) {
	if len(f.newer) >= maxNewer {
		f.older, f.newer = f.newer, nil
	}
	if f.newer == nil {
		f.newer = make(map[Digest]finish)
	}
	f.newer[d] = v
}

// last returns the last finish of a request with the digest; false if that is not known.
func (f *finished) last(d Digest) (finish, bool) {
	if v, ok := f.newer[d]; ok {
		return v, true
	}
	v, ok := f.older[d]
	return v, ok
}

// excusable returns the number of rounds that finishes excuse: one more for each eightfold number of them,
// and none for fewer than eight. A part of most requests is in the crashes of all others, and hardly
// becomes deadly after hundreds of finishes; one that seldom finishes may.
func (f finish) excusable() int {
	const bitsPerRound, most = 3, 4
	return min(most, (bits.Len32(f.count)-1)/bitsPerRound)
}

// excuses reports whether a suspect is innocent because a request with its digest finished here
// within FinishedTTL. If the host reports rounds, finishes excuse a few rounds until the next one: a
// digest that now and then finishes is refused if it crashes targets more often.
func (t *Table) excuses(now time.Time, e Entry) bool {
	last, ok := t.finished.last(e.Digest)
	switch {
	case !ok || now.Sub(last.at) >= t.cfg.FinishedTTL:
		return false
	case e.Round <= last.excused:
		return true
	case last.spent >= last.excusable():
		return false
	}
	last.excused = e.Round
	last.spent++
	t.finished.set(e.Digest, last, t.cfg.MaxFinished)
	return true
}
