package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Errors of encoded snapshots.
const (
	// ErrMalformed marks bytes that are not a valid snapshot.
	ErrMalformed = errors.ConstError("malformed burn snapshot")
	// ErrTooLarge marks a snapshot above its size limit even without workspaces. Its parts
	// should be sent one by one then.
	ErrTooLarge = errors.ConstError("burn snapshot too large")
)

// maxParts bounds the parts of a decoded snapshot.
const maxParts = 8192

// Snapshot has the observations of several incarnations of several instances, a Part each,
// ordered by instance and incarnation.
type Snapshot struct {
	_     struct{} `cbor:",toarray"`
	Parts []Part
}

// Part has the observations of one incarnation of an instance. Of two parts of one incarnation
// the one with the higher Sequence includes the other, except for what is older than the
// windows. A time could not order them: clocks are set back, and two parts can be taken within a
// millisecond.
type Part struct {
	Instance    string        `cbor:"1,keyasint"`
	Region      string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"`
	TakenMillis int64         `cbor:"4,keyasint"`
	Services    []ServicePart `cbor:"5,keyasint,omitempty"`
	Sequence    uint64        `cbor:"6,keyasint"`
}

// ServicePart has the counts of one service, in slots of half a minute over an hour and of five
// minutes over six hours.
type ServicePart struct {
	Service    string          `cbor:"1,keyasint"`
	Fine       Slots           `cbor:"2,keyasint,omitempty"`
	Coarse     Slots           `cbor:"3,keyasint,omitempty"`
	Workspaces []WorkspacePart `cbor:"4,keyasint,omitempty"`
}

// WorkspacePart has the counts of one workspace of a service, in slots of five minutes.
type WorkspacePart struct {
	Workspace string `cbor:"1,keyasint"`
	Slots     Slots  `cbor:"2,keyasint"`
}

// Merge joins two snapshots: it keeps the newest part of each incarnation, and the newest
// incarnations of each instance. It is commutative, associative and idempotent, so that
// snapshots may come in any order, late and twice.
func Merge(a, b Snapshot) Snapshot {
	parts := slices.Concat(a.Parts, b.Parts)
	slices.SortStableFunc(parts, func(x, y Part) int {
		return cmp.Or(
			cmp.Compare(x.Instance, y.Instance),
			cmp.Compare(y.Incarnation, x.Incarnation),
			cmp.Compare(y.Sequence, x.Sequence),
		)
	})
	var kept []Part
	incarnations := 0
	for i, p := range parts {
		switch {
		case i == 0 || p.Instance != parts[i-1].Instance:
			incarnations = 1
		case p.Incarnation == parts[i-1].Incarnation:
			continue
		default:
			incarnations++
		}
		if incarnations <= maxEarlierIncarnations+1 {
			kept = append(kept, p)
		}
	}
	return Snapshot{Parts: kept}
}

// Since returns the parts taken after t minus the longest window; the others have no counts in
// it.
func (s Snapshot) Since(t time.Time) Snapshot {
	oldest := t.Add(-LongestWindow).UnixMilli()
	fresh := func(p Part) bool { return p.TakenMillis >= oldest }
	var kept Snapshot
	for _, p := range s.Parts {
		if fresh(p) {
			kept.Parts = append(kept.Parts, p)
		}
	}
	return kept
}

// Encode encodes a snapshot as CBOR of at most maxBytes. Workspaces with the fewest misses are
// removed until it fits; their requests still count in the service. The error is ErrTooLarge.
func (s Snapshot) Encode(maxBytes int) ([]byte, error) {
	for maxWorkspaces := MaxWorkspaces; ; maxWorkspaces /= 2 {
		data, err := cbor.Marshal(s.withWorkspaces(maxWorkspaces))
		if err != nil {
			return nil, err
		}
		if len(data) <= maxBytes {
			return data, nil
		}
		if maxWorkspaces == 0 {
			return nil, errors.Annotatef(ErrTooLarge, "%d bytes, bound %d", len(data), maxBytes)
		}
	}
}

// withWorkspaces returns a copy with at most maxCount workspaces of each service.
func (s Snapshot) withWorkspaces(maxCount int) Snapshot {
	out := Snapshot{Parts: slices.Clone(s.Parts)}
	for i := range out.Parts {
		services := slices.Clone(out.Parts[i].Services)
		for j := range services {
			services[j].Workspaces = mostMissed(services[j].Workspaces, maxCount)
		}
		out.Parts[i].Services = services
	}
	return out
}

// mostMissed returns the maxCount workspaces with the most misses, or the whole list if it is
// not longer.
func mostMissed(list []WorkspacePart, maxCount int) []WorkspacePart {
	if len(list) <= maxCount {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(x, y WorkspacePart) int { return cmp.Compare(y.missed(), x.missed()) })
	return list[:maxCount]
}

func (w WorkspacePart) missed() int64 {
	var n int64
	for _, s := range w.Slots {
		n += s.Count.Misses()
	}
	return n
}

// decoder bounds the memory that data of a peer or a damaged file can take.
var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxParts, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Decode decodes the result of Encode. The error is ErrMalformed.
func Decode(data []byte) (Snapshot, error) {
	var s Snapshot
	if err := decoder.Unmarshal(data, &s); err != nil {
		return Snapshot{}, errors.Annotatef(ErrMalformed, "%v", err)
	}
	for _, p := range s.Parts {
		if err := p.check(); err != nil {
			return Snapshot{}, err
		}
	}
	return s, nil
}

// check rejects parts that no History makes: counts from a damaged file would otherwise be in
// reports for six hours.
func (p Part) check() error {
	// A region without a name would be reported as all regions.
	if p.Instance == "" || p.Region == "" || len(p.Services) > maxServices+1 {
		return errors.Annotatef(ErrMalformed, "part of %q with %d services", p.Instance, len(p.Services))
	}
	for _, s := range p.Services {
		ok := len(s.Fine) <= fineSlotCount && len(s.Coarse) <= coarseSlotCount && len(s.Workspaces) <= MaxWorkspaces
		lists := []Slots{s.Fine, s.Coarse}
		for _, w := range s.Workspaces {
			ok = ok && len(w.Slots) <= coarseSlotCount
			lists = append(lists, w.Slots)
		}
		if !ok || slices.ContainsFunc(lists, hasInvalidSlot) {
			return errors.Annotatef(ErrMalformed, "service %q of %q", s.Service, p.Instance)
		}
	}
	return nil
}

func hasInvalidSlot(list Slots) bool {
	return slices.ContainsFunc(list, func(s Slot) bool {
		return s.Number < 0 || s.Count.Misses() > int64(s.Count.Requests)
	})
}
