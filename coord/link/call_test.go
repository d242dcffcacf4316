package link

import (
	"bytes"
	"context"
	"testing"

	"pgregory.net/rapid"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Symptom: a caller is told "not run" of a request that is sent later, gets
// another's answer, or gets two.
// Events: writer, timeout, lost connection and answers, also late, doubled and
// of the wrong peer, in any order.
// Cause: giving up and sending are not decided at one place.
func TestCallsEndOnceAndHonestly(t *testing.T) {
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
			all[i] = &call{to: "b", item: it, done: make(chan callEnd, 1)}
			it.call = all[i]
			cs.add(all[i])
		}
		var ends [n][]callEnd
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
				written[i] = p.admit(on[i%2], c.item, c.item.queuedAt) || written[i]
			case 1:
				if len(ends[i]) == 0 {
					p, err := h.timedOut(context.Background(), c)
					ends[i] = append(ends[i], callEnd{p, asVerdict(err)})
				}
				cs.remove(c.item.frame.ID)
			case 2:
				from := rapid.SampledFrom([]string{"b", "c"}).Draw(t, "from")
				h.deliverAnswer(from, &frame{Kind: frameAnswer, ID: c.item.frame.ID, Payload: []byte(from + string(rune('0'+i)))})
			case 3:
				cs.lose(on[i%2])
			case 4:
				c.item.giveUp(CodeUnreachable, "")
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

// Symptom: garbage of a broken peer stops an instance or fills its memory.
// Events: chunks without a beginning, too many of them, unknown kinds, noise.
// Cause: frames taken in before their order and length are checked.
func TestBadBatchesAreRefused(t *testing.T) {
	for name, frames := range map[string][]frame{
		"chunk first":     {{Kind: frameChunk}},
		"second chunked":  {{More: true}, {More: true}},
		"unknown kind":    {{Kind: frameKinds}},
		"too long":        {{Payload: make([]byte, 101)}},
		"too long in sum": {{More: true, Payload: make([]byte, 60)}, {Kind: frameChunk, More: true, Payload: make([]byte, 60)}},
		"long channel":    {{Channel: string(make([]byte, maxChannelName+1))}},
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
