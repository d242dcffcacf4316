package pipeline

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// maxIDBytes bounds a request id that another instance gave.
const maxIDBytes = 64

// ids creates ids that are unique over instances and restarts: each process
// draws a random prefix.
type ids struct {
	prefix   string
	requests atomic.Uint64
	attempts atomic.Uint64
}

func newIDs(i claim.Instance) *ids {
	var b [6]byte
	_, _ = rand.Read(b[:])
	return &ids{prefix: i.ID + "-" + hex.EncodeToString(b[:]) + "-"}
}

func (n *ids) request() (uint64, string) {
	k := n.requests.Add(1)
	return k, n.prefix + strconv.FormatUint(k, 36)
}

func (n *ids) attempt() (route.AttemptID, ports.AttemptID) {
	k := n.attempts.Add(1)
	return route.AttemptID(k), ports.AttemptID(n.prefix + "a" + strconv.FormatUint(k, 36))
}

// RequestID sets the id of the request. It keeps an id given by another
// instance, so that a request has the same id wherever it runs.
type RequestID struct{ ids *ids }

// Serve sets x.Number, x.ID and the response header.
func (f *RequestID) Serve(x *Exchange, next Handler) error {
	x.Number, x.ID = f.ids.request()
	if given := x.R.Header.Get(HeaderRequestID); x.Peer != "" && given != "" && len(given) <= maxIDBytes {
		x.ID = given
	}
	x.W.Header().Set(HeaderRequestID, x.ID)
	return next(x)
}
