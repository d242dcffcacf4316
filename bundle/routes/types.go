// Package routes describes what an instance serves by host and path: routes,
// the services behind them, and the limits of callers' connections.
//
// A Table is one whole version. It is checked once, when it is offered, and
// never changed afterwards.
package routes

import (
	"slices"
	"time"
)

// Kind says what of a route's requests may be repeated.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is Resumable.
	Stream
)

// Table is one version of all routes.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed says that callers are told by the keys of Workspaces. Else anybody is served.
	Keyed      bool
	Workspaces []Workspace
}

// Route sends the requests of one host whose path begins with Prefix to services.
type Route struct {
	Name string
	// Host is compared with the request's host without its port, in lower case.
	Host string
	// Prefix begins and ends with a slash. The longest one that fits wins.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after an event id.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Aim is the time within which an answer, or a stream's first event, is on
	// time; GapAim the longest pause between events that is.
	Aim, GapAim time.Duration
	// Priority is the rank of its requests, 0 first.
	Priority int
	// Attempts is the largest number of targets that may be sent one request.
	Attempts int
	// Homes are the regions that may serve it; empty means all.
	Regions []string
	// Affine requests name the parts of their prompt; targets keep them.
	Affine bool
	// Open routes also serve callers without a key.
	AllowAnonymous bool
	// Split shares the requests over services by weight.
	Split []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Allows reports whether a region may serve the route.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Share is one service of a route with its weight.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of targets that are alike.
type Service struct {
	Name string
	// HealthPath answers 200 while a target is well.
	HealthPath string
	// MaxConnections is what one target accepts from all callers.
	MaxConnections int
	// ColdFor is how long a target is cold after its start; ColdPerSecond is how
	// many requests a second it bears meanwhile, from all callers together.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine is set where the targets are model engines.
	Engine *Engine
}

// Engine is what a model engine holds.
type Engine struct {
	// Slots is how many requests it runs at once.
	Slots int
	// MemoryTokens bounds the tokens of running requests and kept prompt parts.
	MemoryTokens int
	// FetchPerKilo is how long it takes to fetch 1,000 tokens of kept prompt parts from
	// another engine, in milliseconds; 0 where it is not known.
	FetchMillisPerThousand float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout     time.Duration
	IdleTimeout       time.Duration
}
