package pick

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The targets of a service are divided into small groups, identically at all instances. Each prompt
// maps to a group by its shared parts, and one entry instance, the group owner, chooses the targets
// of a group for the whole region.
//
// Without groups, each of many entry instances chooses by loads that are some hundred milliseconds
// old, about as long as an engine takes to prefill a prompt. The choices are then close to random:
// prompts queue behind each other at some engines while others are idle. The group owner knows what
// it has sent to its group itself.

// groupSize is the approximate number of targets in a group: enough for one of them to be idle, few
// enough for a prompt's parts to stay at few targets and for one instance to choose for them.
// Smaller groups leave engines of one group idle while those of another are crowded.
const groupSize = 20

// splitIntoGroups sorts the targets of a service and assigns each its group.
func splitIntoGroups(list []*target) [][]*target {
	slices.SortFunc(list, func(a, b *target) int { return compareOrder(a.order, b.order, a.ID, b.ID) })
	groups := make([][]*target, groupCount(len(list)))
	for k, t := range list {
		t.group = k % len(groups)
		groups[t.group] = append(groups[t.group], t)
	}
	return groups
}

func compareOrder(a, b uint64, idA, idB string) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(idA, idB))
}

// orderOf is the sort key of a target within its service, the same at all instances.
func orderOf(id string) uint64 { return weight(0, id) }

// Group identifies a group of targets of a service in the own region.
type Group struct {
	Service string `cbor:"1,keyasint"`
	Number  int    `cbor:"2,keyasint,omitempty"`
}

// AssignGroups returns the group of each target ID of a service. Instances that know the same
// targets get the same result.
func AssignGroups(service string, ids []string) map[string]Group {
	order := make(map[string]uint64, len(ids))
	for _, id := range ids {
		order[id] = orderOf(id)
	}
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int { return compareOrder(order[a], order[b], a, b) })
	groups := groupCount(len(ids))
	out := make(map[string]Group, len(ids))
	for k, id := range sorted {
		out[id] = Group{Service: service, Number: k % groups}
	}
	return out
}

func groupCount(targets int) int { return max(1, (targets+groupSize/2)/groupSize) }

// groupName is the name of a group in rendezvous hashing.
func groupName(service string, group int) string { return service + "/" + strconv.Itoa(group) }

// groupOf returns the group number of a call, by its shared prompt parts, or by spreadKey if it has
// none.
func groupOf(targets int, chain []prefix, spreadKey uint64) int {
	groups := groupCount(targets)
	if len(chain) < 2 {
		return int(spreadKey % uint64(groups))
	}
	key := chain[len(chain)-2].key
	best, most := 0, uint64(0)
	for g := range groups {
		if w := weight(key, strconv.Itoa(g)); w > most {
			best, most = g, w
		}
	}
	return best
}

// Owner returns the ID of the entry instance that owns the call's group, or of this instance if no
// others are known. Groups of plain services have owners too: with few slots at each target, many
// instances that choose by loads some hundred milliseconds old pick the same targets. A single
// owner for a whole service would be asked for each of its requests in the region.
func (p *Pool) Owner(c Call) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groupOwner(c.Service, groupOf(len(p.byService[c.Service]), c.chain(), c.SpreadKey))
}

// WatchedGroups returns the groups whose loads this instance needs: those it owns and those it
// would own next. The caller must not modify the result.
func (p *Pool) WatchedGroups() []Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched == nil {
		p.watched = p.findWatchedGroups()
	}
	return p.watched
}

func (p *Pool) findWatchedGroups() []Group {
	out := []Group{}
	for service, list := range p.byService {
		for g := range groupCount(len(list)) {
			first, second := ownersAmong(p.snapshot.Entries, service, g)
			if first == p.self || second == p.self {
				out = append(out, Group{Service: service, Number: g})
			}
		}
	}
	return out
}

// groupOwner returns the entry instance that owns a group; all instances that know the same entry
// instances agree.
func (p *Pool) groupOwner(service string, group int) string {
	if best := ownerAmong(p.snapshot.Entries, service, group); best != "" {
		return best
	}
	return p.self
}

// ownerAmong returns the first of the entry instances by rendezvous hashing; empty if there are
// none.
func ownerAmong(ids []string, service string, group int) string {
	first, _ := ownersAmong(ids, service, group)
	return first
}

// ownersAmong returns the first and the second of the entry instances by rendezvous hashing; empty
// if there are none.
func ownersAmong(ids []string, service string, group int) (first, second string) {
	key := xxhash.Sum64String(groupName(service, group))
	most, next := uint64(0), uint64(0)
	for _, id := range ids {
		switch w := weight(key, id); {
		case w > most:
			first, second, most, next = id, first, w, most
		case w > next:
			second, next = id, w
		}
	}
	return first, second
}

// preferredTarget is the target of a group that all instances prefer for the prompt's shared parts;
// nil if the prompt has none.
func (p *Pool) preferredTarget(group []*target, chain []prefix) *target {
	if len(chain) < 2 {
		return nil
	}
	// The last part is unique to the request.
	key := chain[len(chain)-2].key
	var best *target
	var most uint64
	for _, t := range group {
		if p.draining(t) {
			continue
		}
		if w := weight(key, t.ID); best == nil || w > most {
			best, most = t, w
		}
	}
	return best
}

// weight is the rendezvous weight of a name for a key, the same at all instances.
func weight(key uint64, name string) uint64 {
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
