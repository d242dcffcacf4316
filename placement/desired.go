package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/ports"
)

// Weights is an object of the weight store.
type Weights struct {
	// ID identifies the version or adapter, Key the object in the weight store.
	ID, Key string
	Bytes   int64
}

// Goal is the desired state of one engine.
type Goal struct {
	Target  string
	Address string
	Service string
	// Leaving targets are drained and get no other order.
	Leaving  bool
	Model    string
	Version  Weights
	Adapters []Weights
	Role     bundle.TargetRole
	// Slots is the target's weight in its service's capacity.
	Slots int
	// ChecksFence is true if the target refuses orders with an old fencing
	// number.
	ChecksFence bool
	// OrderExpiry is the longest time that an order to the target can be in
	// flight.
	OrderExpiry time.Duration
}

// Desired is the desired state of a region's engines.
type Desired struct {
	// Goals has one entry per engine of the region, sorted by target.
	Goals []Goal
	// BytesPerSecond bounds the rate at which loads of the region read from the
	// weight store.
	BytesPerSecond int64
	// MaxLoads bounds the number of targets in a change at the same time; at
	// least 1.
	MaxLoads int
	// DrainTime is how long to wait for requests in progress before the target
	// is reported as overdue.
	DrainTime time.Duration
	// LargestBytes is the size of the largest object that the bundle names.
	LargestBytes int64
}

// DesiredFor returns the desired state of a region from a validated bundle.
// Plain services get no orders.
func DesiredFor(b *bundle.Bundle, region string) Desired {
	w := Desired{
		BytesPerSecond: b.Rules.WeightStoreBytesPerSecond,
		MaxLoads:       b.Rules.MaxConcurrentLoads,
		DrainTime:      time.Duration(b.Rules.DrainSeconds) * time.Second,
		LargestBytes:   largest(b.Models),
	}
	for i := range b.Targets {
		t := &b.Targets[i]
		s := find(b.Services, func(s *bundle.Service) bool { return s.ID == t.Service })
		if t.Region == region && s != nil && s.Kind == bundle.KindModel {
			w.Goals = append(w.Goals, goalOf(b, t, s))
		}
	}
	slices.SortFunc(w.Goals, func(a, b Goal) int { return cmp.Compare(a.Target, b.Target) })
	return w
}

func goalOf(b *bundle.Bundle, t *bundle.Target, s *bundle.Service) Goal {
	g := Goal{
		Target:      t.ID,
		Address:     t.Address,
		Service:     s.ID,
		Leaving:     t.State == bundle.TargetLeaving,
		Model:       s.Model,
		Role:        roleOf(t.Role),
		Slots:       t.Slots,
		ChecksFence: t.ChecksFence,
		OrderExpiry: time.Duration(t.OrderExpiryMillis) * time.Millisecond,
	}
	m := find(b.Models, func(m *bundle.Model) bool { return m.ID == s.Model })
	if m == nil {
		return g
	}
	if v := find(m.Versions, func(v *bundle.ModelVersion) bool { return v.ID == s.Version }); v != nil {
		g.Version = Weights{ID: v.ID, Key: v.Weights, Bytes: v.SizeBytes}
	}
	for _, a := range m.Adapters {
		if slices.Contains(s.Adapters, a.ID) {
			g.Adapters = append(g.Adapters, Weights{ID: a.ID, Key: a.Weights, Bytes: a.SizeBytes})
		}
	}
	return g
}

func find[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}

func largest(models []bundle.Model) int64 {
	var n int64
	for _, m := range models {
		for _, v := range m.Versions {
			n = max(n, v.SizeBytes)
		}
		for _, a := range m.Adapters {
			n = max(n, a.SizeBytes)
		}
	}
	return n
}

// roleOf returns r, or RoleBoth if it is empty.
func roleOf(r bundle.TargetRole) bundle.TargetRole {
	if r == "" {
		return bundle.RoleBoth
	}
	return r
}

// loaded reports whether the reported version is that of the goal.
func (g *Goal) loaded(r *ports.LoadReport) bool {
	return r.Model == g.Model && r.Version == g.Version.ID
}

func (g *Goal) inRole(r *ports.LoadReport) bool {
	return roleOf(bundle.TargetRole(r.Role)) == g.Role
}

// needsDrain reports whether reaching the goal requires a drain.
func (g *Goal) needsDrain(r *ports.LoadReport) bool { return !g.loaded(r) || !g.inRole(r) }

// missingAdapter returns the first adapter that is not loaded, or nil.
func (g *Goal) missingAdapter(r *ports.LoadReport) *Weights {
	return find(g.Adapters, func(a *Weights) bool { return !slices.Contains(r.Adapters, a.ID) })
}
