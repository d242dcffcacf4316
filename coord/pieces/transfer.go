package pieces

import (
	"slices"
	"time"

	"github.com/juju/errors"
)

// Size of one request in bytes of packed pieces. One request is in flight at a time, so this
// is also what a transfer adds to the queue of a shared link.
const (
	firstRequestBytes = 32 << 10
	maxRequestBytes   = 64 << 10
	minRequestBytes   = 1
	// maxRequestPieces bounds the number of pieces named in one request.
	maxRequestPieces = 64
)

// Timeout of a response, and delay after a failure until the next request. The delay doubles with
// each failure in a row, the timeout each time that all sources have failed, so that in the end any
// piece passes a link of any speed, and sources that are down get few requests.
const (
	minResponseTimeout = time.Second
	maxResponseTimeout = 16 * time.Second
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = time.Second
)

// Transfer fetches the pieces of the newest announced document. It is not safe for concurrent
// use.
//
// A document whose transfer has started is completed before a newer one is started, as long
// as a source has it and responds. Otherwise, if versions follow each other faster than a
// manifest and some pieces arrive from another region, each version would abort the transfer
// of the one before, and none would ever be complete until the last one.
type Transfer struct {
	root     Digest
	manifest *Manifest
	// received are the unpacked pieces that were received and not held.
	received map[Digest][]byte
	// missing are the pieces that are neither held nor received.
	missing []Digest
	// held reports whether the host holds a piece.
	held func(Digest) bool
	// sources have announced the document; the first one gets the next request.
	sources []string
	// newest is the newest document if that is not root, else zero. newestSources have
	// announced it.
	newest        Digest
	newestSources []string
	requestBytes  int
	// failures is the number of failures in a row.
	failures  int
	notBefore time.Time
	stats     Stats
	startedAt time.Time
}

// Stats are the counters of a Transfer since NewTransfer.
type Stats struct {
	// Bytes counts the bytes of received packed pieces, FailedFetches the fetches without a
	// useful response.
	Bytes, FailedFetches uint64
}

// Fetch is a request to send to a source.
type Fetch struct {
	To      string
	Request Request
	// Timeout is how long to wait for the response.
	Timeout time.Duration
}

// NewTransfer returns a Transfer without a document. held reports whether the host already
// holds a piece.
func NewTransfer(held func(Digest) bool) *Transfer { return &Transfer{held: held} }

// abandonAfterFailures is how many failures in a row end the transfer of a document if a
// newer one was announced.
const abandonAfterFailures = 2

// HandleAnnouncement records that the source from has announced root as the newest document.
func (t *Transfer) HandleAnnouncement(now time.Time, root Digest, from string) {
	switch {
	case t.root == (Digest{}) || t.root == root && t.newest == (Digest{}):
		t.start(now, root)
		t.sources = withSource(t.sources, from)
		return
	case t.root == root:
		// A newer one was announced, but this one is being transferred.
		t.sources = withSource(t.sources, from)
		return
	case t.newest != root:
		t.newest, t.newestSources = root, nil
	}
	t.newestSources = withSource(t.newestSources, from)
	t.switchToNewest(now)
}

func withSource(sources []string, from string) []string {
	if slices.Contains(sources, from) {
		return sources
	}
	return append(sources, from)
}

// start starts the transfer of a document, unless it is the current one. Received pieces of
// another document are kept as far as the new manifest names them.
func (t *Transfer) start(now time.Time, root Digest) {
	if t.root == root {
		return
	}
	t.root, t.manifest, t.missing, t.sources = root, nil, nil, nil
	t.requestBytes, t.startedAt = firstRequestBytes, now
	t.failures, t.notBefore = 0, time.Time{}
}

// switchToNewest abandons the current document for the newest one if no source has it, or
// after abandonAfterFailures.
func (t *Transfer) switchToNewest(now time.Time) {
	if t.newest == (Digest{}) || t.Complete() || len(t.sources) > 0 && t.failures < abandonAfterFailures {
		return
	}
	root, sources := t.newest, t.newestSources
	t.newest, t.newestSources = Digest{}, nil
	t.start(now, root)
	t.sources = sources
}

// Current returns the document being transferred; zero if there is none.
func (t *Transfer) Current() Digest { return t.root }

// Tracks reports whether root is the document being transferred or the newest one.
func (t *Transfer) Tracks(root Digest) bool { return root == t.root || root == t.newest }

// Stats returns the counters.
func (t *Transfer) Stats() Stats { return t.stats }

// Remaining returns the number of missing pieces and when the transfer started. known is
// false until the manifest was received.
func (t *Transfer) Remaining() (pieces int, since time.Time, known bool) {
	return len(t.missing), t.startedAt, t.manifest != nil
}

// NextFetch returns the fetch to make now. If there is none, it returns how long to wait for
// the next one, or a negative time if there is none before the next HandleAnnouncement.
func (t *Transfer) NextFetch(now time.Time) (*Fetch, time.Duration) {
	if t.root == (Digest{}) || len(t.sources) == 0 || t.Complete() {
		return nil, -1
	}
	if wait := t.notBefore.Sub(now); wait > 0 {
		return nil, wait
	}
	f := &Fetch{To: t.sources[0], Request: Request{Root: t.root}, Timeout: t.timeout()}
	if t.manifest != nil {
		f.Request.Pieces, f.Request.MaxBytes = slices.Clone(t.missing[:min(len(t.missing), maxRequestPieces)]), t.requestBytes
	}
	return f, 0
}

// timeout returns how long to wait for the next response. It doubles once each source has failed: one that does
// not answer must not hold up the others.
func (t *Transfer) timeout() time.Duration {
	return min(minResponseTimeout<<min(t.failures/len(t.sources), 8), maxResponseTimeout)
}

// HandleResponse handles the response to a fetch. It returns an error if the response is of
// no use, which wraps ErrDamaged if its content is wrong. The Transfer then continues with
// another source, if there is one.
func (t *Transfer) HandleResponse(now time.Time, f *Fetch, r *Response) error {
	if r.Unknown {
		if f.Request.Root == t.root {
			// It remains a source of the newest document.
			t.sources = slices.DeleteFunc(t.sources, func(s string) bool { return s == f.To })
		}
		t.HandleFailure(now, f)
		return errors.NotFoundf("document %s at %s", f.Request.Root, f.To)
	}
	err := t.accept(f, r)
	if err != nil {
		t.HandleFailure(now, f)
		return err
	}
	t.failures, t.notBefore = 0, time.Time{}
	t.requestBytes = min(2*t.requestBytes, maxRequestBytes)
	return nil
}

func (t *Transfer) accept(f *Fetch, r *Response) error {
	if f.Request.Root == t.root && t.manifest == nil && len(f.Request.Pieces) == 0 {
		return t.acceptManifest(r.Manifest)
	}
	return t.acceptPieces(r.Packed, f.Request.Root == t.root)
}

func (t *Transfer) acceptManifest(m *Manifest) error {
	if m == nil || m.Check() != nil || m.Root() != t.root {
		return errors.Annotate(ErrDamaged, "manifest")
	}
	t.manifest = m
	named := make(map[Digest]bool, len(m.Digests))
	for _, d := range m.Digests {
		named[d] = true
	}
	for d := range t.received {
		if !named[d] {
			delete(t.received, d)
		}
	}
	t.missing = m.Missing(func(d Digest) bool { return t.received[d] != nil || t.held(d) })
	return nil
}

// acceptPieces stores pieces of the current document. requested is false if they were
// requested for an earlier document; the current one may contain them too.
func (t *Transfer) acceptPieces(packed [][]byte, requested bool) error {
	if len(packed) == 0 {
		return errors.Annotate(ErrDamaged, "response without pieces")
	}
	for _, p := range packed {
		raw, digest, err := Unpack(p)
		if err != nil {
			return err
		}
		t.stats.Bytes += uint64(len(p))
		if err := t.acceptPiece(raw, digest, requested); err != nil {
			return err
		}
	}
	return nil
}

func (t *Transfer) acceptPiece(raw []byte, digest Digest, requested bool) error {
	if t.received == nil {
		t.received = map[Digest][]byte{}
	}
	if t.manifest == nil {
		// acceptManifest drops it if the document does not contain it.
		t.received[digest] = raw
		return nil
	}
	at := slices.Index(t.missing, digest)
	if at < 0 && requested {
		return errors.Annotatef(ErrDamaged, "piece %s was not requested", digest)
	}
	if at >= 0 {
		t.received[digest] = raw
		t.missing = slices.Delete(t.missing, at, at+1)
	}
	return nil
}

// HandleFailure records a fetch without a response. The next request is smaller and goes to
// another source, if there is one.
func (t *Transfer) HandleFailure(now time.Time, f *Fetch) {
	t.stats.FailedFetches++
	if f.Request.Root != t.root {
		return
	}
	t.notBefore = now.Add(min(minRetryDelay<<min(t.failures, 8), maxRetryDelay))
	t.failures++
	t.requestBytes = max(t.requestBytes/4, minRequestBytes)
	if len(t.sources) > 1 && t.sources[0] == f.To {
		t.sources = append(t.sources[1:], f.To)
	}
	t.switchToNewest(now)
}

// Complete reports whether the manifest was received and all pieces are held or received.
func (t *Transfer) Complete() bool { return t.manifest != nil && len(t.missing) == 0 }

// Finish ends the transfer of a complete document. It returns the manifest and the unpacked
// pieces that the host did not hold, and starts the transfer of a newer document that was
// announced. It must be called only if Complete is true.
func (t *Transfer) Finish(now time.Time) (*Manifest, map[Digest][]byte) {
	m, got := t.manifest, t.received
	next, sources := t.newest, t.newestSources
	t.root, t.manifest, t.received, t.missing, t.sources = Digest{}, nil, nil, nil, nil
	t.newest, t.newestSources = Digest{}, nil
	if next != (Digest{}) {
		t.start(now, next)
		t.sources = sources
	}
	return m, got
}
