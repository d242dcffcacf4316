package suspect

import "time"

// finished remembers when requests finished, by digest, in two halves: when the newer one
// is full the older one is dropped, so at least the newest MaxFinished digests are kept.
//
// Without it, a request that many callers send at once and that is in flight at two targets
// which crash within seconds for other reasons is refused everywhere from then on. As no
// copy of it runs any more, none can clear it by finishing.
type finished struct {
	newer, older map[Digest]time.Time
}

func (f *finished) add(now time.Time, d Digest, maxNewer int) {
	if len(f.newer) >= maxNewer {
		f.older, f.newer = f.newer, nil
	}
	if f.newer == nil {
		f.newer = make(map[Digest]time.Time)
	}
	f.newer[d] = now
}

// lastFinishedAt returns when a request with the digest last finished; false if that is
// not known.
func (f *finished) lastFinishedAt(d Digest) (time.Time, bool) {
	if at, ok := f.newer[d]; ok {
		return at, true
	}
	at, ok := f.older[d]
	return at, ok
}

// finishedRecently reports whether a request with the digest finished here within
// FinishedTTL.
func (t *Table) finishedRecently(now time.Time, d Digest) bool {
	at, ok := t.finished.lastFinishedAt(d)
	return ok && now.Sub(at) < t.cfg.FinishedTTL
}
