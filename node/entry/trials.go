package entry

import (
	"context"
	"slices"
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
	// Digest is the first one that was reserved, and Others are the further ones.
	Digest suspect.Digest `cbor:"1,keyasint"`
	// Entries are what the trial has shown.
	Entries []suspect.Entry  `cbor:"2,keyasint,omitempty"`
	Others  []suspect.Digest `cbor:"3,keyasint,omitempty"`
	// NotRun says that no target has run the trial.
	NotRun bool `cbor:"4,keyasint,omitempty"`
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
func (t *trials) reserve(ctx context.Context, quarantined []suspect.Digest) bool {
	owner := t.owner()
	if owner == t.self {
		return t.requests.grantTrial(quarantined)
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	var payload []byte
	for _, d := range quarantined {
		payload = append(payload, d[:]...)
	}
	answer, err := t.hub.Call(ctx, owner, channelTrial, payload)
	return err == nil && len(answer) > 0
}

// release tells the owner that a trial has ended. If the message is lost, the reservation expires.
func (t *trials) release(e trialEnd) {
	owner := t.owner()
	if owner == t.self {
		t.requests.endReservation(e)
		return
	}
	payload, err := cbor.Marshal(e)
	if err != nil {
		t.log.Error("the end of a trial cannot be encoded", zap.Error(err))
		return
	}
	t.hub.Send(owner, channelTrialEnd, payload)
}

// serve answers with one byte if it grants the trial, and with none if not. The payload has the digests
// one after the other.
func (t *trials) serve(_ context.Context, _ string, payload []byte) ([]byte, error) {
	const size = len(suspect.Digest{})
	if len(payload) == 0 || len(payload)%size != 0 || len(payload) > size*(1+maxSuspectParts) || t.owner() != t.self {
		return nil, nil
	}
	var quarantined []suspect.Digest
	for d := range slices.Chunk(payload, size) {
		quarantined = append(quarantined, suspect.Digest(d))
	}
	if !t.requests.grantTrial(quarantined) {
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
	t.requests.endReservation(e)
}
