package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/node/duty"
)

// documentReader gets whole documents for an instance that holds none. Calls follow each
// other; the newest document is kept, so that the next one needs what has changed only.
type documentReader struct {
	mu   sync.Mutex
	held map[pieces.Digest][]byte
	// transfer is under way, over calls that ended before it was done.
	transfer *pieces.Transfer
}

// source names the one that is asked, as there is one for each call.
const source = "member"

// read returns the document of a name. ask asks somebody who has it.
func (r *documentReader) read(ctx context.Context, root pieces.Digest, ask func(context.Context, *pieces.Request) (*pieces.Response, error)) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.transfer == nil {
		r.transfer = pieces.NewTransfer(func(d pieces.Digest) bool { return r.held[d] != nil })
	}
	for ctx.Err() == nil {
		r.transfer.HandleAnnouncement(time.Now(), root, source)
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
	// An answer of no use counts as a failure there; the next question follows after a pause.
	_ = r.transfer.HandleResponse(time.Now(), q, a)
}

// take puts a document together that has come whole.
func (r *documentReader) take() []byte {
	m, got := r.transfer.Finish(time.Now())
	document, all := m.Join(got, r.held)
	r.held = all
	return document
}
