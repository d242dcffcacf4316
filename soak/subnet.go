package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/gullhaven/gullhaven/standin/loopback"
)

// Ports are allocated below the range of ephemeral ports: one of that range can be taken by
// any program between the end of a runner and the start of its successor.
const (
	firstPort = 10000
	lastPort  = 14999
)

// subnet is a part of the loopback network for one World, so that several can run at once.
type subnet struct {
	b, c int
	// next is the next port to try; none is allocated twice.
	next int
}

func newSubnet() *subnet {
	pid := os.Getpid()
	return &subnet{b: 20 + pid%200, c: pid / 200 % 250, next: firstPort}
}

func (s *subnet) host(n int) string { return fmt.Sprintf("127.%d.%d.%d", s.b, s.c, n+1) }

// address returns an address of a host with a free port, which is not allocated again.
func (s *subnet) address(host string) (string, error) {
	for s.next <= lastPort {
		address := fmt.Sprintf("%s:%d", host, s.next)
		s.next++
		if loopback.CheckAvailable(address) == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("no port is left at %s", host)
}

// port returns a port that is free at the first hosts of the subnet.
func (s *subnet) port(hosts int) (int, error) {
	for s.next <= lastPort {
		port := s.next
		s.next++
		if s.free(hosts, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is left at %d hosts", hosts)
}

func (s *subnet) free(hosts, port int) bool {
	for n := range hosts {
		if loopback.CheckAvailable(fmt.Sprintf("%s:%d", s.host(n), port)) != nil {
			return false
		}
	}
	return true
}

// server is an HTTP server whose address is reused after its end.
type server struct {
	http http.Server
	l    net.Listener
	// doubling has the answers sent twice.
	doubling *doubling
}

func serve(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: http.Server{Handler: h, ReadHeaderTimeout: effectTime}, l: l, doubling: &doubling{Listener: l}}
	go func() { _ = s.http.Serve(s.doubling) }()
	return s, nil
}

// end closes the server and its listener. Without the latter, a listener that is not served
// yet would be closed later, while a process may be starting.
func (s *server) end() error {
	err := loopback.Close(&s.http)
	_ = loopback.Close(s.l)
	return err
}
