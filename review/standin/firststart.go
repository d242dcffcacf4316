package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"
)

const (
	// killAfter is when the process of the first core machine is killed; the other machines start then,
	// within the 0.3 s in which all start. downTime is for how long it is down.
	killAfter, downTime = 250 * time.Millisecond, 500 * time.Millisecond
	// patience is for how long the operator sends the first configuration again, and clients try: five
	// times recoveryS.
	patience = 60 * time.Second
)

// firstStart checks that a deployment serves at all if the process of one core machine, a seed, is killed
// once while the whole system starts for the first time. It is back after half a second, on its disk,
// with bootstrap set to false.
func firstStart(rec *record, root string, trouble bool) (int, error) {
	all := &runs{byID: map[string][]run{}}
	s, err := newSite(rec, root, map[string]string{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"})
	if err != nil {
		return failed, err
	}
	defer s.stop()
	var entries []map[string]any
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s.add(fmt.Sprintf("core-%d", n+1), zone, true) // the seeds
		r := &runner{rec: rec, id: fmt.Sprintf("i-%d", n+1), service: "catalogue-api", zone: zone, slots: 6, work: 60 * time.Millisecond, runs: all}
		if err := r.start(s.ip(100+n) + ":0"); err != nil {
			return failed, err
		}
		entries = append(entries, r.entry())
	}
	s.list.set(entries...)
	s.add("core-4", "zone-a", true)
	s.add("core-5", "zone-b", true)
	s.add("edge-1", "zone-a", false)
	s.add("edge-2", "zone-b", false)
	s.add("edge-3", "zone-c", false)
	victim := s.machines[0]
	if err := s.start(victim, true); err != nil {
		return failed, err
	}
	if trouble {
		time.Sleep(killAfter)
		s.signal(victim, syscall.SIGKILL)
		<-victim.exited
	}
	for _, m := range s.machines[1:] {
		if err := s.start(m, true); err != nil {
			return failed, err
		}
	}
	if trouble {
		time.Sleep(downTime)
		if err := s.start(victim, false); err != nil {
			return failed, err
		}
	}
	return s.serveFirst()
}

// serveFirst sends the first configuration until it is accepted, and requests until one is served.
func (s *site) serveFirst() (int, error) {
	config, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "title-lookup", "host": host, "pathPrefix": "/lookup/", "kind": "unsafe", "timeoutMs": 2000, "targetLatencyMs": 600,
			"priority": 2, "service": "catalogue-api", "attempts": 1, "stickySessions": false, "resumable": false, "homeRegions": []string{},
		}},
		"services": []map[string]any{{"name": "catalogue-api", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return failed, err
	}
	began := time.Now()
	acked := make(chan error, 1)
	go func() { acked <- s.order(s.cores()[1], "PUT", "/api/config", config, patience) }()
	sent, served := 0, 0
	ends := map[int]int{}
	for served < 20 && time.Since(began) < patience {
		for _, m := range s.edges() {
			a := s.send(s.at(m, s.ports.front), host, "POST", "/lookup/title", []byte("title=1"), 4*time.Second)
			sent++
			ends[a.status]++
			if a.status == 200 && a.signed {
				served++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.rec.say("%d requests in %v; answers by status (0: none): %v", sent, time.Since(began).Round(100*time.Millisecond), ends)
	if err := <-acked; err != nil {
		s.rec.say("the first configuration: %v", err)
	}
	if served == 0 {
		s.rec.say("no request was served")
		return broken, nil
	}
	return held, nil
}
