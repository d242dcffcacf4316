package soak

import (
	"fmt"
	"net"
	"os"
)

// subnet is a part of the loopback network for one World, so that several may run.
type subnet struct {
	b, c int
	// taken are ports that were given out: a port is free to the kernel until somebody
	// listens, so that it would give out one of them twice.
	taken map[int]bool
}

func newSubnet() *subnet {
	pid := os.Getpid()
	return &subnet{b: 20 + pid%200, c: pid / 200 % 250, taken: map[int]bool{}}
}

func (s *subnet) host(n int) string { return fmt.Sprintf("127.%d.%d.%d", s.b, s.c, n+1) }

// tries bounds the search for a port.
const tries = 50

// address is one of a host, with a port that is given out once.
func (s *subnet) address(host string) (string, error) {
	for range tries {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", err
		}
		a := l.Addr().(*net.TCPAddr)
		_ = l.Close()
		if !s.taken[a.Port] {
			s.taken[a.Port] = true
			return a.String(), nil
		}
	}
	return "", fmt.Errorf("no port is free at %s", host)
}

// port is one that is free at a number of hosts.
func (s *subnet) port(hosts int) (int, error) {
	for range tries {
		address, err := s.address(s.host(0))
		if err != nil {
			return 0, err
		}
		a, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			return 0, err
		}
		if s.free(hosts, a.Port) {
			return a.Port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at %d hosts", hosts)
}

func (s *subnet) free(hosts, port int) bool {
	for n := range hosts {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.host(n), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
