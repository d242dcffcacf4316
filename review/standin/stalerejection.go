package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const host = "catalogue.example"

// smallSite starts three core machines and two edge machines in three zones of one region, with the
// given runners behind one unsafe route, and waits until it serves.
func smallSite(rec *record, root string, runners []*runner) (*site, error) {
	s, err := newSite(rec, root, map[string]string{"zone-a": "region", "zone-b": "region", "zone-c": "region"})
	if err != nil {
		return nil, err
	}
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s.add(fmt.Sprintf("core-%d", n+1), zone, true)
	}
	s.add("edge-1", "zone-a", false)
	s.add("edge-2", "zone-b", false)
	var entries []map[string]any
	for n, r := range runners {
		if err := r.start(s.ip(100+n) + ":0"); err != nil {
			return s, err
		}
		entries = append(entries, r.entry())
	}
	s.list.set(entries...)
	if err := s.startAll(); err != nil {
		return s, err
	}
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
		return s, err
	}
	if err := s.order(s.cores()[0], "PUT", "/api/config", config, 20*time.Second); err != nil {
		return s, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return s, err
	}
	// Each machine has been in touch for that long.
	time.Sleep(contactTime)
	return s, nil
}

// staleRejection checks the rules TWICE and REFUSED for unsafe requests while the runners shed a share
// of the requests with their health check good (srv_grey) and also send a second copy of a few answers,
// late (garble).
func staleRejection(rec *record, root string, trouble bool) (int, error) {
	all := &runs{byID: map[string][]run{}}
	var runners []*runner
	for n := range 3 {
		runners = append(runners, &runner{rec: rec, id: fmt.Sprintf("i-%d", n+1), service: "catalogue-api", zone: []string{"zone-a", "zone-b", "zone-c"}[n],
			slots: 6, work: 60 * time.Millisecond, runs: all})
	}
	s, err := smallSite(rec, root, runners)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return failed, err
	}
	if trouble {
		// All are grey (srv_grey, how "shed all", x 0.45); two of the three spoil answers (garble, how "extra
		// late", share 0.6, x 0.05).
		for n, r := range runners {
			extra := 0.05
			if n == 2 {
				extra = 0
			}
			r.setFaults(0.45, extra)
		}
		rec.say("all runners shed 0.45 of their requests; i-1 and i-2 send 0.05 of their answers a second time, late")
	}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	const clients, length = 8, 60 * time.Second
	began := time.Now()
	for n := range clients {
		wg.Go(func() {
			for time.Since(began) < length {
				addresses, err := s.resolve(s.edges()[n%2], host)
				if err != nil {
					rec.add("client: %v", err)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				a := s.send(addresses[n%len(addresses)], host, "POST", "/lookup/title", []byte("title=1"), 4*time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	// What runs later counts too.
	time.Sleep(2 * time.Second)
	return judgeOnce(rec, all, answers), nil
}

// judgeOnce counts unsafe requests that ran more than once, and those that were answered 429, 503, 408
// or 421 although they ran.
func judgeOnce(rec *record, all *runs, answers []answer) int {
	ends := map[int]int{}
	twice, refused := 0, 0
	for _, a := range answers {
		ends[a.status]++
		n := len(all.of(a.id))
		if n > 1 {
			twice++
			rec.add("TWICE: request %s ran %d times and was answered %d", a.id, n, a.status)
		}
		if promise := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421; promise && n > 0 {
			refused++
			rec.add("REFUSED: request %s was answered %d and ran %d times", a.id, a.status, n)
		}
	}
	rec.say("%d unsafe requests; answers by status (0: none): %v", len(answers), ends)
	rec.say("ran more than once (TWICE): %d; refused although they ran (REFUSED): %d", twice, refused)
	if ends[200] < len(answers)/10 {
		rec.say("too few requests were served")
		return failed
	}
	if twice+refused > 0 {
		return broken
	}
	return held
}
