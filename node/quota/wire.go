package quota

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/limit"
)

// Report requests shares from the leader.
type Report struct {
	// Incarnation distinguishes the starts of the instance.
	Incarnation uint64 `cbor:"1,keyasint"`
	Region      string `cbor:"2,keyasint"`
	// Number counts the reports of the incarnation.
	Number uint64 `cbor:"3,keyasint"`
	Rows   []Row  `cbor:"4,keyasint,omitempty"`
}

// Row is the request for a share of one workspace.
type Row struct {
	Workspace string `cbor:"1,keyasint"`
	// Version is the configuration version of Limit. The leader divides the newest one reported.
	Version uint64      `cbor:"2,keyasint"`
	Limit   limit.Limit `cbor:"3,keyasint"`
	// Demand, Held and Share are as in limit.Demand.
	Demand float64     `cbor:"4,keyasint"`
	Held   uint64      `cbor:"5,keyasint,omitempty"`
	Share  limit.Limit `cbor:"6,keyasint"`
}

// Answer holds the shares granted for the Report with the same Number.
type Answer struct {
	Number uint64  `cbor:"1,keyasint"`
	Grants []Grant `cbor:"2,keyasint,omitempty"`
}

// Grant is a share of a workspace's limit, valid for Lease.
type Grant struct {
	Workspace string      `cbor:"1,keyasint"`
	Seq       uint64      `cbor:"2,keyasint"`
	Limit     limit.Limit `cbor:"3,keyasint"`
}

// ConsumeRequest asks the owner of a workspace for the units of a request. Negative Units refund
// those of a request that never ran.
type ConsumeRequest struct {
	Workspace string  `cbor:"1,keyasint"`
	Units     float64 `cbor:"2,keyasint"`
}

// ConsumeResponse answers a ConsumeRequest.
type ConsumeResponse struct {
	Allowed bool `cbor:"1,keyasint,omitempty"`
	// RetryAfterMillis is the time until a retry may succeed, set if not Allowed.
	RetryAfterMillis int64 `cbor:"2,keyasint,omitempty"`
	// NoShareYet is set if no share has arrived since the instance became the owner of the
	// workspace: one may arrive at any moment.
	NoShareYet bool `cbor:"3,keyasint,omitempty"`
	// UnknownLimit is set if the instance's configuration has no limit for the workspace.
	UnknownLimit bool `cbor:"4,keyasint,omitempty"`
	// Rate is the rate of the workspace at the instance in units per second, set if not Allowed:
	// its share, if Leased, else its floor. Version is the configuration version of its limit.
	Rate    float64 `cbor:"5,keyasint,omitempty"`
	Leased  bool    `cbor:"6,keyasint,omitempty"`
	Version uint64  `cbor:"7,keyasint,omitempty"`
}

const (
	// Lease is how long a share is valid: longer than an election and some reports, so that
	// callers don't notice a change of leader.
	Lease = 3 * time.Second
	// reportInterval is the time between two regular reports of an instance that owns a
	// workspace, idleInterval that of an instance that owns none.
	reportInterval = 200 * time.Millisecond
	idleInterval   = time.Second
	// urgentInterval is the time between two checks for urgent reports.
	urgentInterval = 50 * time.Millisecond
)
