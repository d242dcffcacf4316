package link

import (
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gullhaven/gullhaven/coord/keys"
)

// testTimeout ends a test that hangs; a passing test never waits for it.
const testTimeout = 30 * time.Second

// cluster holds an authority and the addresses of its instances.
type cluster struct {
	t         testing.TB
	authority *keys.Authority
	mu        sync.Mutex
	addrs     map[string]string
	wire      atomic.Uint64
}

type instance struct {
	*Hub
	server *httptest.Server
	// linkChanges gets each change reported by OnLink.
	linkChanges chan bool
}

func newCluster(t testing.TB) *cluster {
	a, err := keys.NewAuthority("test", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &cluster{t: t, authority: a, addrs: map[string]string{}}
}

func (c *cluster) address(id string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.addrs[id]
	return a, ok
}

func (c *cluster) setAddress(id, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addrs[id] = addr
}

// hub returns a Hub without a listener.
func (c *cluster) hub(id string, change func(*Options)) (*Hub, *keys.Key, chan bool) {
	c.t.Helper()
	key, err := c.authority.Issue(keys.Identity{Instance: id, Region: "r"}, nil, time.Now(), time.Hour)
	if err != nil {
		c.t.Fatal(err)
	}
	links := make(chan bool, 64)
	o := Options{
		Key:            key,
		Address:        c.address,
		UrgentChannels: []string{"urgent"},
		Rand:           rand.New(rand.NewPCG(1, uint64(len(id)))),
		OnLink: func(_ string, up bool) {
			select {
			case links <- up:
			default:
			}
		},
		MaxAge: testTimeout,
	}
	if change != nil {
		change(&o)
	}
	h, err := New(o)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(h.Close)
	return h, key, links
}

func (c *cluster) instance(id string, change func(*Options)) *instance {
	c.t.Helper()
	h, key, links := c.hub(id, change)
	mux := http.NewServeMux()
	mux.Handle(DefaultPath, h.Handler())
	s := httptest.NewUnstartedServer(mux)
	s.TLS = key.ServerConfig()
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Config.ConnState = TuneConn
	s.Listener = &countingListener{s.Listener, &c.wire}
	s.StartTLS()
	// Closing the hubs first ends the hijacked connections.
	c.t.Cleanup(func() { h.Close(); s.Close() })
	c.setAddress(id, s.Listener.Addr().String())
	return &instance{h, s, links}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	n *atomic.Uint64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l.n}, err
}

type countingConn struct {
	net.Conn
	n *atomic.Uint64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(uint64(n))
	return n, err
}

// proxy is a TCP proxy that can become a black hole: connections stay open, but
// no bytes pass.
type proxy struct {
	net.Listener
	blackholed atomic.Bool
}

func newProxy(t testing.TB, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &proxy{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go c.copy(out, in)
			go c.copy(in, out)
		}
	}()
	return c
}

func (c *proxy) copy(to, from net.Conn) {
	defer to.Close()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if c.blackholed.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func recv[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}
