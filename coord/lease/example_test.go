package lease_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/lease"
)

// A leader is replaced while it is partitioned. A target that checks the fencing
// number refuses its late order; for one that ignores the number, the successor
// waits until no order of the previous leader can arrive any more.
func Example() {
	cfg := lease.Config{Duration: 10 * time.Second, MaxDrift: 0.01}
	now := time.Unix(1_800_000_000, 0)

	previous := lease.NewHolder(cfg)
	previous.Renewed(1, now)
	late, err := previous.Issue(now, 2*time.Second)
	fmt.Println("issued:", err)

	next := lease.NewHolder(cfg)
	next.Renewed(2, now.Add(11*time.Second))
	order, _ := next.Issue(now.Add(11*time.Second), 2*time.Second)
	var target lease.Fence
	fmt.Println("new leader:", target.Accept(order))
	fmt.Println("previous leader:", target.Accept(late))
	_, err = previous.Issue(now.Add(11*time.Second), 2*time.Second)
	fmt.Println("lease held:", !errors.Is(err, lease.ErrNotHeld))

	successor := lease.NewSuccessor(cfg, now, true)
	fmt.Println("wait, number checked:", successor.Wait(lease.Target{ChecksFence: true}))
	wait := successor.Wait(lease.Target{OrderExpiry: 2 * time.Second})
	fmt.Println("wait, number ignored:", wait.Round(10*time.Millisecond))

	// Output:
	// issued: <nil>
	// new leader: <nil>
	// previous leader: order 1/1 after 2/1
	// lease held: false
	// wait, number checked: 0s
	// wait, number ignored: 12.22s
}
