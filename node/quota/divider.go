package quota

import (
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Divider divides limits over their holders at the leader of one term. It has no input or
// output and a single owner.
type Divider struct {
	allocator *limit.Allocator
	// limits are those that holders told, the newest of each workspace.
	limits  map[string]told
	sweepAt time.Time
	// awaited are the holders that may hold a predecessor's shares and have not reported yet.
	awaited map[string]bool
	// heardAt is when each holder reported last in this term, which began at since.
	heardAt map[string]time.Time
	since   time.Time
}

type told struct {
	version uint64
	limit   limit.Limit
	at      time.Time
}

// limitLife is how long a limit is remembered after the last report of it: longer than any
// share.
const limitLife = 10 * Lease

// NewDivider makes the Divider of a term, which follows that of an earlier one. regions each
// have an equal part of a limit to fall back to. known are all that may hold shares of a
// predecessor: once each of them has reported in this term nothing is left unknown.
func NewDivider(now time.Time, term uint64, regions, known []string) *Divider {
	d := &Divider{limits: map[string]told{}, awaited: map[string]bool{}, heardAt: map[string]time.Time{}, since: now, sweepAt: now.Add(Lease)}
	d.allocator = limit.NewAllocator(now, d.lookup, Lease, regions)
	// The sequences of terms do not meet: a term grants fewer shares than this.
	const grantsOfTerm = 40
	d.allocator.Resume(term << grantsOfTerm)
	d.allocator.SetProportional()
	for _, id := range known {
		d.awaited[id] = true
	}
	return d
}

func (d *Divider) lookup(id limit.ID) (limit.Limit, bool) {
	t, ok := d.limits[id.Workspace]
	return t.limit, ok && id.Resource == limit.Tokens
}

// Report takes a holder's report.
func (d *Divider) Report(now time.Time, from string, r *Report) Answer {
	if !now.Before(d.sweepAt) {
		d.sweep(now)
	}
	demands := make([]limit.Demand, 0, len(r.Rows))
	for _, row := range r.Rows {
		d.tell(now, &row)
		demands = append(demands, limit.Demand{
			ID: limit.ID{Workspace: row.Workspace, Resource: limit.Tokens}, Rate: row.Demand, Held: row.Held, Share: row.Share,
		})
	}
	d.heard(now, from)
	holder := limit.Holder{Instance: r.Region, Name: fmt.Sprintf("%s/%x", from, r.Life)}
	shares := d.allocator.ReportOf(now, holder, r.Number, demands)
	a := Answer{Number: r.Number}
	for _, s := range shares {
		a.Grants = append(a.Grants, Grant{Workspace: s.ID.Workspace, Seq: s.Seq, Limit: s.Limit})
	}
	return a
}

// tell keeps the newest limit of a workspace.
func (d *Divider) tell(now time.Time, row *Row) {
	if row.Limit.Rate <= 0 {
		return
	}
	t := d.limits[row.Workspace]
	if row.Version >= t.version {
		t.version, t.limit = row.Version, row.Limit
	}
	t.at = now
	d.limits[row.Workspace] = t
}

// heard notes that what an instance holds is known: its earlier lives have ended.
func (d *Divider) heard(now time.Time, from string) {
	d.heardAt[from] = now
	if !d.awaited[from] {
		return
	}
	delete(d.awaited, from)
	if len(d.awaited) == 0 {
		d.allocator.EndGracePeriod(now)
	}
}

// goneAfter is the silence after which an instance is taken off those that may hold shares:
// long after its last share has ended.
const goneAfter = 20 * Lease

// Gone are those of known that may hold shares and have been silent for long.
func (d *Divider) Gone(now time.Time, known []string) []string {
	var out []string
	for _, id := range known {
		at, ok := d.heardAt[id]
		if !ok {
			at = d.since
		}
		if now.Sub(at) > goneAfter {
			out = append(out, id)
			delete(d.heardAt, id)
		}
	}
	return out
}

func (d *Divider) sweep(now time.Time) {
	d.sweepAt = now.Add(Lease / 3)
	d.allocator.Sweep(now)
	for name, t := range d.limits {
		if now.Sub(t.at) > limitLife {
			delete(d.limits, name)
		}
	}
}

// Quiet reports whether shares of a predecessor may be in use that are not known.
func (d *Divider) Quiet(now time.Time) bool { return d.allocator.InGracePeriod(now) }
