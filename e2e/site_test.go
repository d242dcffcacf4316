package e2e

import (
	"net"
	"net/http"
	"testing"

	"github.com/gullhaven/gullhaven/standin"
	"github.com/gullhaven/gullhaven/standin/loopback"
)

// site is the targets of one region in the test's process.
type site struct {
	engines      []*engineTarget
	desk, titles *plainTarget
}

// target is a stand-in behind a server that can be lost and come back. What
// the stand-in counted stays.
type target struct {
	t       *testing.T
	address string
	handler http.Handler
	server  *http.Server
	// listener is closed by itself: a server that has not begun to serve does not
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

// up listens and serves.
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

// down breaks all connections off and listens no longer, as the end of a
// target's process does.
func (x *target) down() {
	_ = loopback.Close(x.listener)
	_ = x.server.Close()
}

// end loses all targets that were started.
func (s *site) end() {
	for _, e := range s.engines {
		e.down()
	}
	for _, p := range []*plainTarget{s.desk, s.titles} {
		if p != nil {
			p.down()
		}
	}
}

// setFaults sets the same faults at all engines of the site.
func (s *site) setFaults(list ...standin.Fault) {
	for _, e := range s.engines {
		e.SetFaults(list...)
	}
}

// runsOf counts the runs of a prompt at all engines of the site.
func (s *site) runsOf(prompt string) int {
	n := 0
	for _, e := range s.engines {
		n += e.RunsOf(prompt)
	}
	return n
}

// startSites runs the targets of the bundle.
func (c *cluster) startSites() {
	c.sites = map[string]*site{}
	for _, region := range regionNames {
		c.sites[region] = &site{}
	}
	for _, b := range c.bundle.Targets {
		s := c.sites[b.Region]
		if b.Service == "briefing" {
			e := standin.NewEngine(standin.EngineConfig{
				ID: b.ID, PerToken: standinTokenTime, Slots: b.Slots, IgnoresFence: !b.ChecksFence,
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

// bookingRuns counts the runs of an idempotency key at the desks of all regions.
func (c *cluster) bookingRuns(key string) int {
	n := 0
	for _, s := range c.sites {
		n += s.desk.Runs(key)
	}
	return n
}
