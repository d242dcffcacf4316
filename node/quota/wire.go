package quota

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Report asks the leader for shares.
type Report struct {
	// Life tells one start of the holder from the next.
	Incarnation uint64 `cbor:"1,keyasint"`
	Region      string `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	Rows        []Row  `cbor:"4,keyasint,omitempty"`
}

// Row is what a holder asks for one workspace.
type Row struct {
	Workspace string `cbor:"1,keyasint"`
	// Version is the configuration that Limit is of; the newest told is divided.
	Version uint64      `cbor:"2,keyasint"`
	Limit   limit.Limit `cbor:"3,keyasint"`
	// Demand, Held and Share are those of limit.Demand.
	Demand float64     `cbor:"4,keyasint"`
	Held   uint64      `cbor:"5,keyasint,omitempty"`
	Share  limit.Limit `cbor:"6,keyasint"`
}

// Answer holds the shares for a Report.
type Answer struct {
	Number uint64  `cbor:"1,keyasint"`
	Grants []Grant `cbor:"2,keyasint,omitempty"`
}

// Grant is a share for Lease.
type Grant struct {
	Workspace string      `cbor:"1,keyasint"`
	Seq       uint64      `cbor:"2,keyasint"`
	Limit     limit.Limit `cbor:"3,keyasint"`
}

// Question asks the instance that stands for a workspace to let a request pass. Units below 0
// give back what a request took that never ran.
type ConsumeRequest struct {
	Workspace string  `cbor:"1,keyasint"`
	Units     float64 `cbor:"2,keyasint"`
}

// Verdict answers a Question.
type ConsumeResponse struct {
	Allowed bool `cbor:"1,keyasint,omitempty"`
	// WaitMillis is when to come back, where not OK.
	WaitMillis int64 `cbor:"2,keyasint,omitempty"`
	// New says that no share has come yet since this instance began to stand for the
	// workspace: one may come any moment.
	NoShareYet bool `cbor:"3,keyasint,omitempty"`
	// Unknown says that the instance's configuration has no such limit.
	UnknownLimit bool `cbor:"4,keyasint,omitempty"`
	// Rate is what the workspace had here, in units per second, where not OK: its share, if
	// Leased, or what it falls back to. Version is the configuration of its limit.
	Rate    float64 `cbor:"5,keyasint,omitempty"`
	Leased  bool    `cbor:"6,keyasint,omitempty"`
	Version uint64  `cbor:"7,keyasint,omitempty"`
}

const (
	// Lease of shares: an election and some reports, so that nothing changes for callers
	// while the leader does.
	Lease = 3 * time.Second
	// reportInterval is the time between two reports of an instance that stands for a
	// workspace; idleInterval of one that stands for none.
	reportInterval = 200 * time.Millisecond
	idleInterval   = time.Second
	// urgentInterval is the time between two looks for what should not wait.
	urgentInterval = 50 * time.Millisecond
)
