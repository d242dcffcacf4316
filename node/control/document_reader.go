package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/node/duty"
)

// documentReader fetches whole documents for an instance that holds none. Calls run one after
// the other. The newest document is kept, so that the next read fetches only what has changed.
type documentReader struct {
	mu   sync.Mutex
	held map[pieces.Digest][]byte
	// transfer is the one in progress; it outlives calls that end before it is complete.
	transfer *pieces.Transfer
}

// memberSource is the source's name in a transfer: each call asks a single member.
const memberSource = "member"

// read returns the document whose root is given. ask sends a request to a member that holds
// the document. If ctx ends first, the received pieces are kept for the next call.
func (r *documentReader) read(ctx context.Context, root pieces.Digest, ask func(context.Context, *pieces.Request) (*pieces.Response, error)) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfer == nil {
		r.transfer = pieces.NewTransfer(func(d pieces.Digest) bool { return r.held[d] != nil })
	}
	for ctx.Err() == nil {
		r.transfer.HandleAnnouncement(time.Now(), root, memberSource)
		q, wait := r.transfer.NextFetch(time.Now())
		if q == nil {
			_ = duty.Pause(ctx, max(wait, time.Millisecond))
			continue
		}
		r.ask(ctx, q, ask)
		if !r.transfer.Complete() {
			continue
		}
		complete := r.transfer.Current()
		document := r.take()
		if complete == root {
			return document, nil
		}
	}
	return nil, errors.Annotate(ctx.Err(), "the configuration did not come in time")
}

func (r *documentReader) ask(ctx context.Context, q *pieces.Fetch, ask func(context.Context, *pieces.Request) (*pieces.Response, error)) {
	within, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	a, err := ask(within, &q.Request)
	if err != nil {
		r.transfer.HandleFailure(time.Now(), q)
		return
	}
	// HandleResponse counts a useless answer as a failure; the next fetch follows after a backoff.
	_ = r.transfer.HandleResponse(time.Now(), q, a)
}

// take assembles a complete transfer and keeps its pieces.
func (r *documentReader) take() []byte {
	m, got := r.transfer.Finish(time.Now())
	document, all := m.Join(got, r.held)
	r.held = all
	return document
}
