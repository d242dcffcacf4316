package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTime is how long a caller of control waits for a response.
const callTime = time.Second

// call sends one order to one core machine and waits at most callTime.
func (s *site) call(m *machine, method, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.at(m, s.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		s.rec.add("operator: %s %s at %s: %v", method, path, m.name, err)
		return 0, err
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	s.rec.add("operator: %s %s at %s: %d", method, path, m.name, res.StatusCode)
	return res.StatusCode, nil
}

// order sends an order to the given machine first and then to the others, with increasing backoff,
// until it is acknowledged.
func (s *site) order(first *machine, method, path string, body []byte, limit time.Duration) error {
	machines := []*machine{first}
	for _, m := range s.cores() {
		if m != first {
			machines = append(machines, m)
		}
	}
	pause := 100 * time.Millisecond
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		status, err := s.call(machines[n%len(machines)], method, path, body)
		switch {
		case err == nil && status/100 == 2:
			return nil
		case err == nil && status/100 == 4 && status != 408 && status != 429:
			return fmt.Errorf("%s %s: %d", method, path, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return fmt.Errorf("%s %s: no acknowledgement within %v", method, path, limit)
}
