package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/suspect"
)

// Link channels.
const (
	channelTrial    = "trial"
	channelTrialEnd = "trial-end"
)

const (
	// trialTimeout bounds the question for a trial: a round trip between regions.
	trialTimeout = 400 * time.Millisecond
	// maxTrialTime bounds a trial whose end the owner does not hear of.
	maxTrialTime = 10 * time.Second
	trialWorkers = 4
)

// trialEnd ends the trial of a request.
type trialEnd struct {
	Digest suspect.Digest `cbor:"1,keyasint"`
	// Entries are what the trial has shown.
	Entries []suspect.Entry `cbor:"2,keyasint,omitempty"`
}

// trials lets one instance of all regions grant the trials of poison requests, one at a time: two at
// one target would not tell which one crashed it.
type trials struct {
	self string
	hub  *link.Hub
	log  *zap.Logger
	// instances returns all entry instances that accept requests, this one included.
	instances func() []string
	requests  *poisonRequests
}

// newTrials returns trials and registers their channels at the hub.
func newTrials(self string, hub *link.Hub, log *zap.Logger, instances func() []string, p *poisonRequests) *trials {
	t := &trials{self: self, hub: hub, log: log, instances: instances, requests: p}
	p.reserve, p.release = t.reserve, t.release
	hub.Serve(channelTrial, trialWorkers, t.serve)
	hub.Handle(channelTrialEnd, t.handleEnd)
	return t
}

// owner returns the instance that grants the trials, by rendezvous hashing.
func (t *trials) owner() string {
	var best string
	var most uint64
	for _, id := range t.instances() {
		if w := xxhash.Sum64String("trials " + id); best == "" || w > most {
			best, most = id, w
		}
	}
	return best
}

// reserve asks the owner for a trial. An owner that does not answer grants none.
func (t *trials) reserve(ctx context.Context, d suspect.Digest) bool {
	owner := t.owner()
	if owner == t.self {
		return t.requests.grantTrial(d)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	answer, err := t.hub.Call(ctx, owner, channelTrial, d[:])
	return err == nil && len(answer) > 0
}

// release tells the owner that a trial has ended. If the message is lost, the reservation expires.
func (t *trials) release(d suspect.Digest, entries []suspect.Entry) {
	owner := t.owner()
	if owner == t.self {
		t.requests.endReservation(d, entries)
		return
	}
	payload, err := cbor.Marshal(trialEnd{Digest: d, Entries: entries})
	if err != nil {
		t.log.Error("the end of a trial cannot be encoded", zap.Error(err))
		return
	}
	t.hub.Send(owner, channelTrialEnd, payload)
}

// serve answers with one byte if it grants the trial, and with none if not.
func (t *trials) serve(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var d suspect.Digest
	if len(payload) != len(d) || t.owner() != t.self {
		return nil, nil
	}
	copy(d[:], payload)
	if !t.requests.grantTrial(d) {
		return nil, nil
	}
	return []byte{1}, nil
}

func (t *trials) handleEnd(from string, payload []byte) {
	var e trialEnd
	if err := cbor.Unmarshal(payload, &e); err != nil {
		t.log.Warn("the end of a trial cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	t.requests.endReservation(e.Digest, e.Entries)
}
