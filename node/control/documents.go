package control

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/coord/pieces"
)

// documents holds the newest configurations, which entry instances fetch in pieces.
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

// serveDocument answers an entry instance's request for pieces of a configuration.
func (i *Instance) serveDocument(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var a pieces.Request
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.documents.answer(&a))
}

// serveOrForwardDocument is serveDocument; a standby, which holds no configuration, forwards
// the request to a member.
func (i *Instance) serveOrForwardDocument(ctx context.Context, from string, payload []byte) ([]byte, error) {
	if !i.isStandby() {
		return i.serveDocument(ctx, from, payload)
	}
	return i.callMember(ctx, i.standby.nearest(), channelMemberDocument, payload)
}
