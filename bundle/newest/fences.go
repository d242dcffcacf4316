package newest

import (
	"maps"
	"slices"
)

// MaxFencedZones bounds the number of zones whose latest order the machine knows. Deployments
// have tens of zones; the bound limits what orders for arbitrary names can make all members keep.
const MaxFencedZones = 4096

// fences holds the log index of the latest acknowledged order of each zone. It is not part of
// the State, as no request of a caller depends on it: an order that is acknowledged again must
// not make every entry instance fetch a new state.
type fences struct {
	// Zones has at most MaxFencedZones zones.
	Zones map[string]uint64 `cbor:"1,keyasint,omitempty"`
	// Forgotten is the highest index among the zones that were dropped from Zones.
	Forgotten uint64 `cbor:"2,keyasint,omitempty"`
}

// last returns the highest index at which an order of the zone may have been acknowledged.
func (f *fences) last(zone string) uint64 {
	if index, known := f.Zones[zone]; known {
		return index
	}
	return f.Forgotten
}

// newest returns the highest index of all zones.
func (f *fences) newest() uint64 {
	index := f.Forgotten
	for _, at := range f.Zones {
		index = max(index, at)
	}
	return index
}

// record notes an acknowledged order. Beyond MaxFencedZones it drops the zone of the oldest one.
func (f *fences) record(zone string, index uint64) {
	if f.Zones == nil {
		f.Zones = map[string]uint64{}
	}
	f.Zones[zone] = index
	if len(f.Zones) <= MaxFencedZones {
		return
	}
	// Each order has an index of its own, so all members drop the same zone.
	oldest := slices.MinFunc(slices.Collect(maps.Keys(f.Zones)), func(a, b string) int {
		if f.Zones[a] < f.Zones[b] {
			return -1
		}
		return 1
	})
	f.Forgotten = f.Zones[oldest]
	delete(f.Zones, oldest)
}

func (f *fences) clone() fences { return fences{Zones: maps.Clone(f.Zones), Forgotten: f.Forgotten} }

// OrderIndex returns the log index that an order received now is decided on: the machine knows
// no later order of any zone, and no later change of the State.
func (m *Machine) OrderIndex() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.state.Index, m.fences.newest())
}

// order carries out an evacuation order, unless another order of its zone was acknowledged
// since it was decided. An order that asks for what is already the case is always acknowledged,
// as operators repeat orders at other instances. It counts as the zone's latest one too, so that
// an older opposite order that is still on its way can't undo what was just acknowledged. The
// caller must hold m.mu.
func (m *Machine) order(index uint64, z *Evacuation) (*State, Result) {
	s := m.state
	evacuatedAt := s.Evacuated[z.Zone]
	fulfilled := z.Evacuate == (evacuatedAt != 0)
	// A snapshot of an older release has no fences, but the index of each evacuation.
	last := max(m.fences.last(z.Zone), evacuatedAt)
	if !fulfilled && z.Decided != nil && *z.Decided < last {
		return s, Result{RefusedAt: index}
	}
	m.fences.record(z.Zone, index)
	if fulfilled {
		return s, Result{}
	}
	return s.evacuate(index, z), Result{}
}
