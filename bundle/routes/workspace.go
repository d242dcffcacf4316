package routes

import (
	"crypto/sha256"
	"slices"
)

// MaxKeyBytes bounds a workspace key. A longer one belongs to no workspace.
const MaxKeyBytes = 512

// KeyDigest is the first half of the SHA-256 of a workspace key. It is used wherever the key
// itself isn't needed. No key has the zero value.
type KeyDigest [16]byte

// DigestKey returns the digest of a key as the caller sends it. It is zero for a key that is
// empty or longer than MaxKeyBytes.
func DigestKey(key string) KeyDigest {
	if key == "" || len(key) > MaxKeyBytes {
		return KeyDigest{}
	}
	var text [MaxKeyBytes]byte
	sum := sha256.Sum256(text[:copy(text[:], key)])
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Unit says what a workspace's limit counts.
type Unit uint8

const (
	// Requests counts each request as one.
	Requests Unit = iota
	// Tokens counts the tokens of the prompt and the most that the answer may have.
	Tokens
)

// Workspace is a set of callers that share keys, a priority, allowed regions and a limit.
type Workspace struct {
	Name string
	// Keys identify its callers. A workspace without keys has no callers.
	Keys []KeyDigest
	// HasPriority is set if Priority overrides that of the route.
	HasPriority bool
	Priority    int
	// Regions are the regions that may serve it; empty means all.
	Regions []string
	Limit   RateLimit
}

// RateLimit bounds what all instances together admit for a workspace.
type RateLimit struct {
	Unit Unit
	// Rate is in units per second, 0 for no limit. Burst is in units.
	Rate, Burst float64
	// PlainTokens is the cost in tokens of a request that doesn't state its tokens.
	PlainTokens float64
}

// Cost returns the cost of a request in units of the limit. prompt and output are its tokens,
// which count only if counted is set: the request states them.
func (l *RateLimit) Cost(prompt, output int, counted bool) float64 {
	switch {
	case l.Unit == Requests:
		return 1
	case counted:
		return float64(prompt) + float64(output)
	}
	return l.PlainTokens
}

// Allows reports whether a region may serve the workspace. w is nil for anonymous callers,
// whom each region may serve.
func (w *Workspace) Allows(region string) bool {
	return w == nil || len(w.Regions) == 0 || slices.Contains(w.Regions, region)
}

// Rank returns the priority of the workspace's requests on a route. w is nil for anonymous
// callers, who have that of the route.
func (w *Workspace) Rank(r *Route) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}

// HasNoRegion reports whether no region may serve the workspace's requests on a route. w may
// be nil.
func (w *Workspace) HasNoRegion(r *Route) bool {
	return w != nil && len(w.Regions) > 0 && len(r.Regions) > 0 && !slices.ContainsFunc(w.Regions, r.Allows)
}

func (w *Workspace) equal(o *Workspace) bool {
	return w.Name == o.Name && w.HasPriority == o.HasPriority && w.Priority == o.Priority && w.Limit == o.Limit &&
		slices.Equal(w.Keys, o.Keys) && slices.Equal(w.Regions, o.Regions)
}

// workspaces looks up workspaces by key and name. It is read-only.
type workspaces struct {
	list   []Workspace
	byKey  map[KeyDigest]*Workspace
	byName map[string]*Workspace
}

// indexWorkspaces makes the index of a list. It returns before if the list is equal to that
// of before, which may be nil.
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

// Workspace returns the workspace that has a key, or nil.
func (x *Index) Workspace(key KeyDigest) *Workspace {
	if x.workspaces == nil {
		return nil
	}
	return x.workspaces.byKey[key]
}

// WorkspaceByName returns the workspace of this name, or nil.
func (x *Index) WorkspaceByName(name string) *Workspace {
	if x.workspaces == nil {
		return nil
	}
	return x.workspaces.byName[name]
}
