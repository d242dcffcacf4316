package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// staleOrder checks the rule EVAC: a zone is evacuated, taken back, and evacuated again, while the core
// machine to which the withdrawal is sent first is frozen.
func staleOrder(rec *record, root string, trouble bool) (int, error) {
	all := &runs{byID: map[string][]run{}}
	var runners []*runner
	for n, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		runners = append(runners, &runner{rec: rec, id: fmt.Sprintf("i-%d", n+1), service: "catalogue-api", zone: zone, slots: 6, work: 20 * time.Millisecond, runs: all})
	}
	s, err := smallSite(rec, root, runners)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				if addresses, err := s.resolve(s.edges()[n%2], host); err == nil {
					a := s.send(addresses[n%len(addresses)], host, "POST", "/lookup/title", []byte("title=1"), 4*time.Second)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			}
		})
	}
	result := held
	for round := range len(s.cores()) * len(freezeTimes) {
		m, freeze := s.cores()[round%len(s.cores())], freezeTimes[round/len(s.cores())]
		from, to, err := s.evacuateTwice(m, freeze, trouble)
		if err != nil {
			close(stop)
			wg.Wait()
			return failed, err
		}
		late := 0
		mu.Lock()
		for _, a := range answers {
			for _, r := range all.of(a.id) {
				if r.runner.zone == "zone-a" && a.sentAt.After(from) && r.at.Before(to) {
					late++
					rec.add("EVAC: request %s reached %s", a.id, r.runner.id)
				}
			}
		}
		mu.Unlock()
		rec.say("withdrawal sent to %s first: %d requests reached the runner of the evacuated zone within the %v in which none may", m.name, late, to.Sub(from).Round(time.Millisecond))
		if late > 0 {
			result = broken
		}
	}
	close(stop)
	wg.Wait()
	return result, nil
}

// evacuateTwice orders an evacuation, its withdrawal, which it sends to m first, and the evacuation
// again. It returns the time in which no request may reach the zone: from evacuateMs after the second
// acknowledgement, and contactMs after m woke up, until the evacuation is taken back.
func (s *site) evacuateTwice(m *machine, freeze time.Duration, trouble bool) (from, to time.Time, err error) {
	const path = "/api/evacuate/zone-a"
	const limit = 10 * time.Second
	other := s.cores()[0]
	if other == m {
		other = s.cores()[1]
	}
	if err := s.order(other, "POST", path, nil, limit); err != nil {
		return from, to, err
	}
	time.Sleep(time.Second)
	frozenAt := time.Now()
	if trouble {
		s.signal(m, syscall.SIGSTOP)
	}
	thaw := func() {
		if trouble {
			s.signal(m, syscall.SIGCONT)
		}
	}
	if err := s.order(m, "DELETE", path, nil, limit); err != nil {
		thaw()
		return from, to, err
	}
	if err := s.order(other, "POST", path, nil, limit); err != nil {
		thaw()
		return from, to, err
	}
	acked := time.Now()
	s.rec.add("the second evacuation is acknowledged")
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	thaw()
	from = acked.Add(evacuateTime)
	if calm := time.Now().Add(contactTime + time.Second); calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from.Add(2 * time.Second)))
	to = time.Now()
	err = s.order(other, "DELETE", path, nil, limit)
	time.Sleep(time.Second)
	return from, to, err
}

// freezeTimes are for how long a core machine stands still at least: just over the second after which
// the operator turns to another one.
var freezeTimes = []time.Duration{1150 * time.Millisecond, 1250 * time.Millisecond}
