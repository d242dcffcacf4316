package loads

import (
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// message is what an owner sends to the other members. Arrays instead of maps and
// hashes instead of names reduce a row to a third of its size.
type message struct {
	_       struct{} `cbor:",toarray"`
	Loads   []loadRow
	Details []detailRow
	Events  []eventRow
}

// loadRow is an observation without the fields that seldom change.
type loadRow struct {
	_ struct{} `cbor:",toarray"`
	// Target is the target's key; see keys.
	Target                       uint64
	AgeMillis                    uint64
	Running, Waiting, WaitTokens uint64
	// KVUsed is in thousandths.
	KVUsed uint64
	State  route.State
}

// detailRow holds the fields of an engine that seldom change.
type detailRow struct {
	_           struct{} `cbor:",toarray"`
	Target      uint64
	Incarnation uint64
	Version     string
	Adapters    []string
}

// eventRow is one cache event of an engine.
type eventRow struct {
	_       struct{} `cbor:",toarray"`
	Target  uint64
	Seq     uint64
	Stored  []uint64
	Evicted []uint64
}

// Largest values sent, so that a row fits into LoadBytes. Larger values make no
// difference to routing.
const (
	maxAgeMillis = 1<<16 - 1
	maxCount     = 1<<16 - 1
	maxTokens    = 1<<32 - 1
	kvScale      = 1000
)

// errMalformedRow is returned for a value that no correct sender writes.
var errMalformedRow = errors.New("malformed row of load observations")

// keys maps targets to the low 32 bits of their hashes and back. A key takes 5 bytes
// and, unlike a list position, means the same at instances with different bundles.
// Targets that share these bits use the whole hash.
type keys struct {
	of map[string]uint64
	id map[uint64]string
}

// longKey marks a whole hash, so that it can't equal a short key.
const longKey = 1 << 63

func newKeys(targets []Target) keys {
	k := keys{of: map[string]uint64{}, id: map[uint64]string{}}
	users := map[uint64]int{}
	for _, t := range targets {
		users[shortKey(t.ID)]++
	}
	for _, t := range targets {
		short, long := shortKey(t.ID), xxhash.Sum64String(t.ID)|longKey
		k.of[t.ID], k.id[long] = long, t.ID
		if users[short] == 1 {
			k.of[t.ID], k.id[short] = short, t.ID
		}
	}
	return k
}

func shortKey(id string) uint64 { return xxhash.Sum64String(id) & (1<<32 - 1) }

func rowOf(key uint64, o Observation) loadRow {
	return loadRow{
		Target:     key,
		AgeMillis:  clamp(int(o.AgeMillis), maxAgeMillis),
		Running:    clamp(o.Running, maxCount),
		Waiting:    clamp(o.Waiting, maxCount),
		WaitTokens: clamp(o.WaitingTokens, maxTokens),
		KVUsed:     clamp(int(o.KVUsed*kvScale+0.5), kvScale),
		State:      o.State,
	}
}

func clamp(n, most int) uint64 { return uint64(min(max(0, n), most)) }

func (r loadRow) observation(id string) Observation {
	return Observation{
		Target:         id,
		AgeMillis:      int64(r.AgeMillis),
		Running:        int(r.Running),
		Waiting:        int(r.Waiting),
		WaitingTokens:  int(r.WaitTokens),
		KVUsed:         float32(r.KVUsed) / kvScale,
		State:          r.State,
		DetailsOmitted: true,
	}
}

func (r loadRow) valid() bool {
	return r.AgeMillis <= maxAgeMillis && r.Running <= maxCount && r.Waiting <= maxCount && r.WaitTokens <= maxTokens &&
		r.KVUsed <= kvScale && r.State <= route.Down
}

// receivedMessage is a decoded message with the target IDs of this instance's bundle.
type receivedMessage struct {
	observations []Observation
	events       []cacheEvent
	// unknown is the number of rows of targets that this instance's bundle doesn't have.
	unknown int
}

// cacheEvent is a cache event of an engine.
type cacheEvent struct {
	target string
	event  ports.CacheEvent
}

func encode(m message) ([]byte, error) { return cbor.Marshal(m) }

func (k keys) decode(data []byte) (receivedMessage, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return receivedMessage{}, err
	}
	var h receivedMessage
	details := map[uint64]detailRow{}
	for _, d := range m.Details {
		details[d.Target] = d
	}
	for _, r := range m.Loads {
		id, known := k.id[r.Target]
		if !r.valid() {
			return receivedMessage{}, errMalformedRow
		}
		if !known {
			h.unknown++
			continue
		}
		o := r.observation(id)
		if d, ok := details[r.Target]; ok {
			o.Incarnation, o.Version, o.Adapters, o.DetailsOmitted = d.Incarnation, d.Version, d.Adapters, false
		}
		h.observations = append(h.observations, o)
	}
	for _, e := range m.Events {
		id, known := k.id[e.Target]
		if !known {
			h.unknown++
			continue
		}
		h.events = append(h.events, cacheEvent{id, ports.CacheEvent{Seq: e.Seq, Stored: e.Stored, Evicted: e.Evicted}})
	}
	return h, nil
}
