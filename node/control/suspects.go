package control

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
)

// ChannelSuspects takes the suspects of entry instances before their next report; the report has
// them again.
const ChannelSuspects = "suspects"

// channelAllSuspects exchanges all suspects with another core instance.
const channelAllSuspects = "all-suspects"

// suspectsInterval is the least time between two exchanges of all suspects with the same core
// instance: until then gossip may bring what is missing.
const suspectsInterval = 2 * time.Second

// suspectExchanges remembers when all suspects were last exchanged, or first found to differ, by core
// instance.
type suspectExchanges struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// due reports whether an exchange with a core instance is due whose suspects differ or not.
func (x *suspectExchanges) due(now time.Time, id string, differ bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	last, known := x.last[id]
	switch {
	case !differ:
		delete(x.last, id)
		return false
	case x.last == nil:
		x.last = map[string]time.Time{}
	}
	if known && now.Sub(last) < suspectsInterval {
		return false
	}
	x.last[id] = now
	return known
}

// addSuspects stores the suspects that an entry instance reports, and sends new ones to the other
// core instances at once.
func (i *Instance) addSuspects(entries []suspect.Entry) {
	if i.store.AddSuspects(time.Now(), entries, true) {
		trigger(i.suspectsNow)
		i.suspectsFile.markChanged()
	}
}

// runSuspectsFile keeps the quarantined requests on disk until ctx ends.
func (i *Instance) runSuspectsFile(ctx context.Context) {
	i.suspectsFile.run(ctx, i.store.QuarantinedSuspects)
}

func (i *Instance) handleSuspects(from string, payload []byte) {
	var entries []suspect.Entry
	if err := cbor.Unmarshal(payload, &entries); err != nil {
		i.log.Warn("suspects cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	if !i.isStandby() {
		i.addSuspects(entries)
	}
}

// compareSuspects exchanges all suspects with another core instance if it holds others for a while:
// one of the two has started, or they were partitioned.
func (i *Instance) compareSuspects(now time.Time, from string, digest uint64) {
	if !i.suspectExchanges.due(now, from, i.store.SuspectsDiffer(now, digest)) {
		return
	}
	i.wg.Go(func() { i.exchangeSuspects(from) })
}

func (i *Instance) exchangeSuspects(with string) {
	ctx, cancel := context.WithTimeout(context.Background(), listCallTimeout)
	defer cancel()
	payload, err := cbor.Marshal(i.store.Suspects(time.Now()))
	if err != nil {
		i.log.Error("suspects cannot be encoded", zap.Error(err))
		return
	}
	answer, err := i.hub.Call(ctx, with, channelAllSuspects, payload)
	if err != nil {
		// The next gossip message shows again that they differ.
		return
	}
	i.takeAllSuspects(with, answer)
}

// serveAllSuspects takes all suspects of another core instance and answers with all of this one.
func (i *Instance) serveAllSuspects(_ context.Context, from string, payload []byte) ([]byte, error) {
	i.takeAllSuspects(from, payload)
	return cbor.Marshal(i.store.Suspects(time.Now()))
}

func (i *Instance) takeAllSuspects(from string, payload []byte) {
	var entries []suspect.Entry
	if err := cbor.Unmarshal(payload, &entries); err != nil {
		i.log.Warn("suspects cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	if i.store.AddSuspects(time.Now(), entries, false) {
		i.suspectsFile.markChanged()
	}
}
