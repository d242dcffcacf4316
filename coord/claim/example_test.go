package claim_test

import (
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// localLog applies commands to a table at once. In production they are proposed to a
// replicated log whose state machine is the table, see coord/replhost.
type localLog struct {
	table *claim.Table
	index uint64
}

func (h *localLog) apply(c *claim.Command) claim.Result {
	entry, err := claim.Encode(*c)
	if err != nil {
		panic(err)
	}
	h.index++
	result, err := claim.DecodeResult(h.table.Apply(h.index, entry))
	if err != nil {
		panic(err)
	}
	return result
}

// A booking is sent under a claim. Its caller loses the answer and resends it to
// another instance, which must not run it a second time.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	h := &localLog{table: claim.NewTable()}
	request := claim.Request{
		Key: claim.KeyOf("booking-desk", "order-17"), Body: claim.DigestOf([]byte("two seats")),
		Attempt: claim.AttemptID{1}, Instance: claim.Instance{ID: "malang-1", Incarnation: 1},
		Mark: claim.First, Lifetime: 24 * time.Hour,
	}

	gate, step := claim.Open(now, request)
	step = gate.Replied(now, h.apply(step.Command))
	fmt.Println("send:", step.Action == claim.Send && gate.BeginSend())
	step = gate.Finished(now, verdict.Ran, 201, claim.DigestOf([]byte("confirmed")))
	fmt.Println("recorded:", h.apply(step.Command).Reply)

	request.Attempt, request.Mark = claim.AttemptID{2}, claim.Resend
	request.Instance.ID = "malang-2"
	gate, step = claim.Open(now, request)
	step = gate.Replied(now, h.apply(step.Command))
	fmt.Println("replay:", step.Action == claim.Replay, step.Done.Verdict, step.Done.Status)
	fmt.Println("send:", gate.BeginSend())

	// Output:
	// send: true
	// recorded: accepted
	// replay: true ran 201
	// send: false
}
