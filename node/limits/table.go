package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/ports"
)

// Table holds the shares of one instance and the partitions that it owns. It does
// no input or output and is not safe for concurrent use.
type Table struct {
	self     string
	lookup   limit.Lookup
	limiters [Partitions]*limit.Limiter
	owners   [Partitions]string
	owned    [Partitions]*ownedPartition
	// pending are the workspaces of the reports whose answers are still accepted.
	pending map[reportKey][]string
}

// reportKey identifies a report of a partition.
type reportKey struct {
	partition uint8
	number    uint64
}

// maxPendingReports is the number of reports of a partition whose answers may
// arrive out of order.
const maxPendingReports = 4

// OwnerReport is a report and the owner to send it to.
type OwnerReport struct {
	Owner  string
	Report Report
}

// NewTable returns the Table of an instance. lookup returns the region's part of a
// limit, with a burst of two seconds.
func NewTable(self string, lookup limit.Lookup) *Table {
	b := &Table{self: self, lookup: lookup, pending: map[reportKey][]string{}}
	for i := range b.limiters {
		b.limiters[i] = limit.NewLimiter(lookup, 1, Lease)
	}
	return b
}

// SetMembers replaces the live instances of the region and their incarnations. A
// partition that becomes this instance's starts without state, also if it was this
// instance's before: another owner may have granted shares in the meantime.
func (b *Table) SetMembers(now time.Time, members, incarnations []string) {
	b.owners = Owners(members)
	for i, owner := range b.owners {
		b.limiters[i].SetInstances(len(members))
		switch {
		case owner != b.self:
			b.owned[i] = nil
		case b.owned[i] == nil:
			b.owned[i] = newOwnedPartition(now, b.lookup, incarnations)
		default:
			b.owned[i].allocator.SetInstances(now, incarnations)
		}
	}
}

// Consume consumes one request and the tokens of a workspace's share if requests is
// above 0, else the tokens only. RetryAfter is set if it is refused.
func (b *Table) Consume(now time.Time, workspace string, requests, tokens float64) ports.LimitDecision {
	l := b.limiters[PartitionOf(workspace)]
	var allowed bool
	var retryAfter time.Duration
	if requests > 0 {
		allowed, retryAfter = l.Consume(now, workspace, tokens)
	} else {
		allowed, retryAfter = l.ConsumeTokens(now, workspace, tokens)
	}
	return ports.LimitDecision{Allowed: allowed, RetryAfter: retryAfter}
}

// Len returns the number of limits in use at this instance.
func (b *Table) Len() int {
	n := 0
	for _, l := range b.limiters {
		n += l.Len()
	}
	return n
}

// Reports returns the reports to all owners, including this instance, sorted by
// owner. It is called once per ReportInterval.
func (b *Table) Reports(now time.Time, incarnation string) []OwnerReport {
	parts := map[string][]PartitionReport{}
	for i, l := range b.limiters {
		number, demands := l.Report(now)
		p := PartitionReport{Index: uint8(i), Number: number, Rows: rowsOf(demands)}
		parts[b.owners[i]] = append(parts[b.owners[i]], p)
		delete(b.pending, reportKey{p.Index, number - min(number, maxPendingReports)})
		if len(p.Rows) > 0 {
			b.pending[reportKey{p.Index, number}] = workspacesOf(p.Rows)
		}
	}
	delete(parts, "")
	var reports []OwnerReport
	for owner, p := range parts {
		reports = append(reports, OwnerReport{Owner: owner, Report: Report{Incarnation: incarnationHash(incarnation), Partitions: p}})
	}
	slices.SortFunc(reports, func(x, y OwnerReport) int { return cmp.Compare(x.Owner, y.Owner) })
	return reports
}

func workspacesOf(rows []Row) []string {
	var names []string
	for _, r := range rows {
		names = append(names, r.Workspace)
	}
	return names
}

// HandleReport answers the report of an instance. It omits the partitions that this
// instance doesn't own, as views may differ. It returns an error for an unknown
// incarnation and for malformed values.
func (b *Table) HandleReport(now time.Time, incarnation string, r Report) (Answer, error) {
	if r.Incarnation != incarnationHash(incarnation) {
		return Answer{}, errUnknownIncarnation
	}
	var a Answer
	for _, p := range r.Partitions {
		if p.Index >= Partitions {
			return Answer{}, errMalformedReport
		}
		if b.owned[p.Index] == nil {
			continue
		}
		shares, ok, err := b.owned[p.Index].report(now, incarnation, p)
		if err != nil {
			return Answer{}, err
		}
		if ok && len(shares.Rows) > 0 {
			a.Partitions = append(a.Partitions, shares)
		}
	}
	return a, nil
}

// ApplyShares applies an owner's answer. Without one the shares in use last until
// their leases end, and the floors apply after that.
func (b *Table) ApplyShares(now time.Time, a Answer) {
	for _, p := range a.Partitions {
		workspaces, asked := b.pending[reportKey{p.Index, p.Number}]
		if !asked {
			continue
		}
		delete(b.pending, reportKey{p.Index, p.Number})
		b.limiters[p.Index].ApplyShares(now, p.Number, sharesOf(workspaces, p.Rows))
	}
}

// Sweep removes the unused limits of the owned partitions. It is called about once
// per Lease.
func (b *Table) Sweep(now time.Time) {
	for _, o := range b.owned {
		if o != nil {
			o.allocator.Sweep(now)
		}
	}
}
