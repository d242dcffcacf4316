package replhost

import (
	"testing"

	"github.com/gullhaven/gullhaven/coord/replog"
)

// Guards against packing a heartbeat with a long append: it is delayed behind the
// append on the link, and an election begins meanwhile. Long messages are sent alone,
// short ones together, and all messages to a node in order.
func TestHeartbeatsAreNotPackedWithLongMessages(t *testing.T) {
	to := func(id string, kind replog.MessageKind, bytes int) replog.Message {
		m := replog.Message{Kind: kind, To: replog.Member{ID: id}}
		if bytes > 0 {
			m.Entries = []replog.Entry{{Data: make([]byte, bytes)}}
		}
		return m
	}
	long := to("b", replog.MsgSnapshot, 0)
	long.Snapshot = &replog.Snapshot{Data: make([]byte, 2*maxPackedBytes)}
	batches := packMessages([]replog.Message{
		to("a", replog.MsgHeartbeat, 0), to("b", replog.MsgHeartbeat, 0),
		to("a", replog.MsgAppend, 2*maxPackedBytes), to("a", replog.MsgHeartbeat, 0), to("a", replog.MsgAppend, 1),
		long, to("b", replog.MsgHeartbeat, 0),
		to("c", replog.MsgAppend, maxPackedBytes/2), to("c", replog.MsgAppend, maxPackedBytes/2), to("c", replog.MsgAppend, 1),
	})
	sent := map[string][]int{}
	for _, p := range batches {
		sent[p.to] = append(sent[p.to], len(p.messages))
		for _, m := range p.messages {
			if dataBytes(&m) > maxPackedBytes && len(p.messages) > 1 {
				t.Errorf("a message of %d bytes to %s goes with %d others", dataBytes(&m), p.to, len(p.messages)-1)
			}
		}
	}
	for id, want := range map[string][]int{"a": {1, 1, 2}, "b": {1, 1, 1}, "c": {2, 1}} {
		if len(sent[id]) != len(want) {
			t.Errorf("%s: batches of %v messages, want %v", id, sent[id], want)
		}
	}
}
