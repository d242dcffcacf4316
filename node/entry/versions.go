package entry

import (
	"maps"
	"slices"
	"time"
)

// versionMemory is how long a software version counts after its last target is gone from the list: a
// stream that it began may still be taken up.
const versionMemory = 2 * time.Minute

// versionHistory holds the software versions of the targets of each service that were listed recently,
// in any region.
type versionHistory struct {
	// lastListed is when each version was last listed, by service.
	lastListed map[string]map[string]time.Time
	// since is since when the list was never older than maxListGap, and readAt when it was read last.
	since, readAt time.Time
}

// maxListGap is the age of a list from which on versions may have come and gone unseen: several times the usual
// age.
const maxListGap = 5 * time.Second

// observe records when the list was read. A gap counts also if nothing was observed in it.
func (v *versionHistory) observe(now, readAt time.Time) {
	if v.since.IsZero() || now.Sub(readAt) >= maxListGap || readAt.Sub(v.readAt) >= maxListGap {
		v.since = now
	}
	v.readAt = readAt
}

// record records the versions that are listed now.
func (v *versionHistory) record(now time.Time, service string, versions ...string) {
	for _, version := range versions {
		if version == "" {
			continue
		}
		if v.lastListed == nil {
			v.lastListed = map[string]map[string]time.Time{}
		}
		if v.lastListed[service] == nil {
			v.lastListed[service] = map[string]time.Time{}
		}
		v.lastListed[service][version] = now
	}
}

// recent returns the versions of each service that were listed within versionMemory, and forgets the
// others.
func (v *versionHistory) recent(now time.Time) map[string][]string {
	out := map[string][]string{}
	for service, versions := range v.lastListed {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) >= versionMemory })
		if len(versions) == 0 {
			delete(v.lastListed, service)
			continue
		}
		out[service] = slices.Sorted(maps.Keys(versions))
	}
	return out
}
