package membership

import (
	"math/rand/v2"
	"time"
)

// Group is the view of one instance. It is not safe for several goroutines.
type Group struct{}

// New returns the Group of an instance that knows only itself.
func New(cfg Config, self Member, rng *rand.Rand) (*Group, error) { panic("unwritten") }

// Tick lets time pass; the host calls it every Config.TickInterval.
func (g *Group) Tick(now time.Time) []Out { panic("unwritten") }

// Step takes in a message from the instance that the link has identified.
func (g *Group) Step(now time.Time, from string, m Message) []Out { panic("unwritten") }

// Leave says to the others that this instance leaves. It goes on answering.
func (g *Group) Leave(now time.Time) []Out { panic("unwritten") }

// Hint takes in the platform's whole list. Unknown ids are probed until they
// answer or are no longer listed; nobody is declared dead by it.
func (g *Group) Hint(now time.Time, list []Hint) { panic("unwritten") }

// Members returns all known members with itself, dead and left ones too, by id.
func (g *Group) Members() []View { panic("unwritten") }

// Self returns this instance with its incarnation now.
func (g *Group) Self() Member { panic("unwritten") }

// Events returns the changes since the last call, oldest first.
func (g *Group) Events() []Event { panic("unwritten") }

// Fresh reports whether the view can be acted on: false from a freeze of the
// process until a member has answered and a comparison of views is complete.
func (g *Group) Fresh() bool { panic("unwritten") }

// Relays picks up to two members, in different availability zones if there are,
// that speak for the region to others. Empty ids mean there are fewer.
func Relays(region string, view []View) [2]string { panic("unwritten") }

// Encode returns the wire form (CBOR).
func Encode(m Message) ([]byte, error) { panic("unwritten") }

// Decode reads the wire form and refuses what Encode can't have written.
func Decode(b []byte) (Message, error) { panic("unwritten") }
