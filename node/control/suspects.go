package control

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/node/feed"
)

// ChannelSuspects takes the suspects of entry instances before their next report; the report has
// them again.
const ChannelSuspects = "suspects"

// channelDifferingSuspects returns the suspects of a core instance that may differ from those of another.
const channelDifferingSuspects = "differing-suspects"

// suspectsInterval is the least time between two requests for the suspects of the same core instance:
// until then gossip may bring what is missing.
const suspectsInterval = 2 * time.Second

// suspectExchanges remembers when suspects were last requested, or first found to differ, by core
// instance.
type suspectExchanges struct {
	mu   sync.Mutex
	last map[string]time.Time
	next map[string]feed.SuspectsQuery
}

// query returns the next query to a core instance. The first one to each begins elsewhere, so that all of them
// together soon give an instance that has started what it lacks.
func (x *suspectExchanges) query(id string) feed.SuspectsQuery {
	x.mu.Lock()
	defer x.mu.Unlock()
	if q, asked := x.next[id]; asked {
		return q
	}
	return feed.SuspectsQuery{First: xxhash.Sum64String(id)}
}

// answered records the answer of a core instance to a query.
func (x *suspectExchanges) answered(id string, q feed.SuspectsQuery, answer []suspect.Entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next == nil {
		x.next = map[string]feed.SuspectsQuery{}
	}
	q.Digests = nil
	x.next[id] = q.NextQuery(answer)
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

// compareSuspects requests suspects of another core instance if it holds others for a while: one of the
// two has started, or they were partitioned.
func (i *Instance) compareSuspects(now time.Time, from string, digest uint64) {
	if !i.suspectExchanges.due(now, from, i.store.SuspectsDiffer(now, digest)) {
		return
	}
	i.wg.Go(func() { i.fetchSuspects(from) })
}

func (i *Instance) fetchSuspects(from string) {
	ctx, cancel := context.WithTimeout(context.Background(), listCallTimeout)
	defer cancel()
	query := i.suspectExchanges.query(from).WithDigests(time.Now(), i.store)
	payload, err := cbor.Marshal(query)
	if err != nil {
		i.log.Error("a query for suspects cannot be encoded", zap.Error(err))
		return
	}
	answer, err := i.hub.Call(ctx, from, channelDifferingSuspects, payload)
	if err != nil {
		// The next gossip message shows again that they differ.
		return
	}
	var entries []suspect.Entry
	if err := cbor.Unmarshal(answer, &entries); err != nil {
		i.log.Warn("suspects cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	i.suspectExchanges.answered(from, query, entries)
	if i.store.AddSuspects(time.Now(), entries, false) {
		i.suspectsFile.markChanged()
	}
}

// serveDifferingSuspects answers the query of another core instance with the suspects of this one that it
// may lack.
func (i *Instance) serveDifferingSuspects(_ context.Context, _ string, payload []byte) ([]byte, error) {
	var q feed.SuspectsQuery
	if err := cbor.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	return cbor.Marshal(i.store.SuspectsBeside(time.Now(), q))
}
