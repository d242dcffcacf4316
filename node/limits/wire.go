package limits

import (
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Report is what an instance asks an owner, for each part of that owner's, also
// those without demand: who says nothing counts as cut off and may be on its
// floor, which the owner would set aside for it.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Life is the hash of the life of the instance.
	Incarnation uint32
	Partitions  []PartitionReport
}

// Part is a report of one part.
type PartitionReport struct {
	_      struct{} `cbor:",toarray"`
	Index  uint8
	Number uint64
	Rows   []Row
}

// Row is the demand for one workspace: rates in units a second, and the numbers
// of the shares in use. Both zero is no demand.
type Row struct {
	_            struct{} `cbor:",toarray"`
	Workspace    string
	Requests     float32
	RequestsHeld uint64
	Tokens       float32
	TokensHeld   uint64
}

// Answer of an owner.
type Answer struct {
	_          struct{} `cbor:",toarray"`
	Partitions []PartitionShares
}

// PartShares answer a Part, a row for a row in the same order: names are not
// sent again, nor the burst and the lease, which follow.
type PartitionShares struct {
	_      struct{} `cbor:",toarray"`
	Index  uint8
	Number uint64
	Rows   []ShareRow
}

// ShareRow are the shares of one workspace; a number of 0 is none.
type ShareRow struct {
	_           struct{} `cbor:",toarray"`
	RequestsSeq uint64
	Requests    float32
	TokensSeq   uint64
	Tokens      float32
}

// errRow: a row holds a value that no instance sends.
var errRow = errors.New("malformed report of limits")

// maxSeq bounds numbers of shares, so that they can be added.
const maxSeq = 1 << 62

func lifeHash(life string) uint32 { return uint32(xxhash.Sum64String(life)) }

// rowsOf puts the demands, which are sorted by workspace, into rows.
func rowsOf(demands []limit.Demand) []Row {
	var rows []Row
	for _, d := range demands {
		if len(rows) == 0 || rows[len(rows)-1].Workspace != d.ID.Workspace {
			rows = append(rows, Row{Workspace: d.ID.Workspace})
		}
		row := &rows[len(rows)-1]
		if d.ID.Resource == limit.Tokens {
			row.Tokens, row.TokensHeld = float32(d.Rate), d.Held
		} else {
			row.Requests, row.RequestsHeld = float32(d.Rate), d.Held
		}
	}
	return rows
}

func demandsOf(rows []Row) ([]limit.Demand, error) {
	demands := make([]limit.Demand, 0, 2*len(rows))
	for _, r := range rows {
		if !validRate(r.Requests) || !validRate(r.Tokens) || max(r.RequestsHeld, r.TokensHeld) > maxSeq {
			return nil, errRow
		}
		demands = append(demands,
			limit.Demand{ID: limit.ID{Workspace: r.Workspace, Resource: limit.Requests}, Rate: float64(r.Requests), Held: r.RequestsHeld},
			limit.Demand{ID: limit.ID{Workspace: r.Workspace, Resource: limit.Tokens}, Rate: float64(r.Tokens), Held: r.TokensHeld})
	}
	return demands, nil
}

func validRate(r float32) bool { return r >= 0 && r <= math.MaxFloat32 }

// shareRows are the shares in the order of the rows.
func shareRows(rows []Row, shares []limit.Share) []ShareRow {
	byID := map[limit.ID]limit.Share{}
	for _, s := range shares {
		byID[s.ID] = s
	}
	out := make([]ShareRow, len(rows))
	for i, r := range rows {
		requests := byID[limit.ID{Workspace: r.Workspace, Resource: limit.Requests}]
		tokens := byID[limit.ID{Workspace: r.Workspace, Resource: limit.Tokens}]
		out[i] = ShareRow{
			RequestsSeq: requests.Seq, Requests: roundDown(requests.Limit.Rate),
			TokensSeq: tokens.Seq, Tokens: roundDown(tokens.Limit.Rate),
		}
	}
	return out
}

// roundDown never makes a share larger: the sum of all is bounded.
func roundDown(rate float64) float32 {
	r := float32(rate)
	if float64(r) > rate {
		return math.Nextafter32(r, 0)
	}
	return r
}

// sharesOf are the shares of an answer to rows that were sent.
func sharesOf(workspaces []string, rows []ShareRow) []limit.Share {
	if len(rows) != len(workspaces) {
		return nil
	}
	var shares []limit.Share
	add := func(id limit.ID, seq uint64, rate float32) {
		if seq == 0 || !validRate(rate) {
			return
		}
		l := limit.Limit{Rate: float64(rate), Burst: float64(rate) * burst}
		shares = append(shares, limit.Share{ID: id, Seq: seq, Limit: l, Lease: Lease})
	}
	for i, r := range rows {
		add(limit.ID{Workspace: workspaces[i], Resource: limit.Requests}, r.RequestsSeq, r.Requests)
		add(limit.ID{Workspace: workspaces[i], Resource: limit.Tokens}, r.TokensSeq, r.Tokens)
	}
	return shares
}
