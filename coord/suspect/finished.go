package suspect

import "time"

// finished remembers when digests finished, the newest at least: in two halves, of which the
// older one is dropped when the newer one is full.
//
// What goes wrong without it: a request that many callers send at once is in flight at two
// targets that crash within seconds for other reasons, and is refused everywhere from then on.
// As no copy of it runs any more, none can clear it by finishing.
type finished struct {
	newer, older map[Digest]time.Time
}

func (f *finished) add(now time.Time, d Digest, most int) {
	if len(f.newer) >= most {
		f.older, f.newer = f.newer, nil
	}
	if f.newer == nil {
		f.newer = make(map[Digest]time.Time)
	}
	f.newer[d] = now
}

// at returns when a digest finished last.
func (f *finished) at(d Digest) (time.Time, bool) {
	if at, ok := f.newer[d]; ok {
		return at, true
	}
	at, ok := f.older[d]
	return at, ok
}

// finishedLately reports whether a digest finished here within FinishedTTL.
func (t *Table) finishedLately(now time.Time, d Digest) bool {
	at, ok := t.finished.at(d)
	return ok && now.Sub(at) < t.cfg.FinishedTTL
}
