package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
)

// Ports are handed out below the range that the system takes the local ports of
// connections and of listeners at any port from: one of that range can be taken by any
// program between the end of a runner and the start of its successor.
const (
	firstPort = 10000
	lastPort  = 14999
)

// subnet is a part of the loopback network for one World, so that several may run.
type subnet struct {
	b, c int
	// next is the port that is tried next: none is given out twice.
	next int
}

func newSubnet() *subnet {
	pid := os.Getpid()
	return &subnet{b: 20 + pid%200, c: pid / 200 % 250, next: firstPort}
}

func (s *subnet) host(n int) string { return fmt.Sprintf("127.%d.%d.%d", s.b, s.c, n+1) }

// address is one of a host, with a port that is given out once.
func (s *subnet) address(host string) (string, error) {
	for s.next <= lastPort {
		address := fmt.Sprintf("%s:%d", host, s.next)
		s.next++
		if tryListen(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no port is left at %s", host)
}

// port is one that is free at a number of hosts.
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
		if !tryListen(fmt.Sprintf("%s:%d", s.host(n), port)) {
			return false
		}
	}
	return true
}

// starting is held while a process is started and while a listener of this process is
// closed. A process that is being started has a copy of every open file until it runs its
// program: a port whose listener was closed meanwhile stays taken until then.
var starting sync.Mutex

// startProcess starts a process. Nothing else may call Start by itself.
func startProcess(cmd *exec.Cmd) error {
	starting.Lock()
	defer starting.Unlock()
	return cmd.Start()
}

// server is an HTTP server whose address is used again after its end.
type server struct {
	http http.Server
	l    net.Listener
}

func serve(address string, h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{http: http.Server{Handler: h, ReadHeaderTimeout: settle}, l: l}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// end closes the listener too: one that does not serve yet would be closed later, while a
// process may be starting.
func (s *server) end() error {
	starting.Lock()
	defer starting.Unlock()
	err := s.http.Close()
	_ = s.l.Close()
	return err
}

// tryListen listens at an address for a moment.
func tryListen(address string) bool {
	starting.Lock()
	defer starting.Unlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
