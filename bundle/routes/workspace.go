package routes

import (
	"crypto/sha256"
	"slices"
)

// MaxKeyBytes bounds a workspace's key; a longer one names nobody.
const MaxKeyBytes = 512

// KeyDigest stands for a workspace's key wherever the key itself is not needed: the first
// half of its SHA-256. No key has the zero value.
type KeyDigest [16]byte

// DigestKey is the digest of a key as its caller sends it; zero for one that cannot be.
func DigestKey(key string) KeyDigest {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyDigest{}
	}
	var text [MaxKeyBytes]byte
	sum := sha256.Sum256(text[:copy(text[:], key)])
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Unit is what a workspace's limit counts.
type Unit uint8

const (
	// Requests count one each.
	Requests Unit = iota
	// Tokens are those of the prompt and the most that the answer may have.
	Tokens
)

// Workspace is a set of callers that share keys, a priority, homes and a limit.
type Workspace struct {
	Name string
	// Keys of its callers; one without keys is nobody's.
	Keys []KeyDigest
	// Ranked says that Priority goes before that of a route.
	HasPriority   bool
	Priority int
	// Homes are the regions that may serve it; empty means all.
	Regions []string
	Limit RateLimit
}

// UseLimit bounds what all instances together let through for a workspace.
type RateLimit struct {
	Unit Unit
	// Rate is in units per second, 0 for no limit; Burst in units.
	Rate, Burst float64
	// PlainTokens is what a request counts that does not tell its tokens.
	PlainTokens float64
}

// Cost is what a request counts; counted says that it tells its tokens.
func (l *RateLimit) Cost(prompt, output int, counted bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case counted:
		return float64(prompt) + float64(output)
	}
	return l.PlainTokens
}

// Allows reports whether a region may serve the workspace. Nobody may be nil.
func (w *Workspace) Allows(region string) bool {
	return w == nil || len(w.Regions) == 0 || slices.Contains(w.Regions, region)
}

// Rank is the rank of the workspace's requests on a route. Nobody may be nil.
func (w *Workspace) Rank(r *Route) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}

// Homeless reports whether no region may serve the workspace's requests on a route.
func (w *Workspace) HasNoRegion(r *Route) bool {
	return w != nil && len(w.Regions) > 0 && len(r.Regions) > 0 && !slices.ContainsFunc(w.Regions, r.Allows)
}

func (w *Workspace) equal(o *Workspace) bool {
	return w.Name == o.Name && w.HasPriority == o.HasPriority && w.Priority == o.Priority && w.Limit == o.Limit &&
		slices.Equal(w.Keys, o.Keys) && slices.Equal(w.Regions, o.Regions)
}

// workspaces finds workspaces by key and name. It is read-only.
type workspaces struct {
	list   []Workspace
	byKey  map[KeyDigest]*Workspace
	byName map[string]*Workspace
}

// indexWorkspaces prepares a list; where it is the same as before that is used again.
func indexWorkspaces(list []Workspace, before *workspaces) *workspaces {
	same := func(a, b Workspace) bool { return a.equal(&b) }
	if before != nil && slices.EqualFunc(list, before.list, same) {
		return before
	}
	x := &workspaces{list: list, byKey: make(map[KeyDigest]*Workspace, len(list)), byName: make(map[string]*Workspace, len(list))}
	for i := range list {
		w := &list[i]
		x.byName[w.Name] = w
		for _, key := range w.Keys {
			x.byKey[key] = w
		}
	}
	return x
}

// Workspace returns the workspace that holds a key, or nil.
func (x *Index) Workspace(key KeyDigest) *Workspace {
	if x.workspaces == nil {
		return nil
	}
	return x.workspaces.byKey[key]
}

// WorkspaceNamed returns a workspace by name, or nil.
func (x *Index) WorkspaceByName(name string) *Workspace {
	if x.workspaces == nil {
		return nil
	}
	return x.workspaces.byName[name]
}
