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

// Options are the settings of a Hub. Zero values mean the defaults above, where
// there is one.
type Options struct {
	// Plain, if set, is the id of this instance on links without TLS: each end
	// believes the id that the other one states. It is for private networks
	// whose every host is trusted, never a default; Key is not used then.
	PlaintextID string
	// Key proves who this instance is; its Identity.Instance is the id by
	// which peers know it. Required unless Plain is set.
	Key *keys.Key
	// Address returns where an instance listens (IP:port); false means that it
	// is not known. Required. It is called from several goroutines.
	Address func(id string) (addr string, ok bool)
	// Path is where Handler is mounted on each instance's TLS listener.
	Path string
	// Urgent names the channels whose messages overtake all others. Messages
	// of an urgent channel that are longer than one chunk (16 KiB) go with the
	// bulk ones, so that order within a channel holds only below that length.
	UrgentChannels []string
	// RingSize bounds each of the two rings per peer and the ring per channel,
	// in messages.
	RingSize int
	// MaxMessage bounds one payload in bytes. A longer one is refused by Send
	// and Call; a peer that sends one loses its connection.
	MaxMessage int
	// MaxAge is how long a message may wait to be written; older ones are
	// dropped and counted, so that a reconnect does not deliver stale ones.
	MaxAge time.Duration
	// PingAfter is how long a sent message may stay without any sign of the
	// peer before a ping asks for one; PingTimeout is how long the pong may
	// take before the connection is given up. Together they bound how long a
	// silent cut goes unnoticed by a sender.
	PingAfter, PingTimeout time.Duration
	// IdlePing is the time between pings on a connection without messages;
	// negative means none.
	IdlePingInterval time.Duration
	// IdleClose closes connections that carried no message for so long; zero
	// means never.
	IdleTimeout time.Duration
	// DialTimeout bounds one attempt to connect, with its handshakes.
	DialTimeout time.Duration
	// ConnectTimeout bounds the first part of an attempt, until the peer's kernel has
	// answered, in the first quickAttempts after a success; later ones have all of
	// DialTimeout. Zero means DialTimeout always.
	//
	// It prevents that an instance waits a second for a peer that is back: where both lost
	// power together and the peer returns a moment later, the first packet is lost, and the
	// kernel sends it again after a second only.
	ConnectTimeout time.Duration
	// BackoffFloor and BackoffCeil bound the time between attempts. It doubles
	// from floor to ceiling, and each wait is drawn from its upper half.
	MinBackoff, MaxBackoff time.Duration
	// Rand draws back-off jitter and the first call id; the hub guards it by a
	// lock of its own. Required.
	Rand *rand.Rand
	// Allow, if set, cuts the pairs for which it returns false: no dial, no
	// accept, and messages of open connections vanish in both directions as
	// in a network partition. It must be safe for several goroutines.
	AllowPeer func(peer string) bool
	// OnLink, if set, is told of each change between connected and not
	// connected. It must not block.
	OnLink func(peer string, up bool)
}

// plainHeader carries the id of the dialling instance on links without TLS.
const plainHeader = "Link-Instance"

// self is the id by which peers know this instance.
func (o *Options) self() string {
	if o.PlaintextID != "" {
		return o.PlaintextID
	}
	return o.Key.Identity.Instance
}

func (o Options) withDefaults() (Options, error) {
	if (o.Key == nil) == (o.PlaintextID == "") || o.Address == nil || o.Rand == nil {
		return o, errors.NotValidf("link options without one of Key and Plain, Address or Rand")
	}
	set(&o.Path, DefaultPath)
	set(&o.RingSize, DefaultRingSize)
	set(&o.MaxMessage, DefaultMaxMessage)
	set(&o.MaxAge, DefaultMaxAge)
	set(&o.PingAfter, DefaultPingAfter)
	set(&o.PingTimeout, DefaultPingTimeout)
	set(&o.IdlePingInterval, DefaultIdlePingInterval)
	set(&o.DialTimeout, DefaultDialTimeout)
	set(&o.MinBackoff, DefaultMinBackoff)
	set(&o.MaxBackoff, DefaultMaxBackoff)
	if o.AllowPeer == nil {
		o.AllowPeer = func(string) bool { return true }
	}
	if o.OnLink == nil {
		o.OnLink = func(string, bool) {}
	}
	return o, nil
}

// quickAttempts is how many attempts in a row have ConnectTimeout: a peer that takes
// longer, as over a link that is full, is reached by the ones after.
const quickAttempts = 4

// connectTimeout is the bound of an attempt after so many failures in a row.
func (o *Options) connectTimeout(failures int) time.Duration {
	if o.ConnectTimeout <= 0 || failures >= quickAttempts {
		return o.DialTimeout
	}
	return min(o.ConnectTimeout, o.DialTimeout)
}

func set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// backoff draws the wait after so many failures in a row. Without the jitter
// all peers of an instance that comes back would dial it at the same moment.
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
