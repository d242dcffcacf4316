package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	// directoryBytes bounds an answer of the directory.
	directoryBytes = 1 << 20
	// directoryPause is how long a caller goes on with its old list after no
	// instance gave a new one.
	directoryPause = 500 * time.Millisecond
)

// entry is an instance in the directory's answer.
type entry struct {
	Instance string  `json:"instance"`
	URL      string  `json:"url"`
	Weight   float64 `json:"weight"`
}

// listing is the directory's answer.
type listing struct {
	Instances []entry `json:"instances"`
	TTLMillis int64   `json:"ttl_ms"`
}

// check refuses instances that are not on loopback.
func (l *listing) check() error {
	if len(l.Instances) == 0 {
		return fmt.Errorf("the directory lists no instance")
	}
	for _, e := range l.Instances {
		if err := CheckLoopback(hostOf(e.URL)); err != nil {
			return fmt.Errorf("directory: instance %s: %w", e.Instance, err)
		}
	}
	return nil
}

// choose picks an instance by weight, pick from 0 up to 1, leaving some out.
// Those of weight 0, which are of other regions, are used in equal parts, and
// only if no other is left. It returns "" if all are left out.
func choose(entries []entry, pick float64, without map[string]bool) string {
	var weighted, far []entry
	sum := 0.0
	for _, e := range entries {
		switch {
		case without[hostOf(e.URL)]:
		case e.Weight > 0:
			weighted = append(weighted, e)
			sum += e.Weight
		default:
			far = append(far, e)
		}
	}
	for _, e := range weighted {
		if pick -= e.Weight / sum; pick < 0 {
			return hostOf(e.URL)
		}
	}
	if len(weighted) > 0 { // what rounding left over
		return hostOf(weighted[len(weighted)-1].URL)
	}
	if len(far) == 0 {
		return ""
	}
	return hostOf(far[int(pick*float64(len(far)))].URL)
}

// caller keeps what the directory told one caller.
type caller struct {
	name string
	key  string

	mu      sync.Mutex
	entries []entry
	until   time.Time
	// gone are instances that could not be reached since the list was read.
	gone map[string]bool
}

func newCaller(c *Config, i int) *caller {
	return &caller{
		name: fmt.Sprintf("load-%d", i),
		key:  c.Keys[i%len(c.Keys)],
		gone: map[string]bool{},
	}
}

// instance returns the address to use now, other than those in not. It reads
// the directory again after its time to live, and returns "" if none is known.
func (s *sender) instance(ctx context.Context, c *caller, pick float64, not ...string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := s.now(); !now.Before(c.until) {
		s.refresh(ctx, c, now)
	}
	without := map[string]bool{}
	for address := range c.gone {
		without[address] = true
	}
	for _, address := range not {
		without[address] = true
	}
	return choose(c.entries, pick, without)
}

// left says that an instance could not be reached.
func (c *caller) left(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone[address] = true
}

// refresh asks the known instances in turn, then the addresses that were given.
func (s *sender) refresh(ctx context.Context, c *caller, now time.Time) {
	c.until = now.Add(directoryPause)
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, hostOf(e.URL))
	}
	addresses = append(addresses, s.cfg.To...)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return c.gone[a] && !slices.Contains(s.cfg.To, a) })
	for _, address := range addresses {
		got, err := s.readDirectory(ctx, address, c.name)
		if err != nil {
			s.noteDirectory(err)
			continue
		}
		c.entries = got.Instances
		c.until = now.Add(time.Duration(got.TTLMillis) * time.Millisecond)
		clear(c.gone)
		return
	}
}

func (s *sender) readDirectory(ctx context.Context, address, name string) (*listing, error) {
	q := url.Values{"caller": {name}}
	if s.cfg.Region != "" {
		q.Set("region", s.cfg.Region)
	}
	if s.cfg.Zone != "" {
		q.Set("zone", s.cfg.Zone)
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/directory?"+q.Encode(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("directory of %s: status %d", address, resp.StatusCode)
	}
	var l listing
	if err := json.NewDecoder(io.LimitReader(resp.Body, directoryBytes)).Decode(&l); err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	return &l, l.check()
}

// directoryTimeout bounds one reading.
const directoryTimeout = 2 * time.Second
