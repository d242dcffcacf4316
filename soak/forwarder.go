package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Trouble is what a Forwarder does to the bytes that pass it.
type Impairment struct {
	// Delay of each piece.
	Delay time.Duration
	// HoldIn holds back what is sent to the process, HoldOut what it sends. What is held
	// back is delivered when the trouble is over, as after a cut of a network.
	HoldIn, HoldOut bool
}

// Forwarder stands before a process: it passes connections on.
type Forwarder struct {
	to string
	l  net.Listener

	mu      sync.Mutex
	trouble Impairment
	// changed is closed when trouble changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	wg      sync.WaitGroup
}

// Forward listens at an address and passes on to another one.
func Forward(listen, to string) (*Forwarder, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{to: to, l: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	f.wg.Go(f.accept)
	return f, nil
}

// Address is where it listens.
func (f *Forwarder) Address() string { return f.l.Addr().String() }

// Set replaces the trouble.
func (f *Forwarder) SetImpairment(t Impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trouble = t
	close(f.changed)
	f.changed = make(chan struct{})
}

// Reset ends all connections without a word.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		abort(c)
	}
}

// Close ends it.
func (f *Forwarder) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	_ = f.l.Close()
	f.SetImpairment(Impairment{})
	f.Reset()
	f.wg.Wait()
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (f *Forwarder) accept() {
	for {
		in, err := f.l.Accept()
		if err != nil {
			return
		}
		f.wg.Go(func() { f.pass(in) })
	}
}

// pass connects and copies both ways until one side ends.
func (f *Forwarder) pass(in net.Conn) {
	out, err := net.Dial("tcp", f.to)
	if err != nil {
		abort(in)
		return
	}
	if !f.enter(in, out) {
		return
	}
	defer f.leave(in, out)
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(out, in, func(t Impairment) bool { return t.HoldIn }) })
	wg.Go(func() { f.copy(in, out, func(t Impairment) bool { return t.HoldOut }) })
	wg.Wait()
}

func (f *Forwarder) enter(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		if f.closed {
			abort(c)
			continue
		}
		f.conns[c] = true
	}
	return !f.closed
}

func (f *Forwarder) leave(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.conns, c)
		_ = c.Close()
	}
}

// copy passes bytes on, and the end of them: a side that has ended its sending is still
// sent to. After an error both sides end.
func (f *Forwarder) copy(to, from net.Conn, held func(Impairment) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		f.await(held)
		if n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				abort(from)
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			abort(to)
			return
		}
	}
}

// await waits until bytes may pass.
func (f *Forwarder) await(held func(Impairment) bool) {
	for {
		f.mu.Lock()
		t, changed := f.trouble, f.changed
		f.mu.Unlock()
		if !held(t) {
			if t.Delay > 0 {
				time.Sleep(t.Delay)
			}
			return
		}
		<-changed
	}
}
