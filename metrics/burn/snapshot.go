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
	// ErrMalformed marks bytes that are no snapshot.
	ErrMalformed = errors.ConstError("malformed burn snapshot")
	// ErrTooLarge marks a snapshot that does not fit its bound even without the
	// workspaces. Send its parts one by one then.
	ErrTooLarge = errors.ConstError("burn snapshot too large")
)

// maxParts bounds the parts of a decoded snapshot.
const maxParts = 8192

// Snapshot is what several lives of several instances have seen, a Part each,
// in the order of instances and lives.
type Snapshot struct {
	_     struct{} `cbor:",toarray"`
	Parts []Part
}

// Part is what one life of an instance has seen. Of two parts of one life the
// one with the higher Sequence holds all that the other one does, but for what
// fell out of the windows. A time could not order them: clocks are set back,
// and two parts can be taken within a millisecond.
type Part struct {
	Instance    string        `cbor:"1,keyasint"`
	Region      string        `cbor:"2,keyasint"`
	Incarnation uint64        `cbor:"3,keyasint"`
	TakenMillis int64         `cbor:"4,keyasint"`
	Services    []ServicePart `cbor:"5,keyasint,omitempty"`
	Sequence    uint64        `cbor:"6,keyasint"`
}

// ServicePart is what concerns one service, in slots of half a minute over an
// hour and of five minutes over six hours.
type ServicePart struct {
	Service    string          `cbor:"1,keyasint"`
	Fine       Slots           `cbor:"2,keyasint,omitempty"`
	Coarse     Slots           `cbor:"3,keyasint,omitempty"`
	Workspaces []WorkspacePart `cbor:"4,keyasint,omitempty"`
}

// WorkspacePart is what concerns one workspace of a service, in slots of five
// minutes.
type WorkspacePart struct {
	Workspace string `cbor:"1,keyasint"`
	Slots     Slots  `cbor:"2,keyasint"`
}

// Merge joins two snapshots: of each life of each instance the last part,
// and of each instance the last lives. It is commutative, associative and
// idempotent, so that snapshots may travel any way, late and twice.
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
	lives := 0
	for i, p := range parts {
		switch {
		case i == 0 || p.Instance != parts[i-1].Instance:
			lives = 1
		case p.Incarnation == parts[i-1].Incarnation:
			continue
		default:
			lives++
		}
		if lives <= maxLives+1 {
			kept = append(kept, p)
		}
	}
	return Snapshot{Parts: kept}
}

// Since leaves out parts that were taken before t less the longest window: they
// have nothing to say any more.
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

// Encode writes a snapshot as CBOR of at most maxBytes. Workspaces with the
// fewest misses are left out until it fits; their requests still count in the
// service. The error is ErrTooLarge.
func (s Snapshot) Encode(maxBytes int) ([]byte, error) {
	for most := MaxWorkspaces; ; most /= 2 {
		data, err := cbor.Marshal(s.withWorkspaces(most))
		if err != nil {
			return nil, err
		}
		if len(data) <= maxBytes {
			return data, nil
		}
		if most == 0 {
			return nil, errors.Annotatef(ErrTooLarge, "%d bytes, bound %d", len(data), maxBytes)
		}
	}
}

// withWorkspaces is a copy with at most so many workspaces of each service.
func (s Snapshot) withWorkspaces(most int) Snapshot {
	out := Snapshot{Parts: slices.Clone(s.Parts)}
	for i := range out.Parts {
		services := slices.Clone(out.Parts[i].Services)
		for j := range services {
			services[j].Workspaces = worst(services[j].Workspaces, most)
		}
		out.Parts[i].Services = services
	}
	return out
}

// worst are the workspaces with the most misses.
func worst(list []WorkspacePart, most int) []WorkspacePart {
	if len(list) <= most {
		return list
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(x, y WorkspacePart) int { return cmp.Compare(y.missed(), x.missed()) })
	return list[:most]
}

func (w WorkspacePart) missed() int64 {
	var n int64
	for _, s := range w.Slots {
		n += s.Count.Misses()
	}
	return n
}

// decoder bounds what a peer or a damaged file can make this instance hold.
var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxParts, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Decode reads what Encode wrote. The error is ErrMalformed.
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

// check refuses parts that no History makes: counts from a damaged file would
// else stand in reports for six hours.
func (p Part) check() error {
	// A region without a name would stand in reports as all regions.
	if p.Instance == "" || p.Region == "" || len(p.Services) > maxServices+1 {
		return errors.Annotatef(ErrMalformed, "part of %q with %d services", p.Instance, len(p.Services))
	}
	for _, s := range p.Services {
		ok := len(s.Fine) <= fineSlots && len(s.Coarse) <= coarseSlots && len(s.Workspaces) <= MaxWorkspaces
		lists := []Slots{s.Fine, s.Coarse}
		for _, w := range s.Workspaces {
			ok = ok && len(w.Slots) <= coarseSlots
			lists = append(lists, w.Slots)
		}
		if !ok || slices.ContainsFunc(lists, impossible) {
			return errors.Annotatef(ErrMalformed, "service %q of %q", s.Service, p.Instance)
		}
	}
	return nil
}

func impossible(list Slots) bool {
	return slices.ContainsFunc(list, func(s Slot) bool {
		return s.Number < 0 || s.Count.Misses() > int64(s.Count.Requests)
	})
}
