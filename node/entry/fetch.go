package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/duty"
)

// slowTransferAge is the age from which an unfinished transfer is logged: most take under a second.
const slowTransferAge = 2 * time.Second

// fetcher transfers the newest configuration in pieces, separately from reports, and keeps the
// routes of the one in force by piece, so that the cost of a change depends on what it changes.
//
// If the configuration were part of the answer to a report, beyond some size, or some load of the
// link, no answer would arrive in time, and neither would the list of targets, which is in the same
// answer. Each attempt would start from the beginning, and the attempts would fill the link.
type fetcher struct {
	mu       sync.Mutex
	transfer *pieces.Transfer
	// heads are the states whose documents are wanted: the one in transfer and the newest.
	heads map[pieces.Digest]*newest.Head
	// slowLogged is the digest of the document whose slow transfer was logged.
	slowLogged pieces.Digest
	// completed is the digest of the last document that was transferred whole. It is not requested
	// again, neither for reports that were sent before it was activated, nor if it could not be
	// read.
	completed pieces.Digest
	// wake has a buffer of one: there may be something to request.
	wake chan struct{}

	// The fields below are written by the goroutine that runs fetch, with mu held. Others need mu to
	// read them.

	// outerPieces holds the pieces around the routes, and groups the routes, of the
	// configuration in force.
	outerPieces map[pieces.Digest][]byte
	groups      map[pieces.Digest]*routes.Group
	index       *routes.Index
}

func newFetcher() *fetcher {
	f := &fetcher{wake: make(chan struct{}, 1), heads: map[pieces.Digest]*newest.Head{}, index: new(routes.Index)}
	f.transfer = pieces.NewTransfer(f.hasPiece)
	return f
}

// hasPiece reports whether the active configuration contains a piece. f.mu must be held, except in
// the goroutine that runs fetch.
func (f *fetcher) hasPiece(d pieces.Digest) bool {
	return f.groups[d] != nil || f.outerPieces[d] != nil
}

// handleAnnouncement requests the document of a state that a core instance has reported.
func (f *fetcher) handleAnnouncement(now time.Time, h *newest.Head, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.completed == h.Root {
		return
	}
	f.heads[h.Root] = h
	f.transfer.HandleAnnouncement(now, h.Root, from)
	for root := range f.heads {
		if !f.transfer.Tracks(root) {
			delete(f.heads, root)
		}
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// progress returns the number of missing pieces, and the bytes received and requests failed so far.
func (f *fetcher) progress() (remaining int, s pieces.Stats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining, _, _ = f.transfer.Remaining()
	return remaining, f.transfer.Stats()
}

func (f *fetcher) next(now time.Time) (*pieces.Fetch, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.transfer.NextFetch(now)
}

// fetch transfers documents until ctx ends, one request at a time.
func (i *Instance) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		q, wait := i.fetcher.next(time.Now())
		switch {
		case q != nil:
			i.requestPiece(ctx, q)
			i.activate()
		case wait < 0:
			i.fetcher.waitForWork(ctx)
		default:
			_ = duty.Pause(ctx, wait)
		}
	}
}

func (f *fetcher) waitForWork(ctx context.Context) {
	select {
	case <-f.wake:
	case <-ctx.Done():
	}
}

// requestPiece sends one request and records the answer or its failure.
func (i *Instance) requestPiece(ctx context.Context, q *pieces.Fetch) {
	a, err := i.call(ctx, q)
	if ctx.Err() != nil {
		return
	}
	f := i.fetcher
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.transfer.HandleFailure(now, q)
	} else if err = f.transfer.HandleResponse(now, q, a); errors.Is(err, pieces.ErrDamaged) {
		i.log.Warn("a piece of a configuration is damaged", zap.String("from", q.To), zap.Error(err))
	}
	i.logSlowTransfer(now, q, err)
}

// logSlowTransfer logs once that a transfer takes long. f.mu must be held.
func (i *Instance) logSlowTransfer(now time.Time, q *pieces.Fetch, err error) {
	f := i.fetcher
	remaining, since, known := f.transfer.Remaining()
	head := f.heads[f.transfer.Current()]
	if head == nil || f.slowLogged == head.Root || now.Sub(since) < slowTransferAge {
		return
	}
	f.slowLogged = head.Root
	i.log.Warn("slow transfer of a configuration", zap.Uint64("version", head.Version), zap.Duration("since", now.Sub(since)),
		zap.Bool("manifest", known), zap.Int("pieces_left", remaining), zap.String("from", q.To), zap.Error(err))
}

func (i *Instance) call(ctx context.Context, q *pieces.Fetch) (*pieces.Response, error) {
	payload, err := cbor.Marshal(q.Request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	data, err := i.hub.Call(ctx, q.To, control.ChannelDocument, payload)
	if err != nil {
		return nil, err
	}
	a := &pieces.Response{}
	return a, cbor.Unmarshal(data, a)
}

// activate puts a document in force whose transfer is complete.
func (i *Instance) activate() {
	f := i.fetcher
	f.mu.Lock()
	if !f.transfer.Complete() {
		f.mu.Unlock()
		return
	}
	_, since, _ := f.transfer.Remaining()
	head := f.heads[f.transfer.Current()]
	m, got := f.transfer.Finish(time.Now())
	f.completed = head.Root
	for root, h := range f.heads {
		if h.Index <= head.Index {
			delete(f.heads, root)
		}
	}
	f.mu.Unlock()

	err := i.buildIndex(m, got)
	if err != nil {
		i.log.Error("an accepted configuration cannot be read", zap.Uint64("version", head.Version), zap.Error(err))
		return
	}
	now := time.Now()
	i.log.Info("in force", zap.Uint64("version", head.Version), zap.Int("routes", f.index.Len()),
		zap.Int("pieces", len(got)), zap.Int("of", len(m.Digests)), zap.Duration("took", now.Sub(since)))
	i.mu.Lock()
	defer i.mu.Unlock()
	k := &i.known
	k.held, k.index = head, f.index
	if k.head.Root == head.Root {
		// An evacuation may have arrived meanwhile.
		k.held = k.head
	}
	i.updateView(now)
}

// buildIndex builds the index of a document from the received pieces and those that are kept.
func (i *Instance) buildIndex(m *pieces.Manifest, got map[pieces.Digest][]byte) error {
	f := i.fetcher
	before, after := m.OuterPieces()
	outerPieces := map[pieces.Digest][]byte{}
	var text []byte
	for _, d := range slices.Concat(before, after) {
		raw := got[d]
		if raw == nil {
			raw = f.outerPieces[d]
		}
		outerPieces[d] = raw
		text = append(text, raw...)
	}
	table, err := i.o.Format.Parse(text)
	if err != nil {
		return err
	}
	groups := map[pieces.Digest]*routes.Group{}
	var list []*routes.Group
	if len(table.Routes) > 0 {
		list = append(list, routes.NewGroup(table.Routes))
	}
	for _, d := range m.Elements() {
		if groups[d] == nil {
			groups[d], err = i.routeGroup(d, got)
		}
		if err != nil {
			return err
		}
		list = append(list, groups[d])
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outerPieces, f.groups, f.index = outerPieces, groups, f.index.With(table, list)
	return nil
}

func (i *Instance) routeGroup(d pieces.Digest, got map[pieces.Digest][]byte) (*routes.Group, error) {
	if known := i.fetcher.groups[d]; known != nil {
		return known, nil
	}
	list, err := i.o.Format.ParseRoutes(got[d])
	if err != nil {
		return nil, err
	}
	return routes.NewGroup(list), nil
}
