package soak

import (
	"fmt"
	"net"
	"os"
)

// subnet is a part of the loopback network for one World, so that several may run.
type subnet struct{ b, c int }

func newSubnet() subnet {
	pid := os.Getpid()
	return subnet{b: 20 + pid%200, c: pid / 200 % 250}
}

func (s subnet) host(n int) string { return fmt.Sprintf("127.%d.%d.%d", s.b, s.c, n+1) }

// tries bounds the search for a port.
const tries = 50

// freePort is one that is free at a number of hosts.
func (s subnet) freePort(hosts int) (int, error) {
	for range tries {
		address, err := freeAddress(s.host(0))
		if err != nil {
			return 0, err
		}
		port := portOf(address)
		if s.free(hosts, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at %d hosts", hosts)
}

func (s subnet) free(hosts, port int) bool {
	for n := range hosts {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.host(n), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// freeAddress is one where nobody listens now.
func freeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func portOf(address string) int {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return 0
	}
	return a.Port
}
