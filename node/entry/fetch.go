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

// tellSlow is the age of a transfer at which a line tells that it is not done: most take
// under a second.
const tellSlow = 2 * time.Second

// fetcher gets the newest configuration piece by piece, apart from reports, and keeps the
// routes of the one in force by piece, so that a change costs by what it changes.
//
// What goes wrong where the configuration travels in the answer to a report: beyond some
// size, or some load of the link, no answer comes in time, nor does the list of targets,
// which travels with it. Each try begins anew, and the tries fill the link.
type fetcher struct {
	mu       sync.Mutex
	transfer *pieces.Transfer
	// heads are the states whose documents are wanted: of the one on its way and the newest.
	heads map[pieces.Digest]*newest.Head
	// told names the document of which a line told that it takes long.
	told pieces.Digest
	// taken names the document that came whole last. It is not asked for again by reports
	// that were made before it was in force, nor where it could not be read.
	taken pieces.Digest
	// woken has room for one: there may be something to ask.
	woken chan struct{}

	// The rest belongs to the fetching duty.

	// frame are the pieces around the routes, and groups the routes, of what is in force.
	frame  map[pieces.Digest][]byte
	groups map[pieces.Digest]*routes.Group
	index  *routes.Index
}

func newFetcher() *fetcher {
	f := &fetcher{woken: make(chan struct{}, 1), heads: map[pieces.Digest]*newest.Head{}, index: new(routes.Index)}
	f.transfer = pieces.NewTransfer(f.holds)
	return f
}

// holds is called by the transfer under mu, and by the duty that writes what it reads.
func (f *fetcher) holds(d pieces.Digest) bool { return f.groups[d] != nil || f.frame[d] != nil }

// want asks for the document of a state that a core instance has told of.
func (f *fetcher) want(now time.Time, h *newest.Head, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.taken == h.Root {
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
	case f.woken <- struct{}{}:
	default:
	}
}

// state is what the metrics show: pieces to come, bytes that came, and questions without use.
func (f *fetcher) state() (left int, s pieces.Stats) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left, _, _ = f.transfer.Remaining()
	return left, f.transfer.Stats()
}

func (f *fetcher) next(now time.Time) (*pieces.Fetch, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.transfer.NextFetch(now)
}

// fetch is the duty: one question at a time, until all is there.
func (i *Instance) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		q, wait := i.fetcher.next(time.Now())
		switch {
		case q != nil:
			i.askFor(ctx, q)
			i.adopt()
		case wait < 0:
			i.fetcher.await(ctx)
		default:
			_ = duty.Pause(ctx, wait)
		}
	}
}

func (f *fetcher) await(ctx context.Context) {
	select {
	case <-f.woken:
	case <-ctx.Done():
	}
}

// askFor asks one question and takes in the answer or its lack.
func (i *Instance) askFor(ctx context.Context, q *pieces.Fetch) {
	a, err := i.ask(ctx, q)
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
	i.tellSlow(now, q, err)
}

// tellSlow tells once of a transfer that takes long. f.mu is held.
func (i *Instance) tellSlow(now time.Time, q *pieces.Fetch, err error) {
	f := i.fetcher
	left, since, known := f.transfer.Remaining()
	head := f.heads[f.transfer.Current()]
	if head == nil || f.told == head.Root || now.Sub(since) < tellSlow {
		return
	}
	f.told = head.Root
	i.log.Warn("a configuration takes long to come", zap.Uint64("version", head.Version), zap.Duration("since", now.Sub(since)),
		zap.Bool("manifest", known), zap.Int("pieces_left", left), zap.String("from", q.To), zap.Error(err))
}

func (i *Instance) ask(ctx context.Context, q *pieces.Fetch) (*pieces.Response, error) {
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

// adopt puts a document in force that has come whole.
func (i *Instance) adopt() {
	f := i.fetcher
	f.mu.Lock()
	if !f.transfer.Complete() {
		f.mu.Unlock()
		return
	}
	_, since, _ := f.transfer.Remaining()
	head := f.heads[f.transfer.Current()]
	m, got := f.transfer.Finish(time.Now())
	f.taken = head.Root
	for root, h := range f.heads {
		if h.Index <= head.Index {
			delete(f.heads, root)
		}
	}
	f.mu.Unlock()

	err := i.build(m, got)
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
		// An evacuation may have come meanwhile.
		k.held = k.head
	}
	i.show(now)
}

// build makes the index of a document from the pieces that came and those that are held.
func (i *Instance) build(m *pieces.Manifest, got map[pieces.Digest][]byte) error {
	f := i.fetcher
	before, after := m.OuterPieces()
	frame := map[pieces.Digest][]byte{}
	var text []byte
	for _, d := range slices.Concat(before, after) {
		raw := got[d]
		if raw == nil {
			raw = f.frame[d]
		}
		frame[d] = raw
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
			groups[d], err = i.group(d, got)
		}
		if err != nil {
			return err
		}
		list = append(list, groups[d])
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frame, f.groups, f.index = frame, groups, f.index.With(table, list)
	return nil
}

func (i *Instance) group(d pieces.Digest, got map[pieces.Digest][]byte) (*routes.Group, error) {
	if known := i.fetcher.groups[d]; known != nil {
		return known, nil
	}
	list, err := i.o.Format.ParseRoutes(got[d])
	if err != nil {
		return nil, err
	}
	return routes.NewGroup(list), nil
}
