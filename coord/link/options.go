package link

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/keys"
)

// Defaults of Options.
const (
	DefaultPath             = "/link"
	DefaultRingSize         = 256
	DefaultMaxMessage       = 4 << 20
	DefaultMaxAge           = 3 * time.Second
	DefaultPingAfter        = time.Second
	DefaultPingTimeout      = 2 * time.Second
	DefaultIdlePingInterval = 30 * time.Second
	DefaultDialTimeout      = 3 * time.Second
	DefaultMinBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff       = 2 * time.Second
)

// Options configures a Hub. A zero field takes its default from above, if there
// is one.
type Options struct {
	// PlaintextID, if set, is the id of this instance on links without TLS:
	// each end trusts the id that the other one states. Use it only on private
	// networks where every host is trusted. Key is not used then and must be
	// nil.
	PlaintextID string
	// Key proves the identity of this instance; Identity.Instance is its id at
	// peers. Required unless PlaintextID is set.
	Key *keys.Key
	// Address returns where an instance listens (IP:port), or false if that is
	// not known. Required. It must be safe for concurrent use.
	Address func(id string) (addr string, ok bool)
	// Path is where Handler is mounted on each instance's TLS listener.
	Path string
	// UrgentChannels names the channels whose messages are sent before all
	// others. Messages of an urgent channel that are longer than one chunk
	// (16 KiB) are sent as bulk, so order within a channel holds only up to
	// that length.
	UrgentChannels []string
	// RingSize is the capacity of each of the two rings per peer and of the
	// ring per channel, in messages.
	RingSize int
	// MaxMessage bounds a payload, in bytes. Send and Call refuse a longer one;
	// the connection of a peer that sends one is closed.
	MaxMessage int
	// MaxAge is how long a message may wait to be written. Older ones are
	// dropped and counted, so that a reconnect does not deliver stale messages.
	MaxAge time.Duration
	// PingAfter is how long after a write the peer may send nothing before it
	// is pinged; PingTimeout is how long the pong may take before the
	// connection is closed. Together they bound how long a sender does not
	// notice a connection that loses all packets.
	PingAfter, PingTimeout time.Duration
	// IdlePingInterval is the time between pings on a connection without
	// messages; negative means none.
	IdlePingInterval time.Duration
	// IdleTimeout is how long a connection dialled by this Hub may carry no
	// message before it is closed; zero means no limit.
	IdleTimeout time.Duration
	// DialTimeout bounds one connection attempt including its handshakes.
	DialTimeout time.Duration
	// ConnectTimeout bounds the TCP connect of an attempt in the first
	// quickAttempts after a success; later attempts have all of DialTimeout.
	// Zero means DialTimeout always.
	//
	// Without it an instance may wait a second for a peer that is already back:
	// if both lost power together and the peer returns a moment later, the
	// first packet is lost, and the kernel retransmits it only after a second.
	ConnectTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between attempts. It doubles from
	// minimum to maximum, and each wait is drawn from its upper half.
	MinBackoff, MaxBackoff time.Duration
	// Rand draws backoff jitter and the first call id. The Hub guards it by its
	// own lock, so nobody else may use it. Required.
	Rand *rand.Rand
	// AllowPeer, if set, blocks the peers for which it returns false: no dial,
	// no accept, and messages on open connections are dropped silently in both
	// directions, as in a network partition. It must be safe for concurrent
	// use.
	AllowPeer func(peer string) bool
	// OnLink, if set, is called on each change between connected and not
	// connected. It must not block.
	OnLink func(peer string, up bool)
}

// plaintextHeader carries the id of the dialling instance on links without TLS.
const plaintextHeader = "Link-Instance"

// self returns the id of this instance at its peers.
func (o *Options) self() string {
	if o.PlaintextID != "" {
		return o.PlaintextID
	}
	return o.Key.Identity.Instance
}

func (o Options) withDefaults() (Options, error) {
	if (o.Key == nil) == (o.PlaintextID == "") || o.Address == nil || o.Rand == nil {
		return o, errors.NotValidf("link options without Address, Rand or exactly one of Key and PlaintextID")
	}
	setDefault(&o.Path, DefaultPath)
	setDefault(&o.RingSize, DefaultRingSize)
	setDefault(&o.MaxMessage, DefaultMaxMessage)
	setDefault(&o.MaxAge, DefaultMaxAge)
	setDefault(&o.PingAfter, DefaultPingAfter)
	setDefault(&o.PingTimeout, DefaultPingTimeout)
	setDefault(&o.IdlePingInterval, DefaultIdlePingInterval)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	if o.AllowPeer == nil {
		o.AllowPeer = func(string) bool { return true }
	}
	if o.OnLink == nil {
		o.OnLink = func(string, bool) {}
	}
	return o, nil
}

// quickAttempts is how many attempts in a row have ConnectTimeout. A peer that
// answers more slowly, for example over a congested network, is reached by later
// attempts.
const quickAttempts = 4

// connectTimeout returns the bound of the TCP connect after the given number of
// failures in a row.
func (o *Options) connectTimeout(failures int) time.Duration {
	if o.ConnectTimeout <= 0 || failures >= quickAttempts {
		return o.DialTimeout
	}
	return min(o.ConnectTimeout, o.DialTimeout)
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// backoff draws the wait after the given number of failures in a row. Without
// jitter, all peers of an instance that comes back would dial it at once.
func (o *Options) backoff(failures int, r *rand.Rand) time.Duration {
	wait := o.MinBackoff
	for range failures {
		if wait *= 2; wait >= o.MaxBackoff {
			break
		}
	}
	wait = min(wait, o.MaxBackoff)
	return wait/2 + time.Duration(r.Int64N(int64(wait/2)+1))
}
