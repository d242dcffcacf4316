package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

// Guards against long messages that arrive corrupted if chunks are split or
// joined wrongly, and against a second connection if a connected peer dials.
// Messages of all lengths around a chunk are sent to a peer and back.
func TestMessagesArriveWholeAndInOrderBothWays(t *testing.T) {
	c := newCluster(t)
	a, b := c.instance("a", nil), c.instance("b", nil)
	got := make(chan []byte, 600)
	a.Handle("bulk", func(_ string, p []byte) { got <- p })
	b.Handle("bulk", func(from string, p []byte) {
		if !a.Stats().Peers["b"].Connected || from != "a" {
			t.Errorf("message from %q", from)
		}
		b.Send("a", "bulk", p)
	})
	big := make([]byte, DefaultMaxMessage)
	for i := range big {
		big[i] = byte(i * i >> 8)
	}
	sizes := []int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 3 * chunkBytes, len(big)}
	for _, n := range sizes {
		if !a.Send("b", "bulk", big[:n]) {
			t.Fatalf("%d bytes refused", n)
		}
	}
	for _, n := range sizes {
		if p := recv(t, got, "echo"); !bytes.Equal(p, big[:n]) {
			t.Fatalf("%d bytes came back as %d others", n, len(p))
		}
	}
	if a.Send("b", "bulk", append(big, 1)) {
		t.Fatal("a message over the bound was queued")
	}
	if s := a.Stats(); s.Connections != 1 || b.Stats().Connections != 1 || s.Channels["bulk"].Received != uint64(len(sizes)) {
		t.Fatalf("%+v", s)
	}
}

// Guards against a leader that loses leadership while it sends a snapshot, if
// its heartbeats wait behind a long message in the same queue or behind one that
// is written in one piece.
func TestUrgentMessagesOvertakeLongOnes(t *testing.T) {
	c := newCluster(t)
	h, _, _ := c.hub("a", nil)
	p := newPeer(h, "b")
	on := &conn{p: p}
	long := make([]byte, 20*chunkBytes)
	for range 3 {
		p.push(h.newItem(frameMessage, "bulk", long))
	}
	in := assembler{maxMessage: len(long)}
	whole, batches := 0, 0
	for whole < 3 {
		p.push(h.newItem(frameMessage, "urgent", []byte{byte(batches)}))
		var batch bytes.Buffer
		p.fillBatch(&batch, on, nil)
		if batch.Len() > maxBatchBytes {
			t.Fatalf("batch of %d bytes", batch.Len())
		}
		urgent := 0
		err := in.read(batch.Bytes(), func(f *frame) {
			if f.Channel == "urgent" && f.Payload[0] == byte(batches) {
				urgent++
			} else if len(f.Payload) == len(long) {
				whole++
			}
		})
		if err != nil || urgent != 1 {
			t.Fatalf("batch %d: %d urgent messages, %v", batches, urgent, err)
		}
		batches++
	}
	if batches < 20 {
		t.Fatalf("long messages went in %d batches", batches)
	}
}

// Guards against a follower that gets heartbeats from minutes ago after an
// outage, if queued messages are written whatever their age.
func TestStaleMessagesAreNotWritten(t *testing.T) {
	h, _, _ := newCluster(t).hub("a", nil)
	p := newPeer(h, "b")
	it := h.newItem(frameMessage, "urgent", []byte("old"))
	it.queuedAt = it.queuedAt.Add(-testTimeout - time.Second)
	p.push(it)
	var batch bytes.Buffer
	p.fillBatch(&batch, &conn{p: p}, nil)
	if batch.Len() != 0 || h.Stats().Channels["urgent"].Dropped != 1 {
		t.Fatalf("wrote %d bytes of an old message", batch.Len())
	}
}

// Guards against a caller that gets NotRun for a request that ran, or can't
// retry one that did not run, if the verdict does not match how far the request
// got: the handler fails, is missing or busy, the peer is down, or the caller's
// context has ended.
func TestCallEndsWithTheRightVerdict(t *testing.T) {
	c := newCluster(t)
	a, b := c.instance("a", nil), c.instance("b", func(o *Options) { o.RingSize = 1 })
	c.setAddress("nobody", "127.0.0.1:1")
	started, hold := make(chan struct{}, 8), make(chan struct{})
	b.Serve("ok", 1, func(_ context.Context, from string, p []byte) ([]byte, error) { return append(p, from...), nil })
	b.Serve("verdict", 1, func(context.Context, string, []byte) ([]byte, error) {
		return nil, &verdict.Error{Verdict: verdict.Ran, Code: "done_before", RetryAfter: time.Second}
	})
	b.Serve("error", 1, func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("x") })
	b.Serve("text", 1, func(context.Context, string, []byte) ([]byte, error) { return nil, errors.New("\xff") })
	b.Serve("slow", 1, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		started <- struct{}{}
		<-hold
		return nil, nil
	})
	defer close(hold)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if p, err := a.Call(ctx, "b", "ok", []byte("hi ")); err != nil || string(p) != "hi a" {
		t.Fatalf("%q, %v", p, err)
	}
	ended, end := context.WithCancel(ctx)
	end()
	for _, x := range []struct {
		name, to, channel string
		payload           []byte
		verdict           verdict.Verdict
		code              verdict.Code
	}{
		{"handler's verdict", "b", "verdict", nil, verdict.Ran, "done_before"},
		{"handler's error", "b", "error", nil, verdict.MayHaveRun, CodeFailed},
		{"handler's bad text", "b", "text", nil, verdict.MayHaveRun, CodeFailed},
		{"no handler", "b", "none", nil, verdict.NotRun, CodeNoHandler},
		{"nobody listens", "nobody", "ok", nil, verdict.NotRun, CodeUnreachable},
		{"backoff after that", "nobody", "ok", nil, verdict.NotRun, CodeUnreachable},
		{"no address", "unknown", "ok", nil, verdict.NotRun, CodeUnreachable},
		{"itself", "a", "ok", nil, verdict.NotRun, CodeUnreachable},
		{"too long", "b", "ok", make([]byte, DefaultMaxMessage+1), verdict.NotRun, CodeTooLong},
	} {
		_, err := a.Call(ctx, x.to, x.channel, x.payload)
		var e *verdict.Error
		if !errors.As(err, &e) || e.Verdict != x.verdict || e.Code != x.code {
			t.Errorf("%s: %v", x.name, err)
		}
	}
	go a.Call(ctx, "b", "slow", nil)
	recv(t, started, "start of the handler")
	// One of the two fills the ring and waits; the other finds it full.
	refused := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := a.Call(ctx, "b", "slow", nil)
			refused <- err
		}()
	}
	var e *verdict.Error
	if err := recv(t, refused, "refusal"); !errors.As(err, &e) || e.Verdict != verdict.NotRun || e.Code != CodeOverloaded {
		t.Errorf("overloaded handler: %v", err)
	}
	if _, err := a.Call(ended, "b", "slow", nil); !errors.As(err, &e) || e.Code == "" || e.Verdict == verdict.Ran {
		t.Errorf("ended context: %v", err)
	}
	// A slow handler does not block the other channels of the connection.
	if _, err := a.Call(ctx, "b", "ok", nil); err != nil {
		t.Errorf("behind a slow channel: %v", err)
	}
}

// Guards against a request that runs twice if a lost connection counts as
// NotRun, and against a caller that waits forever if calls do not end with their
// connection: the peer ends or is frozen while it handles a request.
func TestCallsOnALostConnectionMayHaveRun(t *testing.T) {
	c := newCluster(t)
	a, b := c.instance("a", nil), c.instance("b", nil)
	started := make(chan struct{})
	b.Serve("slow", 1, func(ctx context.Context, _ string, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	failed := make(chan error)
	go func() {
		_, err := a.Call(context.Background(), "b", "slow", nil)
		failed <- err
	}()
	recv(t, started, "start of the handler")
	b.mu.RLock()
	b.peers["a"].closeAll()
	b.mu.RUnlock()
	var e *verdict.Error
	if err := recv(t, failed, "end of the call"); !errors.As(err, &e) || e.Verdict != verdict.MayHaveRun || e.Code != CodeLost {
		t.Fatalf("%v", err)
	}
}

// Guards against messages that are lost for minutes although both instances run:
// the network drops all packets of a connection without closing it, a new
// connection would work, and nothing checks that written messages reach the peer.
func TestSilentConnectionIsDetectedAndReplaced(t *testing.T) {
	c := newCluster(t)
	quick := func(o *Options) {
		o.PingAfter, o.PingTimeout = 20*time.Millisecond, 100*time.Millisecond
		o.MinBackoff, o.MaxBackoff = time.Millisecond, 10*time.Millisecond
	}
	a, b := c.instance("a", quick), c.instance("b", nil)
	direct, _ := c.address("b")
	relay := newProxy(t, direct)
	c.setAddress("b", relay.Addr().String())
	got := make(chan []byte, 1024)
	b.Handle("urgent", func(_ string, p []byte) { got <- p })
	a.Send("b", "urgent", []byte("before"))
	recv(t, got, "message")
	if !recv(t, a.linkChanges, "link up") {
		t.Fatal("link down first")
	}
	relay.blackholed.Store(true)
	a.Send("b", "urgent", []byte("lost"))
	if recv(t, a.linkChanges, "link down") {
		t.Fatal("the silent connection was not detected")
	}
	c.setAddress("b", direct)
	a.Send("b", "urgent", []byte("after"))
	if p := recv(t, got, "message after the reconnect"); string(p) != "after" {
		t.Fatalf("got %q", p)
	}
	if s := a.Stats(); s.PingTimeouts == 0 || s.Peers["b"].Reconnects != 1 {
		t.Fatalf("%+v", s)
	}
}

// Guards against a foreign process that exchanges messages with instances if the
// link does not check keys on both sides: it connects without a valid key, or
// listens at the former address of an instance.
func TestInstancesOfOtherAuthoritiesGetNoLink(t *testing.T) {
	c, others := newCluster(t), newCluster(t)
	a, b := c.instance("a", nil), c.instance("b", nil)
	foreign := others.instance("b", nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for name, addr := range map[string]string{"other authority": foreign.server.Listener.Addr().String(), "other instance": a.server.Listener.Addr().String()} {
		c.setAddress("c", addr)
		var e *verdict.Error
		if _, err := b.Call(ctx, "c", "x", nil); !errors.As(err, &e) || e.Verdict != verdict.NotRun {
			t.Errorf("%s: %v", name, err)
		}
		b.RemovePeer("c")
	}
	bare := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if r, err := bare.Get(a.server.URL + DefaultPath); err == nil {
		t.Errorf("without a key: %s", r.Status)
	}
	own, _ := c.authority.Issue(keys.Identity{Instance: "a", Region: "r"}, nil, time.Now(), time.Hour)
	echo := &http.Client{Transport: &http.Transport{TLSClientConfig: own.ClientConfig("a")}}
	r, err := echo.Get(a.server.URL + DefaultPath)
	if err != nil || r.StatusCode != http.StatusForbidden {
		t.Errorf("under the instance's own id: %v, %v", r, err)
	}
	if s := a.Stats(); s.Accepts != 0 || s.Connections != 0 {
		t.Errorf("%+v", s)
	}
}

// Guards against simulated partitions that let messages through on a connection
// that was open before, if AllowPeer is only called when connecting.
func TestAllowPeerBlocksAnOpenPair(t *testing.T) {
	c := newCluster(t)
	var blocked atomic.Bool
	asked := make(chan struct{}, 64)
	allow := func(string) bool {
		if blocked.Load() {
			asked <- struct{}{}
			return false
		}
		return true
	}
	a, b := c.instance("a", func(o *Options) { o.AllowPeer = allow }), c.instance("b", nil)
	got := make(chan string, 16)
	a.Handle("m", func(_ string, p []byte) { got <- "a" + string(p) })
	b.Handle("m", func(_ string, p []byte) { got <- "b" + string(p) })
	a.Send("b", "m", []byte("1"))
	recv(t, got, "message")
	blocked.Store(true)
	a.Send("b", "m", []byte("2"))
	b.Send("a", "m", []byte("3"))
	recv(t, asked, "question on writing")
	recv(t, asked, "question on reading")
	blocked.Store(false)
	a.Send("b", "m", []byte("4"))
	if m := recv(t, got, "message after unblocking"); m != "b4" {
		t.Fatalf("%q passed", m)
	}
	b.Send("a", "m", []byte("5"))
	if m := recv(t, got, "message after unblocking"); m != "a5" {
		t.Fatalf("%q passed", m)
	}
	if s := a.Stats(); s.BlockedReceived != 1 || s.Channels["m"].Dropped != 1 {
		t.Fatalf("%+v", s)
	}
}

// Guards against all peers dialling an instance at the same moment when it comes
// back, if waits have no jitter or growth, and against waits without a maximum,
// after any number of failed attempts.
func TestBackoffGrowsWithJitterToItsMaximum(t *testing.T) {
	o := Options{MinBackoff: time.Millisecond, MaxBackoff: 50 * time.Millisecond}
	r := rand.New(rand.NewPCG(1, 2))
	seen := map[time.Duration]bool{}
	for n := range 100 {
		full := min(o.MaxBackoff, o.MinBackoff<<min(n, 10))
		w := o.backoff(n, r)
		if w < full/2 || w > full {
			t.Fatalf("wait %v after %d failures", w, n)
		}
		seen[w] = true
	}
	if len(seen) < 50 {
		t.Fatalf("%d different waits", len(seen))
	}
}
