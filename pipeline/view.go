package pipeline

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/route"
)

// View is a bundle indexed for the request path of one region. It is immutable;
// each bundle has a View of its own.
type View struct {
	// Bundle is the source of the view.
	Bundle *bundle.Bundle
	// Digest of the bundle; empty if NewView was given none.
	Digest bundle.Digest
	// Region of this instance.
	Region string

	keys     map[[sha256.Size]byte]*bundle.Workspace
	byID     map[string]*bundle.Workspace
	services map[string]*bundle.Service
	targets  map[route.TargetID]*bundle.Target
	regions  map[string]*bundle.Region
	// restrictedModels says that the residency of some model service excludes
	// this region.
	restrictedModels bool
}

// NewView indexes a bundle for a region. The bundle must be valid (package
// bundle) and must not change afterwards.
func NewView(b *bundle.Bundle, d bundle.Digest, region string) *View {
	v := &View{
		Bundle:   b,
		Digest:   d,
		Region:   region,
		keys:     make(map[[sha256.Size]byte]*bundle.Workspace, len(b.Workspaces)),
		byID:     make(map[string]*bundle.Workspace, len(b.Workspaces)),
		services: make(map[string]*bundle.Service, len(b.Services)),
		targets:  make(map[route.TargetID]*bundle.Target, len(b.Targets)),
		regions:  make(map[string]*bundle.Region, len(b.Regions)),
	}
	for i := range b.Workspaces {
		v.addKeys(&b.Workspaces[i])
		v.byID[b.Workspaces[i].ID] = &b.Workspaces[i]
	}
	for i := range b.Services {
		s := &b.Services[i]
		v.services[s.ID] = s
		if s.Kind == bundle.KindModel && !regionAllowed(s.Residency, region) {
			v.restrictedModels = true
		}
	}
	for i := range b.Targets {
		v.targets[route.TargetID(b.Targets[i].ID)] = &b.Targets[i]
	}
	for i := range b.Regions {
		v.regions[b.Regions[i].ID] = &b.Regions[i]
	}
	return v
}

func (v *View) addKeys(w *bundle.Workspace) {
	for _, text := range w.KeyHashes {
		var sum [sha256.Size]byte
		if n, err := hex.Decode(sum[:], []byte(text)); err == nil && n == len(sum) {
			v.keys[sum] = w
		}
	}
}

// regionAllowed reports whether a residency list allows a region; an empty list
// allows all.
func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Workspace returns the workspace of an API key; nil if there is none.
func (v *View) Workspace(key string) *bundle.Workspace { return v.keys[sha256.Sum256([]byte(key))] }

// WorkspaceByID returns a workspace; nil if there is none.
func (v *View) WorkspaceByID(id string) *bundle.Workspace { return v.byID[id] }

// Service returns a service; nil if there is none.
func (v *View) Service(id string) *bundle.Service { return v.services[id] }

// Target returns a target; nil if there is none.
func (v *View) Target(id route.TargetID) *bundle.Target { return v.targets[id] }

// Model returns the model service and the adapter that a request names as
// "service" or "service:adapter". s is nil if either doesn't exist.
func (v *View) Model(name string) (s *bundle.Service, adapter string) {
	id, adapter, _ := strings.Cut(name, ":")
	s = v.services[id]
	if s == nil || s.Kind != bundle.KindModel {
		return nil, ""
	}
	if adapter != "" && !slices.Contains(s.Adapters, adapter) {
		return nil, ""
	}
	return s, adapter
}

// Models returns the names that a request may give as its model, sorted.
func (v *View) Models() []string {
	var names []string
	for _, s := range v.services {
		if s.Kind != bundle.KindModel {
			continue
		}
		names = append(names, s.ID)
		for _, a := range s.Adapters {
			names = append(names, s.ID+":"+a)
		}
	}
	slices.Sort(names)
	return names
}

// ClaimsHome returns the region that keeps a workspace's claims.
func (v *View) ClaimsHome(w *bundle.Workspace) string {
	if r := v.regions[w.Home]; r != nil && r.ClaimsHome != "" {
		return r.ClaimsHome
	}
	return w.Home
}

// TargetSpecs returns the targets of this region as routing takes them. Their
// state is Warm or Leaving, as in the bundle; the host sets what it observes.
func (v *View) TargetSpecs() []route.TargetSpec {
	var specs []route.TargetSpec
	for i := range v.Bundle.Targets {
		t := &v.Bundle.Targets[i]
		if t.Region != v.Region {
			continue
		}
		specs = append(specs, v.targetSpec(t))
	}
	return specs
}

func (v *View) targetSpec(t *bundle.Target) route.TargetSpec {
	spec := route.TargetSpec{
		ID:            route.TargetID(t.ID),
		Service:       t.Service,
		Region:        t.Region,
		Zone:          t.Zone,
		Slots:         t.Slots,
		PrefillRate:   t.PrefillTokensPerSecond,
		DecodeRate:    t.DecodeTokensPerSecond,
		CostPerSecond: t.CostPerSecond,
	}
	if t.State == bundle.TargetLeaving {
		spec.State = route.Leaving
	}
	if s := v.services[t.Service]; s != nil {
		spec.Adapters = s.Adapters
	}
	return spec
}

// Links returns the links to this region's neighbours. reachable reports whether
// a region can be reached now.
func (v *View) Links(reachable func(region string) bool) []route.Link {
	r := v.regions[v.Region]
	if r == nil {
		return nil
	}
	links := make([]route.Link, 0, len(r.Neighbours))
	for _, n := range r.Neighbours {
		links = append(links, route.Link{
			Region:    n.Region,
			OneWay:    time.Duration(n.OneWayMillis * float64(time.Millisecond)),
			MaxShare:  n.MaxShare,
			Reachable: reachable(n.Region),
		})
	}
	return links
}
