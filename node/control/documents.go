package control

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/pieces"
)

// documents are the newest configurations, which entry instances ask for in pieces.
type documents struct {
	mu     sync.Mutex
	holder pieces.Holder
}

func (d *documents) put(s *newest.State) {
	if s.Document == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Put(s.Root, s.Document)
}

func (d *documents) answer(a *pieces.Request) *pieces.Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Respond(a)
}

// serveDocument answers an entry instance that asks for a configuration.
func (i *Instance) serveDocument(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var a pieces.Request
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.documents.answer(&a))
}

// passDocument is serveDocument, answered by a member while this instance is outside of the
// group and does not hold the configuration itself.
func (i *Instance) passDocument(ctx context.Context, from string, payload []byte) ([]byte, error) {
	if !i.isOutside() {
		return i.serveDocument(ctx, from, payload)
	}
	return i.callMember(ctx, i.outside.nearest(), channelMemberDocument, payload)
}
