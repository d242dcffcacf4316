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
	// maxDirectoryBytes bounds an answer of the directory.
	maxDirectoryBytes = 1 << 20
	// directoryRetryDelay is how long a caller keeps its old list after no instance
	// returned a new one.
	directoryRetryDelay = 500 * time.Millisecond
)

type entry struct {
	Instance string  `json:"instance"`
	URL      string  `json:"url"`
	Weight   float64 `json:"weight"`
}

// directoryAnswer is the body of the directory's answer.
type directoryAnswer struct {
	Instances []entry `json:"instances"`
	TTLMillis int64   `json:"ttl_ms"`
}

// check returns an error for an empty list and for instances that are not on
// loopback.
func (l *directoryAnswer) check() error {
	if len(l.Instances) == 0 {
		return fmt.Errorf("the directory lists no instance")
	}
	for _, e := range l.Instances {
		if err := CheckLoopback(addressOf(e.URL)); err != nil {
			return fmt.Errorf("directory: instance %s: %w", e.Instance, err)
		}
	}
	return nil
}

// chooseInstance returns the address of an instance by weight; pick is in [0, 1).
// Instances with weight 0, which are in other regions, are used in equal shares
// and only if no other is left. It returns "" if all are excluded.
func chooseInstance(entries []entry, pick float64, excluded map[string]bool) string {
	var weighted, otherRegions []entry
	totalWeight := 0.0
	for _, e := range entries {
		switch {
		case excluded[addressOf(e.URL)]:
		case e.Weight > 0:
			weighted = append(weighted, e)
			totalWeight += e.Weight
		default:
			otherRegions = append(otherRegions, e)
		}
	}
	for _, e := range weighted {
		if pick -= e.Weight / totalWeight; pick < 0 {
			return addressOf(e.URL)
		}
	}
	if len(weighted) > 0 { // pick reached the totalWeight by rounding
		return addressOf(weighted[len(weighted)-1].URL)
	}
	if len(otherRegions) == 0 {
		return ""
	}
	return addressOf(otherRegions[int(pick*float64(len(otherRegions)))].URL)
}

// caller is one caller with its copy of the directory.
type caller struct {
	name string
	key  string

	mu         sync.Mutex
	entries    []entry
	validUntil time.Time
	// unreachable are addresses that took no connection since the list was read.
	unreachable map[string]bool
}

func newCaller(c *Config, i int) *caller {
	return &caller{
		name:        fmt.Sprintf("load-%d", i),
		key:         c.Keys[i%len(c.Keys)],
		unreachable: map[string]bool{},
	}
}

// instance returns the address to use now, other than the excluded ones, or "" if
// none is known. It reads the directory again after its time to live.
func (s *sender) instance(ctx context.Context, c *caller, pick float64, exclude ...string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := s.now(); !now.Before(c.validUntil) {
		s.refresh(ctx, c, now)
	}
	excluded := map[string]bool{}
	for address := range c.unreachable {
		excluded[address] = true
	}
	for _, address := range exclude {
		excluded[address] = true
	}
	return chooseInstance(c.entries, pick, excluded)
}

// markUnreachable excludes an instance until the directory is read again.
func (c *caller) markUnreachable(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[address] = true
}

// refresh asks the known instances in order, then the configured addresses.
func (s *sender) refresh(ctx context.Context, c *caller, now time.Time) {
	c.validUntil = now.Add(directoryRetryDelay)
	var addresses []string
	for _, e := range c.entries {
		addresses = append(addresses, addressOf(e.URL))
	}
	addresses = append(addresses, s.cfg.To...)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return c.unreachable[a] && !slices.Contains(s.cfg.To, a) })
	for _, address := range addresses {
		got, err := s.readDirectory(ctx, address, c.name)
		if err != nil {
			s.recordDirectoryError(err)
			continue
		}
		c.entries = got.Instances
		c.validUntil = now.Add(time.Duration(got.TTLMillis) * time.Millisecond)
		clear(c.unreachable)
		return
	}
}

func (s *sender) readDirectory(ctx context.Context, address, name string) (*directoryAnswer, error) {
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
	var l directoryAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDirectoryBytes)).Decode(&l); err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	return &l, l.check()
}

// directoryTimeout bounds one read of the directory.
const directoryTimeout = 2 * time.Second
