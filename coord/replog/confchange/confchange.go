// Package confchange holds the configuration of a replicated group and the rules by
// which it changes.
//
// A member is the pair of a node id and the incarnation of its disk. A node whose disk
// was lost comes back under the same id with another incarnation and is another member:
// nothing that the old incarnation voted for or acknowledged binds the new one, so it
// may not count in its place.
//
// Each Change adds or removes at most one voter. Any majority of the configuration
// before it then shares a voter with any majority after it, so a group can move from
// one to the next without joint consensus.
package confchange

import (
	"fmt"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Member is one incarnation of a node.
type Member struct {
	// ID names the node; it stays the same when the disk is lost.
	ID string `cbor:"1,keyasint" json:"id"`
	// Incarnation is the non-zero random number drawn when the data folder was created.
	Incarnation uint64 `cbor:"2,keyasint" json:"incarnation"`
}

// String returns "id/incarnation" with the incarnation in hexadecimal.
func (m Member) String() string { return fmt.Sprintf("%s/%x", m.ID, m.Incarnation) }

// Config lists who votes and who only receives the log. An id occurs at most once. Both
// lists are sorted by id and are never changed in place.
type Config struct {
	Voters   []Member `cbor:"1,keyasint" json:"voters"`
	Learners []Member `cbor:"2,keyasint,omitempty" json:"learners,omitempty"`
}

// Kind is the type of a Change.
type Kind uint8

const (
	// AddLearner adds a new node, which receives the log and does not vote.
	AddLearner Kind = iota + 1
	// Promote makes a learner a voter.
	Promote
	// Remove removes a voter or a learner.
	Remove
	// Readmit removes the old incarnation of a node and adds the new one as a learner;
	// Promote makes it a voter once it has caught up. A learner that lost its disk is
	// readmitted in the same way.
	Readmit
)

var kindNames = [...]string{AddLearner: "add_learner", Promote: "promote", Remove: "remove", Readmit: "readmit"}

// String returns the name used in logs.
func (k Kind) String() string {
	if k == 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// Change is one step from a configuration to the next.
type Change struct {
	Kind Kind `cbor:"1,keyasint" json:"kind"`
	// Member is the incarnation that the change is about: for Readmit the new one,
	// otherwise the one that is in the configuration, or is to be added.
	Member Member `cbor:"2,keyasint" json:"member"`
}

// New returns a configuration with sorted copies of the lists. It returns the error of
// Check.
func New(voters, learners []Member) (Config, error) {
	c := Config{Voters: sorted(voters), Learners: sorted(learners)}
	return c, c.Check()
}

// Check returns an error for a configuration without voters, an empty id, a zero
// incarnation, or an id that occurs twice.
func (c Config) Check() error {
	if len(c.Voters) == 0 {
		return errors.NotValidf("configuration without voters")
	}
	seen := make(map[string]bool, len(c.Voters)+len(c.Learners))
	for _, m := range c.Members() {
		if m.ID == "" || m.Incarnation == 0 {
			return errors.NotValidf("member %q of incarnation %d", m.ID, m.Incarnation)
		}
		if seen[m.ID] {
			return errors.NotValidf("member %q twice", m.ID)
		}
		seen[m.ID] = true
	}
	return nil
}

// Members returns voters and then learners in a new slice.
func (c Config) Members() []Member { return slices.Concat(c.Voters, c.Learners) }

// IsVoter reports whether this incarnation votes.
func (c Config) IsVoter(m Member) bool { return slices.Contains(c.Voters, m) }

// IsMember reports whether this incarnation is a voter or a learner.
func (c Config) IsMember(m Member) bool {
	return slices.Contains(c.Voters, m) || slices.Contains(c.Learners, m)
}

// Lookup returns the member with this id, and whether there is one.
func (c Config) Lookup(id string) (Member, bool) {
	for _, m := range c.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Equal reports whether both configurations hold the same members in the same roles.
func (c Config) Equal(o Config) bool {
	return slices.Equal(c.Voters, o.Voters) && slices.Equal(c.Learners, o.Learners)
}

// String lists the voters, then the learners in brackets.
func (c Config) String() string {
	var b strings.Builder
	for i, m := range c.Voters {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(m.String())
	}
	if len(c.Learners) > 0 {
		fmt.Fprintf(&b, " %v", c.Learners)
	}
	return b.String()
}

// Apply returns the configuration after the change. It returns an error if the change
// does not fit: an unknown member, one that is already there, an unknown kind, or the
// removal of the last voter.
func (c Config) Apply(ch Change) (Config, error) {
	next, err := c.apply(ch)
	if err != nil {
		return Config{}, err
	}
	if err := next.Check(); err != nil {
		return Config{}, err
	}
	return next, nil
}

func (c Config) apply(ch Change) (Config, error) {
	m := ch.Member
	current, known := c.Lookup(m.ID)
	switch {
	case ch.Kind == AddLearner && known:
		return Config{}, errors.AlreadyExistsf("member %v", current)
	case ch.Kind == AddLearner:
		return Config{Voters: c.Voters, Learners: sorted(append(slices.Clone(c.Learners), m))}, nil
	case !known:
		return Config{}, errors.NotFoundf("member %q", m.ID)
	case ch.Kind == Readmit && current == m:
		return Config{}, errors.AlreadyExistsf("incarnation %v", m)
	case ch.Kind == Readmit:
		return Config{Voters: without(c.Voters, current), Learners: sorted(append(without(c.Learners, current), m))}, nil
	case current != m:
		return Config{}, errors.NotFoundf("incarnation %v (the configuration holds %v)", m, current)
	case ch.Kind == Remove:
		return Config{Voters: without(c.Voters, m), Learners: without(c.Learners, m)}, nil
	case ch.Kind == Promote && c.IsVoter(m):
		return Config{}, errors.AlreadyExistsf("voter %v", m)
	case ch.Kind == Promote:
		return Config{Voters: sorted(append(without(c.Voters, m), m)), Learners: without(c.Learners, m)}, nil
	}
	return Config{}, errors.NotValidf("change of %v", ch.Kind)
}

func without(ms []Member, removed Member) []Member {
	out := make([]Member, 0, len(ms)+1)
	for _, m := range ms {
		if m != removed {
			out = append(out, m)
		}
	}
	return out
}

func sorted(ms []Member) []Member {
	out := slices.Clone(ms)
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}
