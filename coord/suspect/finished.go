package suspect

import "time"

// finished remembers when requests finished, by digest, in two halves: when the newer one
// is full the older one is dropped, so at least the newest MaxFinished digests are kept.
//
// Without it, a request that many callers send at once and that is in flight at two targets
// which crash within seconds for other reasons is refused everywhere from then on. As no
// copy of it runs any more, none can clear it by finishing.
type finished struct {
	newer, older map[Digest]finish
}

// finish is the last time that a request with a digest finished, and the end of the last crash
// that a finish excused; zero if there was none.
type finish struct {
	at           time.Time
	excusedUntil Instant
}

func (f *finished) add(now time.Time, d Digest, maxNewer int) {
	last, _ := f.last(d)
	last.at = now
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

// excuses reports whether a suspect is innocent because a request with its digest finished here
// within FinishedTTL. If the host reports times, one finish excuses one crash, and those of copies
// that ran at the same time: a request that now and then finishes is refused if it crashes targets
// more often.
func (t *Table) excuses(now time.Time, e Entry) bool {
	last, ok := t.finished.last(e.Digest)
	switch {
	case !ok || now.Sub(last.at) >= t.cfg.FinishedTTL:
		return false
	case e.SentAt <= last.excusedUntil:
		return true
	case InstantOf(last.at) <= last.excusedUntil:
		return false
	}
	last.excusedUntil = e.CrashedAt
	t.finished.set(e.Digest, last, t.cfg.MaxFinished)
	return true
}
