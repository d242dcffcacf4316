package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Impairment is what a Forwarder does to the bytes that it forwards. The zero value forwards
// them at once.
type Impairment struct {
	// Delay is the delay of each piece of bytes.
	Delay time.Duration
	// HoldIn holds back bytes to the process, HoldOut bytes from it. They are delivered when
	// the impairment ends, as after a network partition.
	HoldIn, HoldOut bool
}

// Forwarder is a TCP proxy in front of a process or runner. It is safe for concurrent use.
type Forwarder struct {
	to string
	l  net.Listener

	mu         sync.Mutex
	impairment Impairment
	// changed is closed and replaced when impairment changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	// refusals counts the calls of RefuseConns in progress; l is closed meanwhile.
	refusals int
	wg       sync.WaitGroup
}

// Forward returns a running Forwarder from address listen to address to. The caller must
// call Close.
func Forward(listen, to string) (*Forwarder, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{to: to, l: l, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	f.wg.Go(func() { f.accept(l) })
	return f, nil
}

// Address returns the address at which it listens.
func (f *Forwarder) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.l.Addr().String()
}

// SetImpairment replaces the impairment, also for existing connections.
func (f *Forwarder) SetImpairment(t Impairment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.impairment = t
	close(f.changed)
	f.changed = make(chan struct{})
}

// RefuseConns refuses new connections for a time. Those that are open go on.
func (f *Forwarder) RefuseConns(during time.Duration) error {
	f.mu.Lock()
	f.refusals++
	_ = f.l.Close()
	f.mu.Unlock()
	time.Sleep(during)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusals--; f.refusals > 0 || f.closed {
		return nil
	}
	l, err := net.Listen("tcp", f.l.Addr().String())
	if err != nil {
		return err
	}
	f.l = l
	f.wg.Go(func() { f.accept(l) })
	return nil
}

// Reset resets all connections.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		abort(c)
	}
}

// Close resets all connections, stops listening and waits for both. A nil Forwarder has nothing to
// close.
func (f *Forwarder) Close() {
	if f == nil {
		return
	}
	f.mu.Lock()
	f.closed = true
	_ = f.l.Close()
	f.mu.Unlock()
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

func (f *Forwarder) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		f.wg.Go(func() { f.forward(in) })
	}
}

// forward dials the target and copies both ways until both directions have ended.
func (f *Forwarder) forward(in net.Conn) {
	out, err := net.Dial("tcp", f.to)
	if err != nil {
		abort(in)
		return
	}
	if !f.track(in, out) {
		return
	}
	defer f.untrack(in, out)
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(out, in, func(t Impairment) bool { return t.HoldIn }) })
	wg.Go(func() { f.copy(in, out, func(t Impairment) bool { return t.HoldOut }) })
	wg.Wait()
}

func (f *Forwarder) track(conns ...net.Conn) bool {
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

func (f *Forwarder) untrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.conns, c)
		_ = c.Close()
	}
}

// copy copies bytes and the end of the stream. A side that has closed its sending direction
// still receives. After an error both connections are reset.
func (f *Forwarder) copy(to, from net.Conn, held func(Impairment) bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		f.waitToForward(held)
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

// waitToForward waits until bytes are not held back any more, and for the delay.
func (f *Forwarder) waitToForward(held func(Impairment) bool) {
	for {
		f.mu.Lock()
		t, changed := f.impairment, f.changed
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
