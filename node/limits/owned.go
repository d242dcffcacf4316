package limits

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// ownedPartition is a partition that this instance owns.
//
// Instances accept only shares with a higher number than the one in use, and an
// Allocator counts from 1. Without an offset, the shares of a new owner would be
// ignored until it had passed the numbers of the previous one: all instances would
// stay on their floors for as long as that one had worked. So base is added to the
// numbers sent, and raised so that they exceed all that were reported. If base is
// raised later, the Allocator sees no share in use for a holder that has one: it goes
// on counting that share as granted until its lease ends, and also reserves a floor
// for the holder; both err on the safe side.
type ownedPartition struct {
	allocator *limit.Allocator
	// graceUntil is the time before which nothing is granted, so that the shares
	// of the previous owner have ended. Instances use those and then their floors.
	graceUntil time.Time
	base       uint64
	// issued is the highest share number of the Allocator so far, without base.
	issued uint64
}

func newOwnedPartition(now time.Time, lookup limit.Lookup, incarnations []string) *ownedPartition {
	return &ownedPartition{allocator: limit.NewAllocator(now, lookup, Lease, incarnations), graceUntil: now.Add(Lease)}
}

// report handles the demands of an incarnation and returns its shares. ok is false
// if the incarnation is unknown or a later report has arrived before.
func (o *ownedPartition) report(now time.Time, incarnation string, p PartitionReport) (PartitionShares, bool, error) {
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
	shares := o.allocator.Report(now, incarnation, p.Number, demands)
	if shares == nil {
		return PartitionShares{}, false, nil
	}
	for i := range shares {
		o.issued = max(o.issued, shares[i].Seq)
		shares[i].Seq += o.base
	}
	if now.Before(o.graceUntil) {
		shares = nil
	}
	return PartitionShares{Index: p.Index, Number: p.Number, Rows: shareRows(p.Rows, shares)}, true, nil
}
