package quota

import (
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Divider divides limits among their holders, at the leader and for one term. It does no input
// or output and is not safe for concurrent use.
type Divider struct {
	allocator *limit.Allocator
	// limits are the newest reported limit of each workspace.
	limits  map[string]reportedLimit
	sweepAt time.Time
	// awaited are the instances that may hold a previous leader's shares and have not reported
	// in this term.
	awaited map[string]bool
	// lastReportAt is when each instance last reported in this term, which began at startedAt.
	lastReportAt map[string]time.Time
	startedAt    time.Time
}

type reportedLimit struct {
	version uint64
	limit   limit.Limit
	at      time.Time
}

// limitRetention is how long a limit is kept after its last report: longer than any share lasts.
const limitRetention = 10 * Lease

// NewDivider returns the Divider of a term. Each of regions has an equal part of a limit as its
// floor. known are all instances that may hold shares granted by a previous leader: once each
// of them has reported in this term, all shares in force are known.
func NewDivider(now time.Time, term uint64, regions, known []string) *Divider {
	d := &Divider{limits: map[string]reportedLimit{}, awaited: map[string]bool{}, lastReportAt: map[string]time.Time{}, startedAt: now, sweepAt: now.Add(Lease)}
	d.allocator = limit.NewAllocator(now, d.lookup, Lease, regions)
	// Sequence numbers of different terms must not overlap: a term grants fewer than 2^40 shares.
	const grantsOfTerm = 40
	d.allocator.Resume(term << grantsOfTerm)
	d.allocator.SetProportional()
	for _, id := range known {
		d.awaited[id] = true
	}
	return d
}

func (d *Divider) lookup(id limit.ID) (limit.Limit, bool) {
	r, ok := d.limits[id.Workspace]
	return r.limit, ok && id.Resource == limit.Tokens
}

// Report handles the report of the instance from, and returns its shares.
func (d *Divider) Report(now time.Time, from string, r *Report) Answer {
	if !now.Before(d.sweepAt) {
		d.sweep(now)
	}
	demands := make([]limit.Demand, 0, len(r.Rows))
	for _, row := range r.Rows {
		d.recordLimit(now, &row)
		demands = append(demands, limit.Demand{
			ID: limit.ID{Workspace: row.Workspace, Resource: limit.Tokens}, Rate: row.Demand, Held: row.Held, Share: row.Share,
		})
	}
	d.recordReport(now, from)
	holder := limit.Holder{Instance: r.Region, Name: fmt.Sprintf("%s/%x", from, r.Incarnation)}
	shares := d.allocator.ReportOf(now, holder, r.Number, demands)
	a := Answer{Number: r.Number}
	for _, s := range shares {
		a.Grants = append(a.Grants, Grant{Workspace: s.ID.Workspace, Seq: s.Seq, Limit: s.Limit})
	}
	return a
}

// recordLimit keeps the newest limit of a workspace.
func (d *Divider) recordLimit(now time.Time, row *Row) {
	if row.Limit.Rate <= 0 {
		return
	}
	r := d.limits[row.Workspace]
	if row.Version >= r.version {
		r.version, r.limit = row.Version, row.Limit
	}
	r.at = now
	d.limits[row.Workspace] = r
}

// recordReport records that the shares of an instance are known: its earlier incarnations have
// ended.
func (d *Divider) recordReport(now time.Time, from string) {
	d.lastReportAt[from] = now
	if !d.awaited[from] {
		return
	}
	delete(d.awaited, from)
	if len(d.awaited) == 0 {
		d.allocator.EndGracePeriod(now)
	}
}

// silentAfter is the time without a report after which an instance no longer counts among those
// that may hold shares: long after its last share has ended.
const silentAfter = 20 * Lease

// Silent returns the instances of known that have not reported for longer than silentAfter, and
// forgets their reports.
func (d *Divider) Silent(now time.Time, known []string) []string {
	var out []string
	for _, id := range known {
		at, ok := d.lastReportAt[id]
		if !ok {
			at = d.startedAt
		}
		if now.Sub(at) > silentAfter {
			out = append(out, id)
			delete(d.lastReportAt, id)
		}
	}
	return out
}

func (d *Divider) sweep(now time.Time) {
	d.sweepAt = now.Add(Lease / 3)
	d.allocator.Sweep(now)
	for name, r := range d.limits {
		if now.Sub(r.at) > limitRetention {
			delete(d.limits, name)
		}
	}
}

// InGracePeriod reports whether unknown shares of a previous leader may still be in use.
func (d *Divider) InGracePeriod(now time.Time) bool { return d.allocator.InGracePeriod(now) }
