package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// Cloud is the stand-in of the platform's list of runners.
type Cloud struct {
	Address string

	mu      sync.Mutex
	entries []Entry
}

// Entry is a runner on the list.
type Entry struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"coldRemainingMs"`
	Stage           string  `json:"stage,omitempty"`
	Born            int64   `json:"born,omitempty"`
}

// Start serves the list.
func (c *Cloud) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	c.Address = address
	go func() { _ = http.Serve(l, c) }()
	return nil
}

// Set replaces the list.
func (c *Cloud) Set(entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = entries
}

// ServeHTTP answers GET /instances in one page.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []Entry{}
	for _, e := range c.entries {
		if zone := r.URL.Query().Get("zone"); zone == "" || zone == e.Zone {
			out = append(out, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": out, "next": nil})
}
