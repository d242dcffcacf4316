package ports

import (
	"context"
	"io"
	"time"
)

// WeightStore gives weights at a limited rate.
type WeightStore interface {
	// Size returns the size of an object in bytes.
	Size(ctx context.Context, key string) (int64, error)
	// Read returns an object from offset on.
	Read(ctx context.Context, key string, offset int64) (io.ReadCloser, error)
}

// InstanceState is what the platform says of an instance.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's list.
type Instance struct {
	ID      string        `json:"id"`
	Region  string        `json:"region"`
	Zone    string        `json:"zone"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstanceSnapshot is the list as it was at At.
type InstanceSnapshot struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// InstanceList is the platform's list of live and leaving instances. It lags
// by an unknown time.
type InstanceList interface {
	Instances(ctx context.Context) (InstanceSnapshot, error)
}

// DirectoryQuery tells where a caller is.
type DirectoryQuery struct {
	// Zone and Region of the caller; empty means not known.
	Zone, Region string
	// Caller spreads callers over instances of equal standing.
	Caller string
}

// DirectoryEntry is one instance to use.
type DirectoryEntry struct {
	Instance string  `json:"instance"`
	URL      string  `json:"url"`
	Region   string  `json:"region"`
	Zone     string  `json:"zone"`
	Weight   float64 `json:"weight"`
}

// DirectoryAnswer lists the instances to use now, best first.
type DirectoryAnswer struct {
	Entries []DirectoryEntry
	// TTL is how long the answer holds.
	TTL time.Duration
}

// Directory tells callers which instances to use.
type Directory interface {
	Lookup(q DirectoryQuery) DirectoryAnswer
}
