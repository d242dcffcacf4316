package pieces

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// What one question asks for, in bytes of packed pieces. One question is under way at a
// time, so this is also what a transfer adds to the queue of a link that others share.
const (
	firstAsk = 32 << 10
	mostAsk  = 64 << 10
	leastAsk = 1
	// mostPieces bounds the pieces named in one question.
	mostPieces = 64
)

// How long a question waits for its answer, and how long after a failure the next one is
// asked. Both double with each failure in a row: any piece passes any link in the end, and
// sources that are down are not asked all the time.
const (
	answerTime  = time.Second
	answerMost  = 16 * time.Second
	failedPause = 50 * time.Millisecond
	failedMost  = time.Second
)

// Transfer gets the pieces of the newest document that was told of. It belongs to one
// goroutine at a time.
//
// A document that is on its way is finished before a newer one is begun, as long as somebody
// has it and answers. What goes wrong otherwise: versions follow each other faster than a
// manifest and some pieces take from another region, each one ends the transfer of the one
// before, and none is ever whole until the last has come.
type Transfer struct {
	root     Digest
	manifest *Manifest
	// got are the pieces of the manifest that have come and were not held, unpacked.
	got map[Digest][]byte
	// missing are still to come.
	missing []Digest
	// held reports whether the host holds a piece.
	held func(Digest) bool
	// sources have told of the document, the next to ask first.
	sources []string
	// next is the newest document, if that is another one, and nextSources have told of it.
	next        Digest
	nextSources []string
	ask         int
	// failures in a row, since something came.
	failures  int
	notBefore time.Time
	stats     Stats
	began     time.Time
}

// Stats tell of a Transfer since its making.
type Stats struct {
	// Bytes are those of packed pieces that came, Failed the questions without a use.
	Bytes, FailedFetches uint64
}

// Question is what to ask whom.
type Fetch struct {
	To      string
	Request Request
	// Within is how long to wait for the answer.
	Timeout time.Duration
}

// NewTransfer makes a Transfer that wants nothing. held reports whether the host holds a
// piece already.
func NewTransfer(held func(Digest) bool) *Transfer { return &Transfer{held: held} }

// giveUpAfter is how many failures in a row end the transfer of a document of which there is
// a newer one.
const giveUpAfter = 2

// Want names the newest document and somebody who has told of it.
func (t *Transfer) HandleAnnouncement(now time.Time, root Digest, from string) {
	switch {
	case t.root == (Digest{}) || t.root == root && t.next == (Digest{}):
		t.begin(now, root)
		t.sources = withSource(t.sources, from)
		return
	case t.root == root:
		// It is newest no more, but it is the one on its way.
		t.sources = withSource(t.sources, from)
		return
	case t.next != root:
		t.next, t.nextSources = root, nil
	}
	t.nextSources = withSource(t.nextSources, from)
	t.turnToNext(now)
}

func withSource(sources []string, from string) []string {
	if slices.Contains(sources, from) {
		return sources
	}
	return append(sources, from)
}

// begin turns to a document. What has come of another one is kept as far as this one has it,
// too.
func (t *Transfer) begin(now time.Time, root Digest) {
	if t.root == root {
		return
	}
	t.root, t.manifest, t.missing, t.sources = root, nil, nil, nil
	t.ask, t.began = firstAsk, now
	t.failures, t.notBefore = 0, time.Time{}
}

// turnToNext leaves a document that nobody has or gives any more for the newest one.
func (t *Transfer) turnToNext(now time.Time) {
	if t.next == (Digest{}) || t.Complete() || len(t.sources) > 0 && t.failures < giveUpAfter {
		return
	}
	root, sources := t.next, t.nextSources
	t.next, t.nextSources = Digest{}, nil
	t.begin(now, root)
	t.sources = sources
}

// Wanted is the document that the Transfer is about; zero for none.
func (t *Transfer) Current() Digest { return t.root }

// Wants reports whether a document is the one on its way or the newest.
func (t *Transfer) Tracks(root Digest) bool { return root == t.root || root == t.next }

// Stats returns the counters.
func (t *Transfer) Stats() Stats { return t.stats }

// Left are how many pieces are still to come, and since when; known is false until the
// manifest has come.
func (t *Transfer) Remaining() (pieces int, since time.Time, known bool) {
	return len(t.missing), t.began, t.manifest != nil
}

// Next returns what to ask now. Without a question it returns how long to wait for the next
// one; negative where there is none until Want is called.
func (t *Transfer) NextFetch(now time.Time) (*Fetch, time.Duration) {
	if t.root == (Digest{}) || len(t.sources) == 0 || t.Complete() {
		return nil, -1
	}
	if wait := t.notBefore.Sub(now); wait > 0 {
		return nil, wait
	}
	q := &Fetch{To: t.sources[0], Request: Request{Root: t.root}, Timeout: min(answerTime<<min(t.failures, 8), answerMost)}
	if t.manifest != nil {
		q.Request.Pieces, q.Request.MaxBytes = t.missing[:min(len(t.missing), mostPieces)], t.ask
	}
	return q, 0
}

// Answered takes in the answer to a question. The error tells that it was of no use, wrapping
// ErrDamaged where its content is wrong; the Transfer goes on with another source.
func (t *Transfer) HandleResponse(now time.Time, q *Fetch, a *Response) error {
	if a.Unknown {
		if q.Request.Root == t.root {
			// It has told of the next one all the same.
			t.sources = slices.DeleteFunc(t.sources, func(s string) bool { return s == q.To })
		}
		t.HandleFailure(now, q)
		return errors.NotFoundf("document %s at %s", q.Request.Root, q.To)
	}
	err := t.take(q, a)
	if err != nil {
		t.HandleFailure(now, q)
		return err
	}
	t.failures, t.notBefore = 0, time.Time{}
	t.ask = min(2*t.ask, mostAsk)
	return nil
}

func (t *Transfer) take(q *Fetch, a *Response) error {
	if q.Request.Root == t.root && t.manifest == nil && len(q.Request.Pieces) == 0 {
		return t.takeManifest(a.Manifest)
	}
	return t.takePieces(a.Packed, q.Request.Root == t.root)
}

func (t *Transfer) takeManifest(m *Manifest) error {
	if m == nil || m.Check() != nil || m.Root() != t.root {
		return errors.Annotate(ErrDamaged, "manifest")
	}
	t.manifest = m
	named := make(map[Digest]bool, len(m.Digests))
	for _, d := range m.Digests {
		named[d] = true
	}
	for d := range t.got {
		if !named[d] {
			delete(t.got, d)
		}
	}
	t.missing = m.Missing(func(d Digest) bool { return t.got[d] != nil || t.held(d) })
	return nil
}

// takePieces takes pieces of the document wanted now. Those that were asked for as pieces of
// the one before may be of it, too.
func (t *Transfer) takePieces(packed [][]byte, asked bool) error {
	if len(packed) == 0 {
		return errors.Annotate(ErrDamaged, "answer without pieces")
	}
	for _, p := range packed {
		raw, digest, err := Unpack(p)
		if err != nil {
			return err
		}
		t.stats.Bytes += uint64(len(p))
		if err := t.takePiece(raw, digest, asked); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transfer) takePiece(raw []byte, digest Digest, asked bool) error {
	if t.got == nil {
		t.got = map[Digest][]byte{}
	}
	if t.manifest == nil {
		// Its manifest will tell whether it is of use.
		t.got[digest] = raw
		return nil
	}
	at := slices.Index(t.missing, digest)
	if at < 0 && asked {
		return errors.Annotatef(ErrDamaged, "%s was not asked for", digest)
	}
	if at >= 0 {
		t.got[digest] = raw
		t.missing = slices.Delete(t.missing, at, at+1)
	}
	return nil
}

// Failed notes a question without an answer. Less is asked for next, of another source.
func (t *Transfer) HandleFailure(now time.Time, q *Fetch) {
	t.stats.FailedFetches++
	if q.Request.Root != t.root {
		return
	}
	t.notBefore = now.Add(min(failedPause<<min(t.failures, 8), failedMost))
	t.failures++
	t.ask = max(t.ask/4, leastAsk)
	if len(t.sources) > 1 && t.sources[0] == q.To {
		t.sources = append(t.sources[1:], q.To)
	}
	t.turnToNext(now)
}

// Complete reports whether all has come.
func (t *Transfer) Complete() bool { return t.manifest != nil && len(t.missing) == 0 }

// Take ends the transfer of a complete document, and returns its manifest and the pieces
// that the host did not hold. A newer document that was told of is begun.
func (t *Transfer) Finish(now time.Time) (*Manifest, map[Digest][]byte) {
	m, got := t.manifest, t.got
	next, sources := t.next, t.nextSources
	t.root, t.manifest, t.got, t.missing, t.sources = Digest{}, nil, nil, nil, nil
	t.next, t.nextSources = Digest{}, nil
	if next != (Digest{}) {
		t.begin(now, next)
		t.sources = sources
	}
	return m, got
}
