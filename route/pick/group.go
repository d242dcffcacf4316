package pick

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// The targets of a service are divided into groups of a few, alike at all instances,
// and each prompt has a group by its shared parts. One entry instance decides for all
// about the targets of a group.
//
// What goes wrong without groups: the loads of the others are some hundred
// milliseconds old, as long as an engine takes to read a prompt, so with many entry
// instances each of them chooses as if by lot, and prompts wait behind each other at
// some engines while others are idle. The one that decides for a group knows what it
// has sent there itself.

// groupSize is how many targets a group has about: enough for one of them to be idle,
// and few enough for the parts of a prompt to stay at few, and for one instance to decide
// for them. Fewer leave engines of a group idle while those of another one are crowded.
const groupSize = 20

// divide puts the targets of a service in order and gives each its group.
func divide(list []*target) [][]*target {
	slices.SortFunc(list, func(a, b *target) int { return compareOrder(a.order, b.order, a.ID, b.ID) })
	groups := make([][]*target, groupsOf(len(list)))
	for k, t := range list {
		t.group = k % len(groups)
		groups[t.group] = append(groups[t.group], t)
	}
	return groups
}

func compareOrder(a, b uint64, idA, idB string) int {
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(idA, idB))
}

// orderOf is the place of a target among those of its service, alike at all instances.
func orderOf(id string) uint64 { return weight(0, id) }

// Group names a group of the targets of a service in the own region.
type Group struct {
	Service string `cbor:"1,keyasint"`
	Number  int    `cbor:"2,keyasint,omitempty"`
}

// Division tells the group of each target of a service, as all instances that know the same
// targets divide them.
func AssignGroups(service string, ids []string) map[string]Group {
	order := make(map[string]uint64, len(ids))
	for _, id := range ids {
		order[id] = orderOf(id)
	}
	sorted := slices.Clone(ids)
	slices.SortFunc(sorted, func(a, b string) int { return compareOrder(order[a], order[b], a, b) })
	groups := groupsOf(len(ids))
	out := make(map[string]Group, len(ids))
	for k, id := range sorted {
		out[id] = Group{Service: service, Number: k % groups}
	}
	return out
}

func groupsOf(targets int) int { return max(1, (targets+groupSize/2)/groupSize) }

// groupName names a group in rendezvous.
func groupName(service string, group int) string { return service + "/" + strconv.Itoa(group) }

// groupOf is the group of a call: of its shared prompt parts, or by lot where it has none.
func groupOf(targets int, chain []link, lot uint64) int {
	groups := groupsOf(targets)
	if len(chain) < 2 {
		return int(lot % uint64(groups))
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

// group are the targets of a call's group.
func (p *Pool) group(service string, chain []link, lot uint64) []*target {
	return p.groups[service][groupOf(len(p.byService[service]), chain, lot)]
}

// Decider is the id of the entry instance that decides for a call; this one's own where no
// others are there. The groups of a plain service have deciders, too: with few slots at each
// target, many instances that choose by loads some hundred milliseconds old meet at the same
// ones. One decider for all of them would be asked for each request of the region.
func (p *Pool) Owner(c Call) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner(c.Service, groupOf(len(p.byService[c.Service]), c.chain(), c.SpreadKey))
}

// Duties are the groups whose loads this instance needs: those it decides for, and those it
// would decide for next.
func (p *Pool) WatchedGroups() []Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.duties == nil {
		p.duties = p.findDuties()
	}
	return p.duties
}

func (p *Pool) findDuties() []Group {
	out := []Group{}
	for service, list := range p.byService {
		for g := range groupsOf(len(list)) {
			first, second := ownersAmong(p.snapshot.Entries, service, g)
			if first == p.self || second == p.self {
				out = append(out, Group{Service: service, Number: g})
			}
		}
	}
	return out
}

// owner is the entry instance that decides for a group; alike at all that know the
// same entry instances.
func (p *Pool) owner(service string, group int) string {
	if best := ownerAmong(p.snapshot.Entries, service, group); best != "" {
		return best
	}
	return p.self
}

// ownerAmong is the first of some entry instances by rendezvous; empty for none.
func ownerAmong(ids []string, service string, group int) string {
	first, _ := ownersAmong(ids, service, group)
	return first
}

// ownersAmong are the first and the second of some entry instances by rendezvous; empty for
// none.
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

// home is the target of a prompt's group that all instances prefer for its shared parts.
func (p *Pool) home(group []*target, chain []link) *target {
	if len(chain) < 2 {
		return nil
	}
	// The last part is the request's own.
	key := chain[len(chain)-2].key
	var best *target
	var most uint64
	for _, t := range group {
		if p.leaving(t) {
			continue
		}
		if w := weight(key, t.ID); best == nil || w > most {
			best, most = t, w
		}
	}
	return best
}

// weight is the rendezvous weight of a name for a key, equal at all instances.
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
