package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
	"github.com/gullhaven/gullhaven/ports"
)

// Book holds the shares of one instance and the parts that it owns. It has no
// input or output and is not safe for several goroutines.
type Book struct {
	self     string
	lookup   limit.Lookup
	limiters [Partitions]*limit.Limiter
	owners   [Partitions]string
	owned    [Partitions]*owned
	// asked are the workspaces of reports whose answer is still taken.
	asked map[question][]string
}

// question names a report of a part.
type question struct {
	part   uint8
	number uint64
}

// maxUnanswered is how many reports of a part may be answered out of turn.
const maxUnanswered = 4

// Addressed is a report and whom it is for.
type Addressed struct {
	Owner  string
	Report Report
}

// NewBook makes the Book of an instance. lookup gives the region's part of a
// limit, with a burst of two seconds.
func NewBook(self string, lookup limit.Lookup) *Book {
	b := &Book{self: self, lookup: lookup, asked: map[question][]string{}}
	for i := range b.limiters {
		b.limiters[i] = limit.NewLimiter(lookup, 1, Lease)
	}
	return b
}

// SetMembers tells the live instances of the region and their lives. A part
// that comes to this instance starts anew, one that came back too: somebody else
// may have granted in the meantime.
func (b *Book) SetMembers(now time.Time, members, lives []string) {
	b.owners = Owners(members)
	for i, owner := range b.owners {
		b.limiters[i].SetInstances(len(members))
		switch {
		case owner != b.self:
			b.owned[i] = nil
		case b.owned[i] == nil:
			b.owned[i] = newOwned(now, b.lookup, lives)
		default:
			b.owned[i].allocator.SetInstances(now, lives)
		}
	}
}

// Take spends requests or tokens of a workspace's share.
func (b *Book) Take(now time.Time, workspace string, requests, tokens float64) ports.LimitAnswer {
	l := b.limiters[PartitionOf(workspace)]
	var ok bool
	var wait time.Duration
	if requests > 0 {
		ok, wait = l.Take(now, workspace, tokens)
	} else {
		ok, wait = l.TakeTokens(now, workspace, tokens)
	}
	return ports.LimitAnswer{OK: ok, RetryAfter: wait}
}

// Len is the number of limits in use here.
func (b *Book) Len() int {
	n := 0
	for _, l := range b.limiters {
		n += l.Len()
	}
	return n
}

// Reports returns what to ask each owner, this instance included, in the order
// of their names. It is called once in a ReportInterval.
func (b *Book) Reports(now time.Time, life string) []Addressed {
	parts := map[string][]Part{}
	for i, l := range b.limiters {
		number, demands := l.Report(now)
		p := Part{Index: uint8(i), Number: number, Rows: rowsOf(demands)}
		parts[b.owners[i]] = append(parts[b.owners[i]], p)
		delete(b.asked, question{p.Index, number - min(number, maxUnanswered)})
		if len(p.Rows) > 0 {
			b.asked[question{p.Index, number}] = workspacesOf(p.Rows)
		}
	}
	delete(parts, "")
	var reports []Addressed
	for owner, p := range parts {
		reports = append(reports, Addressed{Owner: owner, Report: Report{Life: lifeHash(life), Parts: p}})
	}
	slices.SortFunc(reports, func(x, y Addressed) int { return cmp.Compare(x.Owner, y.Owner) })
	return reports
}

func workspacesOf(rows []Row) []string {
	var names []string
	for _, r := range rows {
		names = append(names, r.Workspace)
	}
	return names
}

// Answer answers the report of an instance. Parts that this instance does not
// own are left out: views differ for a while.
func (b *Book) Answer(now time.Time, life string, r Report) (Answer, error) {
	if r.Life != lifeHash(life) {
		return Answer{}, errLife
	}
	var a Answer
	for _, p := range r.Parts {
		if p.Index >= Partitions {
			return Answer{}, errRow
		}
		if b.owned[p.Index] == nil {
			continue
		}
		shares, ok, err := b.owned[p.Index].report(now, life, p)
		if err != nil {
			return Answer{}, err
		}
		if ok && len(shares.Rows) > 0 {
			a.Parts = append(a.Parts, shares)
		}
	}
	return a, nil
}

// Granted takes an owner's answer. Without one the shares in use last until
// their leases end, and floors hold after that.
func (b *Book) Granted(now time.Time, a Answer) {
	for _, p := range a.Parts {
		workspaces, asked := b.asked[question{p.Index, p.Number}]
		if !asked {
			continue
		}
		delete(b.asked, question{p.Index, p.Number})
		b.limiters[p.Index].ApplyShares(now, p.Number, sharesOf(workspaces, p.Rows))
	}
}

// Sweep forgets limits of the owned parts that nobody uses. It is called about
// once in a Lease.
func (b *Book) Sweep(now time.Time) {
	for _, o := range b.owned {
		if o != nil {
			o.allocator.Sweep(now)
		}
	}
}
