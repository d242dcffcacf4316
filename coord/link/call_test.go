package link

import (
	"bytes"
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Guards against a caller that gets NotRun for a request that is sent later, the
// answer to another call, or two answers, if dropping and sending are not
// decided by one atomic step. Writes, timeouts, lost connections and answers
// (also late, duplicate and of the wrong peer) occur in any order.
func TestCallsEndOnceWithACorrectVerdict(t *testing.T) {
	h, _, _ := newCluster(t).hub("a", nil)
	rapid.Check(t, func(t *rapid.T) {
		cs := newCalls(rapid.Uint64().Draw(t, "first id"))
		p := newPeer(h, "b")
		h.calls = cs
		on := []*conn{{p: p}, {p: p}}
		const n = 3
		var all [n]*call
		var written [n]bool
		for i := range all {
			it := h.newItem(frameCall, "x", []byte{byte(i)})
			all[i] = &call{to: "b", item: it, done: make(chan callResult, 1)}
			it.call = all[i]
			cs.add(all[i])
		}
		var ends [n][]callResult
		collect := func(i int) {
			select {
			case e := <-all[i].done:
				ends[i] = append(ends[i], e)
			default:
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "call")
			c := all[i]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				written[i] = p.claimForWrite(on[i%2], c.item, c.item.queuedAt) || written[i]
			case 1:
				if len(ends[i]) == 0 {
					p, err := h.timedOut(context.Background(), c)
					ends[i] = append(ends[i], callResult{p, asVerdict(err)})
				}
				cs.remove(c.item.frame.ID)
			case 2:
				from := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "from")
				h.deliverAnswer(from, &frame{Kind: frameAnswer, ID: c.item.frame.ID, Payload: []byte(from + string(rune('0'+i)))})
			case 3:
				cs.failConn(on[i%2])
			case 4:
				c.item.drop(CodeUnreachable, "")
			}
			collect(i)
		}
		for i := range all {
			collect(i)
			if len(ends[i]) > 1 {
				t.Fatalf("call %d ended %d times", i, len(ends[i]))
			}
			for _, e := range ends[i] {
				if e.err == nil && (!written[i] || string(e.payload) != "b"+string(rune('0'+i))) {
					t.Fatalf("call %d, written %v, got %q", i, written[i], e.payload)
				}
				if e.err != nil && written[i] != (e.err.Verdict == verdict.MayHaveRun) {
					t.Fatalf("call %d, written %v, ended with %v", i, written[i], e.err)
				}
			}
		}
	})
}

// Guards against malformed batches of a faulty peer that crash an instance or
// exhaust its memory, if the order and length of frames (chunks without a first
// frame, too many chunks, unknown kinds, noise) are not checked first.
func TestBadBatchesAreRefused(t *testing.T) {
	for name, frames := range map[string][]frame{
		"chunk first":     {{Kind: frameChunk}},
		"second chunked":  {{More: true}, {More: true}},
		"unknown kind":    {{Kind: frameKinds}},
		"too long":        {{Payload: make([]byte, 101)}},
		"too long in sum": {{More: true, Payload: make([]byte, 60)}, {Kind: frameChunk, More: true, Payload: make([]byte, 60)}},
		"long channel":    {{Channel: string(make([]byte, maxChannelNameBytes+1))}},
	} {
		var b bytes.Buffer
		for _, f := range frames {
			if err := appendFrame(&b, &f); err != nil {
				t.Fatal(err)
			}
		}
		in := assembler{maxMessage: 100}
		if err := in.read(b.Bytes(), func(*frame) {}); err == nil {
			t.Errorf("%s: read", name)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		in := assembler{maxMessage: 100}
		_ = in.read(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"), func(f *frame) {
			if len(f.Payload) > 100 {
				t.Fatal("payload over the bound")
			}
		})
	})
}
