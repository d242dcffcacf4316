// Package routes describes what an instance serves by host and path: routes,
// the services behind them, workspaces, and the limits of callers' connections.
//
// A Table is one whole version. It is checked once, when it is offered, and is
// immutable afterwards.
package routes

import (
	"slices"
	"time"
)

// Kind says whether a route's requests may run more than once.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a stream of events. They run at most once
	// unless the route is Resumable.
	Stream
)

// Table is one version of all routes.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keyed is set if callers are identified by the keys of Workspaces. Otherwise any caller
	// is served.
	Keyed      bool
	Workspaces []Workspace
}

// Route assigns the requests to one host whose path begins with Prefix to services.
type Route struct {
	Name string
	// Host is compared with the request's host without its port, in lower case.
	Host string
	// Prefix begins and ends with a slash. The longest one that matches wins.
	Prefix string
	Kind   Kind
	// Resumable streams can continue at another target after a given event id.
	Resumable bool
	// Timeout bounds the time that a caller waits for the response.
	Timeout time.Duration
	// Aim is the latency objective of the response, or of a stream's first event.
	// GapAim is the longest pause between events that is on time.
	Aim, GapAim time.Duration
	// Priority is the rank of its requests; 0 is served first.
	Priority int
	// Attempts bounds the number of targets that one request is sent to.
	Attempts int
	// Regions are the regions that may serve it; empty means all.
	Regions []string
	// Affine requests name the parts of their prompt, which targets cache.
	Affine bool
	// AllowAnonymous routes also serve callers without a key.
	AllowAnonymous bool
	// Split distributes the requests over services by weight.
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

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// HealthPath answers 200 while a target is healthy.
	HealthPath string
	// MaxConnections bounds the connections that one target accepts from all callers.
	MaxConnections int
	// ColdFor is how long a target is cold after its start. ColdPerSecond is the
	// request rate that it can take meanwhile, from all callers together.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine is set if the targets are model engines.
	Engine *Engine
}

// Engine is the capacity of a model engine.
type Engine struct {
	// Slots is the number of requests that it runs at once.
	Slots int
	// MemoryTokens bounds the tokens of running requests and cached prompt parts.
	MemoryTokens int
	// FetchPerKilo is the time to fetch 1,000 tokens of cached prompt parts from
	// another engine, in milliseconds; 0 if unknown.
	FetchPerKilo float64
}

// Limits bound what a caller may send and how long sending may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
