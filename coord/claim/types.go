package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

const (
	// MaxRecords bounds the table; claims of new keys beyond it are refused.
	MaxRecords = 1 << 18
	// MaxLifetime bounds the lifetime that a claim may request.
	MaxLifetime = 7 * 24 * time.Hour
	// ExpireInterval is the least time between two Expire commands: the log's leader
	// proposes the next one no sooner than that after it applied the last one, or
	// after it became leader.
	ExpireInterval = time.Second
	// MaxClockStep bounds how far one Expire command moves the table's clock.
	MaxClockStep = 2 * time.Second
	// ClaimWait bounds the time from a request's arrival to the grant.
	ClaimWait = 2 * time.Second
	// Hold is how long, on the table's clock, a released key is granted to nobody
	// where an earlier attempt may have a claim in flight. It lasts at least
	// ClaimWait: in that time at most ClaimWait/ExpireInterval+1 commands of one
	// leader move the clock, and one more that a previous leader left behind.
	Hold = (ClaimWait/ExpireInterval + 2) * MaxClockStep
	// MaxInstances bounds the lost instances that are remembered.
	MaxInstances = 1 << 14
)

// Key is the SHA-256 of a workspace and an idempotency key.
type Key [32]byte

// KeyOf returns the Key for an idempotency key as a caller of the workspace gave it.
func KeyOf(workspace, idempotencyKey string) Key {
	b := binary.AppendUvarint(nil, uint64(len(workspace)))
	b = append(b, workspace...)
	b = append(b, idempotencyKey...)
	return sha256.Sum256(b)
}

// Digest is the first half of the SHA-256 of a body or an answer.
type Digest [16]byte

// DigestOf returns the digest of a body or an answer.
func DigestOf(b []byte) Digest {
	sum := sha256.Sum256(b)
	return Digest(sum[:16])
}

// AttemptID identifies one attempt at one instance: 16 random bytes, never reused.
type AttemptID [16]byte

// Instance is one incarnation of an instance of the system.
type Instance struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation grows with each start of the instance.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Mark is what the caller's header says about earlier attempts of a key.
type Mark uint8

const (
	// Unmarked: nothing is said; an earlier attempt may exist.
	Unmarked Mark = iota
	// First: the caller vouches that no earlier attempt exists.
	First
	// Resend: an earlier attempt exists.
	Resend
)

// Command is one log entry. Exactly one of the pointers is set.
type Command struct {
	// Now is the proposer's clock in Unix milliseconds.
	Now          int64         `cbor:"1,keyasint"`
	Claim        *Claim        `cbor:"2,keyasint,omitempty"`
	Finish       *Finish       `cbor:"3,keyasint,omitempty"`
	Abandon      *Abandon      `cbor:"4,keyasint,omitempty"`
	Expire       *Expire       `cbor:"5,keyasint,omitempty"`
	InstanceLost *InstanceLost `cbor:"6,keyasint,omitempty"`
}

// Claim requests the right to send a request.
type Claim struct {
	Key      Key       `cbor:"1,keyasint"`
	Body     Digest    `cbor:"2,keyasint"`
	Attempt  AttemptID `cbor:"3,keyasint"`
	Instance Instance  `cbor:"4,keyasint"`
	// LifetimeSeconds is at least 1; more than MaxLifetime is refused.
	LifetimeSeconds uint32 `cbor:"5,keyasint"`
	Mark            Mark   `cbor:"6,keyasint,omitempty"`
}

// Finish records how the attempt that holds a key ended.
type Finish struct {
	Key     Key       `cbor:"1,keyasint"`
	Attempt AttemptID `cbor:"2,keyasint"`
	// Verdict is MayHaveRun or Ran; an attempt that did not run is abandoned instead.
	Verdict verdict.Verdict `cbor:"3,keyasint"`
	// Status is the HTTP status of the answer; 0 if there was none.
	Status uint16 `cbor:"4,keyasint,omitempty"`
	// Answer is the digest of the answer.
	Answer Digest `cbor:"5,keyasint"`
}

// Abandon gives up an attempt, whether or not its claim has been applied.
type Abandon struct {
	Key     Key       `cbor:"1,keyasint"`
	Attempt AttemptID `cbor:"2,keyasint"`
	// NotRun says that nothing was sent and nothing will be. Only then is the key
	// released; otherwise its record changes to MayHaveRun.
	NotRun bool `cbor:"3,keyasint,omitempty"`
	// LifetimeSeconds and Mark are those of the Claim.
	LifetimeSeconds uint32 `cbor:"4,keyasint"`
	Mark            Mark   `cbor:"5,keyasint,omitempty"`
}

// Expire moves the table's clock towards Command.Now and removes expired records.
type Expire struct{}

// InstanceLost says that an incarnation of an instance, and every earlier one, has
// ended or counts as ended. What it had running may have run.
type InstanceLost struct {
	Instance Instance `cbor:"1,keyasint"`
}

// Reply is the kind of a Result.
type Reply uint8

const (
	// Invalid: the command was malformed; see Message. Nothing changed.
	Invalid Reply = iota
	// Accepted: a Finish, Abandon, Expire or InstanceLost took effect, now or
	// when it was applied earlier.
	Accepted
	// Granted: this attempt holds the key and may send.
	Granted
	// Running: Owner runs the key under Attempt.
	Running
	// Done: the key's attempt ended with Verdict, Status and Answer.
	Done
	// MayHaveRun: the outcome of the key's attempt is not known and won't be.
	MayHaveRun
	// Conflict: the key has a record with another body.
	Conflict
	// Held: the key was released and is granted to nobody for RetryAfterMillis.
	Held
	// Released: this very attempt was abandoned.
	Released
	// Full: the table has no room for another key.
	Full
	// Stale: the claim is older than its lifetime.
	Stale
	// OwnerLost: the claim's instance counts as lost in this incarnation.
	OwnerLost
	// NotOwner: the attempt does not hold the key. Nothing changed.
	NotOwner
	// Forgotten: there is no record of the key. Nothing changed.
	Forgotten
	// Blocked: the claims of this region were lost, and new ones are refused for
	// RetryAfterMillis. The host makes this reply; a Table never does.
	Blocked
)

var replyNames = [...]string{
	Invalid: "invalid", Accepted: "accepted", Granted: "granted", Running: "running",
	Done: "done", MayHaveRun: "may_have_run", Conflict: "conflict", Held: "held",
	Released: "released", Full: "full", Stale: "stale", OwnerLost: "owner_lost",
	NotOwner: "not_owner", Forgotten: "forgotten", Blocked: "blocked",
}

// String returns the reply's name in snake case.
func (r Reply) String() string {
	if int(r) < len(replyNames) {
		return replyNames[r]
	}
	return "unknown"
}

// Result is the table's reply to a command.
type Result struct {
	Reply Reply `cbor:"1,keyasint"`
	// Owner and Attempt are set with Running.
	Owner   Instance  `cbor:"2,keyasint"`
	Attempt AttemptID `cbor:"3,keyasint"`
	// Verdict, Status and Answer are set with Done.
	Verdict verdict.Verdict `cbor:"4,keyasint,omitempty"`
	Status  uint16          `cbor:"5,keyasint,omitempty"`
	Answer  Digest          `cbor:"6,keyasint"`
	// RetryAfterMillis is set with Held, Full and Blocked.
	RetryAfterMillis int64 `cbor:"7,keyasint,omitempty"`
	// Message is set with Invalid.
	Message string `cbor:"8,keyasint,omitempty"`
}
