package registered

import (
	"bytes"
	"context"
	stderrors "errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Codes of refusals by Prepare; the verdict of each is NotRun.
const (
	// CodeUnregistered: the group is not admitted yet, or never will be.
	CodeUnregistered verdict.Code = "claims_unregistered"
	// CodeBlocked: the group waits after a loss; RetryAfter says how long.
	CodeBlocked verdict.Code = "claims_blocked"
	// CodeMalformed: not a claim command.
	CodeMalformed verdict.Code = "malformed_claim"
)

// tag is the first byte of an admission and of a snapshot of this package. Entries and
// snapshots of coord/claim are CBOR maps, which begin with another byte, so that logs written
// before there were admissions are still read.
const tag byte = 0x00

// admission is the log entry that lets the group take claims.
type admission struct {
	// Group is the registered number.
	Group uint64 `cbor:"1,keyasint"`
	// WaitSeconds is the wait, counted from this entry.
	WaitSeconds uint32 `cbor:"2,keyasint,omitempty"`
	// Losses and Lost are as in registry.Result; they are only reported.
	Losses uint32 `cbor:"3,keyasint,omitempty"`
	Lost   uint64 `cbor:"4,keyasint,omitempty"`
}

// gate is the replicated state beside the claims.
type gate struct {
	// Admission is zero until one is applied.
	Admission admission `cbor:"1,keyasint"`
	// RemainingSeconds is the rest of the wait.
	RemainingSeconds uint32 `cbor:"2,keyasint,omitempty"`
}

func (g *gate) open() bool { return g.Admission.Group != 0 && g.RemainingSeconds == 0 }

// Table is the state machine of a region group: a claim table behind a gate. Only the host's
// apply goroutine may call Apply, Snapshot and Restore; the other methods are safe for
// concurrent use.
type Table struct {
	claims *claim.Table

	mu   sync.Mutex
	gate gate
	// records is the number of claims held; it is only reported.
	records int
}

var _ replhost.StateMachine = (*Table)(nil)

// NewTable returns an empty table with the gate closed.
func NewTable() *Table { return &Table{claims: claim.NewTable()} }

// Apply applies a log entry and returns the encoded claim.Result.
func (t *Table) Apply(index uint64, entry []byte) []byte {
	if bytes.HasPrefix(entry, []byte{tag}) {
		return t.admit(entry[1:])
	}
	result := t.claims.Apply(index, entry)
	t.countWait(entry, result)
	t.count()
	return result
}

// count publishes the number of claims, as only the apply goroutine may use the claim table
// itself.
func (t *Table) count() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = t.claims.Len()
}

// admit opens the gate, or starts the wait. Only the first admission counts.
func (t *Table) admit(data []byte) []byte {
	res := claim.Result{Reply: claim.Accepted}
	var a admission
	err := cbor.Unmarshal(data, &a)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		res = claim.Result{Reply: claim.Invalid, Message: err.Error()}
	case t.gate.Admission.Group == 0:
		t.gate = gate{Admission: a, RemainingSeconds: a.WaitSeconds}
	}
	return must(cbor.Marshal(res))
}

// countWait counts the wait down by an Expire command, and restarts it when an attempt of the
// lost table ends.
func (t *Table) countWait(entry, result []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate.RemainingSeconds == 0 {
		return
	}
	var c claim.Command
	if cbor.Unmarshal(entry, &c) != nil {
		return
	}
	switch {
	case c.Expire != nil:
		t.gate.RemainingSeconds -= min(t.gate.RemainingSeconds, uint32(claim.ExpireInterval/time.Second))
	case c.Finish != nil && reply(result) == claim.Forgotten:
		// An attempt that the lost table had granted has ended just now.
		t.gate.RemainingSeconds = t.gate.Admission.WaitSeconds
	}
}

func reply(result []byte) claim.Reply {
	res, err := claim.DecodeResult(result)
	if err != nil {
		return claim.Invalid
	}
	return res.Reply
}

// Prepare refuses claims at the leader while the gate is closed. The gate opens once and stays
// open, so that a lagging replica or a deposed leader may refuse too much but never too little.
func (t *Table) Prepare(_ context.Context, node *replhost.Node, data []byte) ([]byte, bool, error) {
	if bytes.HasPrefix(data, []byte{tag}) {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, "an admission is the leader's own")
	}
	refusal := t.Status().refusal()
	if refusal == nil {
		return data, false, nil
	}
	var c claim.Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, false, verdict.New(verdict.NotRun, CodeMalformed, err.Error())
	}
	if c.Claim == nil {
		return data, false, nil
	}
	if core := node.Status().Core; core.Role != replog.Leader {
		e := verdict.New(verdict.NotRun, replhost.CodeNotLeader, "claims are taken at the leader")
		e.Err = &replhost.NotLeaderError{Leader: core.Leader.ID}
		return nil, false, e
	}
	return nil, false, refusal
}

// snapshotBody is a snapshot without its leading tag.
type snapshotBody struct {
	Gate   gate   `cbor:"1,keyasint"`
	Claims []byte `cbor:"2,keyasint"`
}

// Snapshot returns the encoded state.
func (t *Table) Snapshot() ([]byte, error) {
	claims, err := t.claims.Snapshot()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	body, err := cbor.Marshal(snapshotBody{Gate: t.gate, Claims: claims})
	return append([]byte{tag}, body...), err
}

// Restore replaces the state by a snapshot of this package or of coord/claim.
func (t *Table) Restore(snapshot []byte) error {
	s := snapshotBody{Claims: snapshot}
	if body, tagged := bytes.CutPrefix(snapshot, []byte{tag}); tagged {
		s = snapshotBody{}
		if err := cbor.Unmarshal(body, &s); err != nil {
			return errors.Annotate(err, "snapshot of a region group")
		}
	}
	if err := t.claims.Restore(s.Claims); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate, t.records = s.Gate, t.claims.Len()
	return nil
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // Plain values always encode.
	}
	return v
}

// retryUnregistered is when to retry while the group is not admitted.
const retryUnregistered = 5 * time.Second

// Blocked reports whether err is the refusal of a group that waits after a loss, and when to
// retry.
func Blocked(err error) (retryAfter time.Duration, blocked bool) {
	var e *verdict.Error
	if stderrors.As(err, &e) && e.Code == CodeBlocked {
		return e.RetryAfter, true
	}
	return 0, false
}
