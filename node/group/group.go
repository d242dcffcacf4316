// Package group gives every instance access to a replicated group that runs on a few of them.
//
// A member hosts a replhost.Node. Any instance proposes through a Client, which finds the
// leader among the members. A proposal that may have been committed is never sent to a second
// member: the error says so, and the caller's command must be one that can safely be proposed
// again (as those of coord/claim and bundle/acceptance are).
package group

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal"
)

// CodeNoLeader: no member that leads the group was reached.
const CodeNoLeader verdict.Code = "no_leader"

const (
	// maxConcurrentProposals bounds the remote proposals that a member handles at once.
	maxConcurrentProposals = 64
	// maxHops bounds how often a proposal follows a hint to the leader.
	maxHops = 4
)

// MessageChannel returns the link channel of a group's messages between members. It belongs
// among the link's UrgentChannels.
func MessageChannel(name string) string { return "group/" + name }

func proposeChannel(name string) string { return "propose/" + name }

// answer is the reply to a remote proposal.
type answer struct {
	Data    []byte          `cbor:"1,keyasint,omitempty"`
	Verdict verdict.Verdict `cbor:"2,keyasint,omitempty"`
	Code    verdict.Code    `cbor:"3,keyasint,omitempty"`
	Message string          `cbor:"4,keyasint,omitempty"`
	// Leader is the leader's id, as far as the member knows.
	Leader string `cbor:"5,keyasint,omitempty"`
	// RetryAfterMillis is when to retry. Only a refusal by the leader's Prepare sets it; no
	// other member is asked then.
	RetryAfterMillis int64 `cbor:"6,keyasint,omitempty"`
}

// err returns the failure that the answer reports.
func (a *answer) err() *verdict.Error {
	e := verdict.New(a.Verdict, a.Code, a.Message)
	e.RetryAfter = time.Duration(a.RetryAfterMillis) * time.Millisecond
	return e
}

// transport sends a group's messages over the link.
type transport struct {
	hub     *link.Hub
	channel string
}

// Send queues a message. A full queue drops it, which the log tolerates.
func (t transport) Send(to string, payload []byte) { t.hub.Send(to, t.channel, payload) }

// Options of a member.
type Options struct {
	// Name of the group, the same at all members, for example "global".
	Name string
	// Self is this instance's id; Members are the ids of the first voters.
	Self    string
	Members []string
	// Dir is the folder of the log; nothing else may use it.
	Dir string
	// FS is the file system of Dir; wal.OS by default.
	FS           wal.FS
	Hub          *link.Hub
	StateMachine replhost.StateMachine
	// Prepare, if set, turns a proposal into a log entry, at the leader. With decided true,
	// result is the final answer and nothing is proposed.
	Prepare func(ctx context.Context, node *replhost.Node, data []byte) (result []byte, decided bool, err error)
	// HeartbeatInterval and ElectionTimeout of the log; replog's defaults if zero. A group over
	// several regions needs a heartbeat well above their round trip.
	HeartbeatInterval, ElectionTimeout time.Duration
	// MaxProposalBytes bounds one entry; replhost's default if zero.
	MaxProposalBytes int
}

// Member is this instance's member of a group.
type Member struct {
	o    Options
	Node *replhost.Node
}

// Open recovers the member's log and starts it on the link.
func Open(o Options) (*Member, error) {
	node, err := replhost.Open(replhost.Options{
		Core: replog.Options{
			Self:              replog.Member{ID: o.Self},
			Bootstrap:         &replog.Bootstrap{Voters: o.Members},
			HeartbeatInterval: o.HeartbeatInterval,
			ElectionTimeout:   o.ElectionTimeout,
		},
		FS:               o.FS,
		Dir:              o.Dir,
		Transport:        transport{hub: o.Hub, channel: MessageChannel(o.Name)},
		StateMachine:     o.StateMachine,
		MaxProposalBytes: o.MaxProposalBytes,
		Repair:           true,
	})
	if err != nil {
		return nil, err
	}
	m := &Member{o: o, Node: node}
	o.Hub.Handle(MessageChannel(o.Name), node.Receive)
	o.Hub.Serve(proposeChannel(o.Name), maxConcurrentProposals, m.serve)
	return m, nil
}

// Stop stops the member.
func (m *Member) Stop() error { return m.Node.Stop() }

// serve answers a remote proposal.
func (m *Member) serve(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	data, err := m.propose(ctx, payload)
	a := answer{Data: data}
	if err != nil {
		a = errorAnswer(err)
	}
	return cbor.Marshal(a)
}

// errorAnswer encodes an error as an answer.
func errorAnswer(err error) answer {
	a := answer{Verdict: verdict.MayHaveRun, Code: "internal", Message: err.Error()}
	var e *verdict.Error
	if errors.As(err, &e) {
		a.Verdict, a.Code, a.Message = e.Verdict, e.Code, e.Message
		a.RetryAfterMillis = e.RetryAfter.Milliseconds()
	}
	var notLeader *replhost.NotLeaderError
	if errors.As(err, &notLeader) {
		a.Leader = notLeader.Leader
	}
	return a
}

// propose handles a proposal at this member, which must lead.
func (m *Member) propose(ctx context.Context, data []byte) ([]byte, error) {
	if m.o.Prepare == nil {
		return m.Node.Propose(ctx, data)
	}
	entry, decided, err := m.o.Prepare(ctx, m.Node, data)
	if err != nil || decided {
		return entry, err
	}
	return m.Node.Propose(ctx, entry)
}

// Client proposes to a group from any instance.
type Client struct {
	name       string
	members    []string
	hub        *link.Hub
	local      *Member
	lastLeader atomic.Pointer[string]

	proposals, failures atomic.Uint64
}

// Counters counts a client's proposals since its start.
type Counters struct {
	// Proposals is how many commands were proposed, Failures how many of them ended with an
	// error.
	Proposals, Failures uint64
}

// NewClient returns a Client. local is nil at an instance that is not a member.
func NewClient(name string, members []string, hub *link.Hub, local *Member) *Client {
	return &Client{name: name, members: members, hub: hub, local: local}
}

// Local returns this instance's member, or nil.
func (c *Client) Local() *Member { return c.local }

// Counters returns the current counts.
func (c *Client) Counters() Counters {
	return Counters{Proposals: c.proposals.Load(), Failures: c.failures.Load()}
}

// Propose has data committed and returns the state machine's result. The error is a
// *verdict.Error, with NotRun if the proposal can't take effect.
func (c *Client) Propose(ctx context.Context, data []byte) ([]byte, error) {
	c.proposals.Add(1)
	result, err := c.propose(ctx, data)
	if err != nil {
		c.failures.Add(1)
	}
	return result, err
}

// propose tries members until one answers for the leader.
func (c *Client) propose(ctx context.Context, data []byte) ([]byte, error) {
	tried := map[string]bool{}
	next := c.firstMember()
	err := verdict.New(verdict.NotRun, CodeNoLeader, "no member of group "+c.name+" is known")
	for range maxHops + len(c.members) {
		if next == "" {
			next = c.nextUntried(tried)
		}
		if next == "" || ctx.Err() != nil {
			break
		}
		tried[next] = true
		a := c.proposeAt(ctx, next, data)
		if a.Code == "" {
			c.lastLeader.Store(&next)
			return a.Data, nil
		}
		err = a.err()
		if a.Verdict != verdict.NotRun || a.RetryAfterMillis > 0 {
			return nil, err
		}
		next = ""
		if a.Leader != "" && !tried[a.Leader] {
			next = a.Leader
		}
	}
	c.lastLeader.Store(nil)
	return nil, err
}

// firstMember returns the member that led last, else this instance if it is a member, else "".
func (c *Client) firstMember() string {
	if last := c.lastLeader.Load(); last != nil {
		return *last
	}
	if c.local != nil {
		return c.local.o.Self
	}
	return ""
}

// nextUntried returns the next member to try; empty if all were tried.
func (c *Client) nextUntried(tried map[string]bool) string {
	for _, id := range c.members {
		if !tried[id] {
			return id
		}
	}
	return ""
}

// proposeAt proposes at one member.
func (c *Client) proposeAt(ctx context.Context, id string, data []byte) answer {
	if c.local != nil && id == c.local.o.Self {
		result, err := c.local.propose(ctx, data)
		if err != nil {
			return errorAnswer(err)
		}
		return answer{Data: result}
	}
	reply, err := c.hub.Call(ctx, id, proposeChannel(c.name), data)
	if err != nil {
		return errorAnswer(err)
	}
	var a answer
	if err := cbor.Unmarshal(reply, &a); err != nil {
		return answer{Verdict: verdict.MayHaveRun, Code: "malformed_answer", Message: err.Error()}
	}
	return a
}
