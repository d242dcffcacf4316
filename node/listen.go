package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/api"
	"github.com/gullhaven/gullhaven/coord/keys"
	"github.com/gullhaven/gullhaven/coord/link"
	"github.com/gullhaven/gullhaven/metrics"
	"github.com/gullhaven/gullhaven/ports/serve"
)

// headerTimeout bounds how long a connection may take to send its headers, so that slow
// connections don't hold resources.
const headerTimeout = 10 * time.Second

// maxHeadBytes bounds the head of a request.
const maxHeadBytes = 64 << 10

// server is one listening interface.
type server struct {
	http *http.Server
	// plain serves it without TLS; nil with TLS.
	plain *serve.Server
}

// shutdown accepts no new connections and waits for those in use, until ctx ends.
func (s *server) shutdown(ctx context.Context) {
	if s.plain != nil {
		s.plain.Close(ctx)
		return
	}
	_ = s.http.Shutdown(ctx)
}

// listen opens the three interfaces: for callers, for operators and, with mutual TLS, for
// instances.
func (n *Node) listen() error {
	deps := api.Deps{Pipeline: n.pipeline, Directory: n.directory, Ready: n.Ready, Metrics: n.metrics}
	operators := deps
	operators.Operator = &operator{node: n}
	peers := http.NewServeMux()
	peers.Handle(link.DefaultPath, n.hub.Handler())
	peers.Handle("/", api.NewPeer(n.pipeline, peerID))
	for _, i := range []struct {
		name, address string
		handler       http.Handler
		tls           *tls.Config
	}{
		{"callers", n.s.Listen.Callers, api.New(deps), nil},
		{"operators", n.s.Listen.Operators, api.New(operators), nil},
		{"instances", n.s.Listen.Instances, peers, n.o.Key.ServerConfig()},
	} {
		if err := n.serve(i.name, i.address, i.handler, i.tls); err != nil {
			return err
		}
	}
	return nil
}

// peerID returns the id of the instance at the other end of a connection; empty if it has none.
func peerID(r *http.Request) string {
	id, err := keys.PeerIdentity(r.TLS)
	if err != nil {
		return ""
	}
	return id.Instance
}

// serve opens one interface and serves it until its server is closed.
func (n *Node) serve(name, address string, h http.Handler, config *tls.Config) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &server{http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          zap.NewStdLog(n.log.Named(name).WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}}
	if config == nil {
		s.plain = serve.New(l, s.http)
	}
	n.serversMu.Lock()
	n.servers = append(n.servers, s)
	n.serversMu.Unlock()
	if config == nil {
		bounds := serve.OtherBounds()
		if address == n.s.Listen.Callers {
			bounds = serve.CallerBounds(n.s.MemoryMB)
		}
		s.plain.Limit(n.memory, bounds, func() int { return maxHeadBytes })
		n.wg.Go(func() { _ = s.plain.Serve() })
		return nil
	}
	s.http.ConnState = link.TuneConn
	n.wg.Go(func() { _ = s.http.Serve(tls.NewListener(l, config)) })
	return nil
}

// intake returns what callers and operators take up.
func (n *Node) intake() metrics.Intake {
	n.serversMu.Lock()
	defer n.serversMu.Unlock()
	var plain []*serve.Server
	for _, s := range n.servers {
		if s.plain != nil {
			plain = append(plain, s.plain)
		}
	}
	return metrics.SumIntake(n.memory, plain)
}
