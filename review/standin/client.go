package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id      string
	status  int // 0: no answer
	signed  bool
	body    []byte
	sentAt  time.Time
	endedAt time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// resolve asks a machine's directory for the addresses to connect to.
func (s *site) resolve(m *machine, host string) ([]string, error) {
	client := &http.Client{Timeout: time.Second}
	q := url.Values{"name": {host}, "region": {s.region[m.zone]}, "zone": {m.zone}}
	res, err := client.Get("http://" + s.at(m, s.ports.directory) + "/api/resolve?" + q.Encode())
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil || len(reply.Addresses) == 0 {
		return nil, fmt.Errorf("directory of %s: %d", m.name, res.StatusCode)
	}
	return reply.Addresses, nil
}

// send sends one request on a new connection. It never sends it again.
func (s *site) send(address, host, method, path string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	s.rec.add("client: request %s %s %s to %s", a.id, method, path, address)
	res, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err == nil {
		a.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.endedAt = time.Now()
	if err != nil {
		s.rec.add("client: request %s ends without an answer: %v", a.id, err)
		return a
	}
	a.status, a.signed = res.StatusCode, res.Header.Get("X-Response-Signature") != ""
	s.rec.add("client: request %s is answered %d, signed %v, retry after %q", a.id, a.status, a.signed, res.Header.Get("Retry-After"))
	return a
}
