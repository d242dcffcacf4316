package ports

import (
	"context"
	"io"
	"time"
)

// WeightStore serves model weights at a limited rate.
type WeightStore interface {
	// Size returns the size of an object in bytes.
	Size(ctx context.Context, key string) (int64, error)
	// Read returns an object from offset on. The caller must close it.
	Read(ctx context.Context, key string, offset int64) (io.ReadCloser, error)
}

// InstanceState is the state of an instance in the platform's list.
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

// InstanceSnapshot is the list as of At.
type InstanceSnapshot struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// InstanceList is the platform's list of live and leaving instances. It lags
// by an unknown time.
type InstanceList interface {
	Instances(ctx context.Context) (InstanceSnapshot, error)
}

// DirectoryQuery is a caller's query of the directory.
type DirectoryQuery struct {
	// Zone and Region of the caller; empty means unknown.
	Zone, Region string
	// Caller identifies the caller, to spread callers over equally good instances.
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
	// TTL is how long the answer may be cached.
	TTL time.Duration
}

// Directory returns the instances that callers should use.
type Directory interface {
	Lookup(q DirectoryQuery) DirectoryAnswer
}
