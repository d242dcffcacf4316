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

// Codes of refusals by Prepare; each is NotRun.
const (
	// CodeUnregistered: the group is not admitted yet, or never will be.
	CodeUnregistered verdict.Code = "claims_unregistered"
	// CodeBlocked: the group waits after a loss; RetryAfter says how long.
	CodeBlocked verdict.Code = "claims_blocked"
	// CodeMalformed: no command of claims.
	CodeMalformed verdict.Code = "malformed_claim"
)

// tag is the first byte of an admission and of a snapshot of this package.
// Entries and snapshots of coord/claim are CBOR maps, which begin otherwise, so
// that logs from before admissions are read as they are.
const tag byte = 0x00

// admission is the entry that lets the group take claims.
type admission struct {
	// Group is the number that was registered.
	Group uint64 `cbor:"1,keyasint"`
	// WaitSeconds is the wait from this entry on.
	WaitSeconds uint32 `cbor:"2,keyasint,omitempty"`
	// Losses and Lost are as in registry.Result, for reports.
	Losses uint32 `cbor:"3,keyasint,omitempty"`
	Lost   uint64 `cbor:"4,keyasint,omitempty"`
}

// gate is the replicated state beside the claims.
type gate struct {
	// Admission is zero before one was applied.
	Admission admission `cbor:"1,keyasint"`
	// LeftSeconds is what is left of the wait.
	LeftSeconds uint32 `cbor:"2,keyasint,omitempty"`
}

func (g *gate) open() bool { return g.Admission.Group != 0 && g.LeftSeconds == 0 }

// Table is the state machine of a region group: claims behind a gate. Apply,
// Snapshot and Restore are for the host's apply goroutine, the rest for all.
type Table struct {
	claims *claim.Table

	mu   sync.Mutex
	gate gate
	// records is the number of claims held, for reports.
	records int
}

var _ replhost.StateMachine = (*Table)(nil)

// NewTable makes an empty table behind a closed gate.
func NewTable() *Table { return &Table{claims: claim.NewTable()} }

// Apply carries out an entry of the log.
func (t *Table) Apply(index uint64, entry []byte) []byte {
	if bytes.HasPrefix(entry, []byte{tag}) {
		return t.admit(entry[1:])
	}
	result := t.claims.Apply(index, entry)
	t.passTime(entry, result)
	t.count()
	return result
}

// count publishes the number of claims; the table itself belongs to the apply
// goroutine.
func (t *Table) count() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = t.claims.Len()
}

// admit opens the gate, or starts the wait. The first admission stands.
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
		t.gate = gate{Admission: a, LeftSeconds: a.WaitSeconds}
	}
	return must(cbor.Marshal(res))
}

// passTime counts the wait by what an entry says.
func (t *Table) passTime(entry, result []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gate.LeftSeconds == 0 {
		return
	}
	var c claim.Command
	if cbor.Unmarshal(entry, &c) != nil {
		return
	}
	switch {
	case c.Expire != nil:
		t.gate.LeftSeconds -= min(t.gate.LeftSeconds, uint32(claim.ExpireInterval/time.Second))
	case c.Finish != nil && reply(result) == claim.Forgotten:
		// An attempt of the lost table has ended just now.
		t.gate.LeftSeconds = t.gate.Admission.WaitSeconds
	}
}

func reply(result []byte) claim.Reply {
	res, err := claim.DecodeResult(result)
	if err != nil {
		return claim.Invalid
	}
	return res.Reply
}

// Prepare refuses claims at the leader while the gate is closed. The gate opens
// once and stays open, so a replica that is behind, or a leader that was
// deposed, refuses too much and never too little.
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

// sealed is a snapshot, after the tag.
type sealed struct {
	Gate   gate   `cbor:"1,keyasint"`
	Claims []byte `cbor:"2,keyasint"`
}

// Snapshot returns the whole state.
func (t *Table) Snapshot() ([]byte, error) {
	claims, err := t.claims.Snapshot()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	body, err := cbor.Marshal(sealed{Gate: t.gate, Claims: claims})
	return append([]byte{tag}, body...), err
}

// Restore replaces the state by that of a snapshot, also of one of coord/claim.
func (t *Table) Restore(snapshot []byte) error {
	s := sealed{Claims: snapshot}
	if body, tagged := bytes.CutPrefix(snapshot, []byte{tag}); tagged {
		s = sealed{}
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

// retryUnregistered is when to come back while the group is not admitted.
const retryUnregistered = 5 * time.Second

// Blocked returns when to come back if err is the refusal of a group that
// waits after a loss.
func Blocked(err error) (retryAfter time.Duration, blocked bool) {
	var e *verdict.Error
	if stderrors.As(err, &e) && e.Code == CodeBlocked {
		return e.RetryAfter, true
	}
	return 0, false
}
