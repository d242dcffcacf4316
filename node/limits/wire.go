package limits

import (
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Report is the demand that an instance reports to an owner, for each of the
// owner's partitions, including those without demand: an instance that doesn't
// report counts as cut off and may use its floor, which the owner would reserve.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation is the hash of the instance's incarnation.
	Incarnation uint32
	Partitions  []PartitionReport
}

// PartitionReport is the report of one partition. Number counts the incarnation's
// reports of that partition.
type PartitionReport struct {
	_      struct{} `cbor:",toarray"`
	Index  uint8
	Number uint64
	Rows   []Row
}

// Row is the demand for one workspace: rates in units per second, and the numbers
// of the shares in use. A rate and number of 0 mean no demand.
type Row struct {
	_            struct{} `cbor:",toarray"`
	Workspace    string
	Requests     float32
	RequestsHeld uint64
	Tokens       float32
	TokensHeld   uint64
}

// Answer is the answer of an owner to a Report.
type Answer struct {
	_          struct{} `cbor:",toarray"`
	Partitions []PartitionShares
}

// PartitionShares answers the PartitionReport with the same Index and Number, row by
// row in the same order. Workspace names are omitted, and so are burst and lease,
// which the receiver derives.
type PartitionShares struct {
	_      struct{} `cbor:",toarray"`
	Index  uint8
	Number uint64
	Rows   []ShareRow
}

// ShareRow holds the shares of one workspace; a number (Seq) of 0 means none.
type ShareRow struct {
	_           struct{} `cbor:",toarray"`
	RequestsSeq uint64
	Requests    float32
	TokensSeq   uint64
	Tokens      float32
}

// errMalformedReport is returned for a value that no correct instance sends.
var errMalformedReport = errors.New("malformed report of limits")

// maxSeq bounds the numbers of shares, so that adding them can't overflow.
const maxSeq = 1 << 62

func incarnationHash(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// rowsOf converts the demands, which must be sorted by workspace, to rows.
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
			return nil, errMalformedReport
		}
		demands = append(demands,
			limit.Demand{ID: limit.ID{Workspace: r.Workspace, Resource: limit.Requests}, Rate: float64(r.Requests), Held: r.RequestsHeld},
			limit.Demand{ID: limit.ID{Workspace: r.Workspace, Resource: limit.Tokens}, Rate: float64(r.Tokens), Held: r.TokensHeld})
	}
	return demands, nil
}

func validRate(r float32) bool { return r >= 0 && r <= math.MaxFloat32 }

// shareRows returns the shares in the order of the rows.
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

// roundDown rounds towards 0, as the sum of all shares must not exceed the limit.
func roundDown(rate float64) float32 {
	r := float32(rate)
	if float64(r) > rate {
		return math.Nextafter32(r, 0)
	}
	return r
}

// sharesOf returns the shares of an answer to a report of workspaces, or nil if the
// numbers of rows differ.
func sharesOf(workspaces []string, rows []ShareRow) []limit.Share {
	if len(rows) != len(workspaces) {
		return nil
	}
	var shares []limit.Share
	add := func(id limit.ID, seq uint64, rate float32) {
		if seq == 0 || !validRate(rate) {
			return
		}
		l := limit.Limit{Rate: float64(rate), Burst: float64(rate) * burstSeconds}
		shares = append(shares, limit.Share{ID: id, Seq: seq, Limit: l, Lease: Lease})
	}
	for i, r := range rows {
		add(limit.ID{Workspace: workspaces[i], Resource: limit.Requests}, r.RequestsSeq, r.Requests)
		add(limit.ID{Workspace: workspaces[i], Resource: limit.Tokens}, r.TokensSeq, r.Tokens)
	}
	return shares
}
