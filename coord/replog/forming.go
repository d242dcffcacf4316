package replog

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// firstTerm and firstIndex are the position of the configuration that forms a group.
// Only the founder ever writes there, before any election.
const (
	firstTerm  = 1
	firstIndex = 1
)

// forming is the state of a blank node.
type forming struct {
	// digest is that of Bootstrap: nodes whose lists differ must not form a group.
	digest uint64
	// otherIDs are the ids that the founder probes, and blank the members that answered
	// that they are blank. Both stay empty at any other node.
	otherIDs []string
	blank    map[string]Member
	probeAt  time.Time
}

func (b *Bootstrap) check() error {
	if b == nil {
		return nil
	}
	ids := b.ids()
	slices.Sort(ids)
	if len(b.Voters) == 0 || ids[0] == "" || len(slices.Compact(ids)) != len(ids) {
		return errors.NotValidf("bootstrap of voters %q and learners %q", b.Voters, b.Learners)
	}
	return nil
}

func (b *Bootstrap) ids() []string { return slices.Concat(b.Voters, b.Learners) }

func (b *Bootstrap) digest() uint64 {
	if b == nil {
		return 0
	}
	d := xxhash.New()
	for _, list := range [][]string{b.Voters, b.Learners} {
		for _, id := range slices.Sorted(slices.Values(list)) {
			_, _ = d.WriteString(id)
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

// isFounder reports whether this node is the one that may form the group.
func (n *Node) isFounder() bool {
	b := n.opts.Bootstrap
	return b != nil && slices.Min(b.Voters) == n.opts.Self.ID
}

func (n *Node) startForming() {
	n.role = Blank
	n.forming = forming{digest: n.opts.Bootstrap.digest(), blank: make(map[string]Member), probeAt: n.now}
	if !n.isFounder() {
		return
	}
	for _, id := range n.opts.Bootstrap.ids() {
		if id != n.opts.Self.ID {
			n.forming.otherIDs = append(n.forming.otherIDs, id)
		}
	}
	n.tickForming()
}

// tickForming probes all other members at each heartbeat interval, as they may not run
// yet.
func (n *Node) tickForming() {
	if n.now.Before(n.forming.probeAt) {
		return
	}
	n.forming.probeAt = n.now.Add(n.opts.HeartbeatInterval)
	if !n.isFounder() {
		return
	}
	if len(n.forming.otherIDs) == 0 {
		n.form()
		return
	}
	for _, id := range n.forming.otherIDs {
		n.out.messages = append(n.out.messages, Message{
			Kind: MsgProbe, From: n.opts.Self, To: Member{ID: id}, Bootstrap: n.forming.digest,
		})
	}
}

// stepUngrouped handles the messages that belong to no group.
func (n *Node) stepUngrouped(m Message) {
	switch m.Kind {
	case MsgProbe:
		n.recordOtherIncarnation(m.From)
		agrees := n.opts.Bootstrap == nil || m.Bootstrap == n.forming.digest
		n.out.messages = append(n.out.messages, Message{
			Kind: MsgProbeResp, From: n.opts.Self, To: m.From, Reject: n.role != Blank || !agrees,
		})
	case MsgProbeResp:
		n.handleProbeResp(m)
	case MsgWrongIncarnation:
		n.recordOtherIncarnation(m.From)
	}
}

// handleProbeResp forms the group once all others have answered that they are blank.
// The answers are addressed to this incarnation, so they were given after its folder
// was created.
func (n *Node) handleProbeResp(m Message) {
	if n.role != Blank || !n.isFounder() || m.To != n.opts.Self || !slices.Contains(n.forming.otherIDs, m.From.ID) {
		return
	}
	if m.Reject {
		delete(n.forming.blank, m.From.ID)
		return
	}
	n.forming.blank[m.From.ID] = m.From
	if len(n.forming.blank) == len(n.forming.otherIDs) {
		n.form()
	}
}

// form writes the first configuration as the first entry of the log.
func (n *Node) form() {
	n.forming.blank[n.opts.Self.ID] = n.opts.Self
	members := func(ids []string) []Member {
		out := make([]Member, 0, len(ids))
		for _, id := range ids {
			out = append(out, n.forming.blank[id])
		}
		return out
	}
	conf, err := confchange.New(members(n.opts.Bootstrap.Voters), members(n.opts.Bootstrap.Learners))
	if err != nil {
		panic(err) // Bootstrap was checked and incarnations are not zero.
	}
	n.hs = HardState{Group: n.opts.Self.Incarnation, Term: firstTerm, Vote: n.opts.Self}
	n.log.append(Entry{Term: firstTerm, Index: firstIndex, Kind: EntryConfig, Config: &conf})
	n.role = Follower
	n.electionAt = n.now
}
