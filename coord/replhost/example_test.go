package replhost_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/gullhaven/gullhaven/coord/replhost"
	"github.com/gullhaven/gullhaven/coord/replog"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/coord/wal/faultfs"
)

// counter is a state machine that adds up the lengths of what it is given.
type counter struct{ sum uint64 }

func (c *counter) Apply(_ uint64, data []byte) []byte {
	c.sum += uint64(len(data))
	return fmt.Append(nil, c.sum)
}

func (c *counter) Snapshot() ([]byte, error) {
	return binary.BigEndian.AppendUint64(nil, c.sum), nil
}

func (c *counter) Restore(data []byte) error {
	if len(data) != 8 {
		return errors.New("a counter's snapshot has eight bytes")
	}
	c.sum = binary.BigEndian.Uint64(data)
	return nil
}

// alone is the transport of a group of one: there is nobody to send to. With
// others, Send hands the payload to the network (coord/link, for example), and
// whoever gets it calls Receive.
type alone struct{}

func (alone) Send(string, []byte) {}

// propose asks again as long as the proposal did not run: at the start no
// leader is elected yet. After any other verdict it must not, as the proposal
// could then run twice.
func propose(ctx context.Context, n *replhost.Node, data string) (string, error) {
	for {
		result, err := n.Propose(ctx, []byte(data))
		var e *verdict.Error
		if !errors.As(err, &e) || !e.Verdict.SafeToRetry() {
			return string(result), err
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return "", err
		}
	}
}

// One voter keeps a counter over a restart. The disk is one in memory; without
// FS the node writes to the folder Dir.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	disk := faultfs.New()
	for range 2 {
		node, err := replhost.Open(replhost.Options{
			Core: replog.Options{
				Self:      replog.Member{ID: "a"},
				Bootstrap: &replog.Bootstrap{Voters: []string{"a"}},
			},
			FS: disk, Dir: "data",
			Transport: alone{}, StateMachine: &counter{},
		})
		if err != nil {
			fmt.Println(err)
			return
		}
		sum, err := propose(ctx, node, "four")
		fmt.Println("new folder:", node.Status().New, "sum:", sum, "error:", err)
		if err := node.Stop(); err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// new folder: true sum: 4 error: <nil>
	// new folder: false sum: 8 error: <nil>
}
