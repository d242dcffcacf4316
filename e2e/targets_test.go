package e2e

import (
	"net"
	"net/http"
	"testing"

	"github.com/gullhaven/gullhaven/standin"
	"github.com/gullhaven/gullhaven/standin/loopback"
)

// regionTargets are the targets of one region in the test's process.
type regionTargets struct {
	engines      []*engineTarget
	desk, titles *plainTarget
}

// target is a stand-in with a server that can be stopped and started again. The
// stand-in keeps its counts.
type target struct {
	t       *testing.T
	address string
	handler http.Handler
	server  *http.Server
	// listener is closed separately: a server that does not serve yet does not
	// know it.
	listener net.Listener
}

type engineTarget struct {
	target
	*standin.Engine
}

type plainTarget struct {
	target
	*standin.Plain
}

// up starts the server.
func (x *target) up() {
	x.t.Helper()
	must(x.t, x.tryUp())
}

func (x *target) tryUp() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.listener, x.server = l, &http.Server{Handler: x.handler}
	go func(s *http.Server) { _ = s.Serve(l) }(x.server)
	return nil
}

// down closes the listener and all connections, as the end of a target's process
// does.
func (x *target) down() {
	_ = loopback.Close(x.listener)
	_ = x.server.Close()
}

// end stops all targets that were started.
func (s *regionTargets) end() {
	for _, e := range s.engines {
		e.down()
	}
	for _, p := range []*plainTarget{s.desk, s.titles} {
		if p != nil {
			p.down()
		}
	}
}

// setFaults sets the same faults at all engines of the region.
func (s *regionTargets) setFaults(list ...standin.Fault) {
	for _, e := range s.engines {
		e.SetFaults(list...)
	}
}

// runsOf returns the number of runs of a prompt at all engines of the region.
func (s *regionTargets) runsOf(prompt string) int {
	n := 0
	for _, e := range s.engines {
		n += e.RunsOf(prompt)
	}
	return n
}

// startInProcessTargets starts the targets of the bundle in the test's process.
func (c *cluster) startInProcessTargets() {
	c.targets = map[string]*regionTargets{}
	for _, region := range regionNames {
		c.targets[region] = &regionTargets{}
	}
	for _, b := range c.bundle.Targets {
		s := c.targets[b.Region]
		if b.Service == "briefing" {
			e := standin.NewEngine(standin.EngineConfig{
				PerToken: standinTokenTime, Slots: b.Slots, IgnoresFence: !b.ChecksFence,
				Model: c.bundle.Models[0].ID, Version: c.bundle.Models[0].Versions[0].ID, Role: string(b.Role),
			})
			x := &engineTarget{target{t: c.t, address: b.Address, handler: e}, e}
			x.up()
			s.engines = append(s.engines, x)
			continue
		}
		p := standin.NewPlain(b.ID)
		x := &plainTarget{target{t: c.t, address: b.Address, handler: p}, p}
		x.up()
		if b.Service == "desk" {
			s.desk = x
		} else {
			s.titles = x
		}
	}
}

// bookingRuns returns the number of runs of an idempotency key at all desks.
func (c *cluster) bookingRuns(key string) int {
	n := 0
	for _, s := range c.targets {
		n += s.desk.Runs(key)
	}
	return n
}
