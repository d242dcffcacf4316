package limits

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// owned is a part that this instance owns.
//
// Instances take only shares with higher numbers than the one they use, and an
// Allocator counts from 1. A new owner would be ignored until it had passed the
// numbers of the last: all would stay on their floors for as long as that had
// worked. So numbers are sent with base added, which is above all that were
// reported. Where base is raised later, shares in use look like none to the
// Allocator: it goes on counting them as out until their leases end, and sets a
// floor aside for the holder, both on the safe side.
type owned struct {
	allocator *limit.Allocator
	// quietUntil: until then nothing is granted, so that what the last owner
	// granted has ended. Instances go on with its shares and then on floors.
	quietUntil time.Time
	base       uint64
	// issued is the highest number of the Allocator so far.
	issued uint64
}

func newOwned(now time.Time, lookup limit.Lookup, lives []string) *owned {
	return &owned{allocator: limit.NewAllocator(now, lookup, Lease, lives), quietUntil: now.Add(Lease)}
}

// report takes the demands of an instance. ok is false for one that is unknown
// or was overtaken.
func (o *owned) report(now time.Time, life string, p PartitionReport) (PartitionShares, bool, error) {
	demands, err := demandsOf(p.Rows)
	if err != nil {
		return PartitionShares{}, false, err
	}
	for _, d := range demands {
		if d.Held > o.base+o.issued {
			o.base = d.Held
		}
	}
	for i := range demands {
		demands[i].Held -= min(demands[i].Held, o.base)
	}
	shares := o.allocator.Report(now, life, p.Number, demands)
	if shares == nil {
		return PartitionShares{}, false, nil
	}
	for i := range shares {
		o.issued = max(o.issued, shares[i].Seq)
		shares[i].Seq += o.base
	}
	if now.Before(o.quietUntil) {
		shares = nil
	}
	return PartitionShares{Index: p.Index, Number: p.Number, Rows: shareRows(p.Rows, shares)}, true, nil
}
