package metrics

import (
	"slices"
	"sync"
	"time"
)

const (
	// burnSlot is the length of one slot of the history.
	burnSlot = 30 * time.Second
	// burnSlots cover the longest window.
	burnSlots = int(6 * time.Hour / burnSlot)
)

// BurnWindows are the windows that burn is reported over: a short one that shows
// an outage at once, and longer ones that show whether it matters.
var BurnWindows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Burn keeps how many requests of each service kept its objective, over the last
// six hours, in slots of half a minute: about 11 KB for each service.
type Burn struct {
	mu       sync.Mutex
	services map[string]*burnHistory
}

// burnHistory is a ring of slots; a slot belongs to the time number it carries.
type burnHistory struct {
	slots [burnSlots]burnCount
}

type burnCount struct {
	number           int64
	requests, missed uint32
}

// NewBurn makes an empty history.
func NewBurn() *Burn { return &Burn{services: map[string]*burnHistory{}} }

// Observe takes the end of one request. A request whose service is not known
// says nothing of a service.
func (b *Burn) Observe(now time.Time, service string, kept bool) {
	if service == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.services[service]
	if !ok {
		h = &burnHistory{}
		b.services[service] = h
	}
	h.observe(slotNumber(now), kept)
}

func slotNumber(t time.Time) int64 { return t.UnixNano() / int64(burnSlot) }

func (h *burnHistory) observe(number int64, kept bool) {
	c := &h.slots[number%int64(burnSlots)]
	if c.number > number {
		return // the clock was set back; the slot is of a later time
	}
	if c.number < number {
		*c = burnCount{number: number}
	}
	c.requests++
	if !kept {
		c.missed++
	}
}

// BurnRate is what one window shows.
type BurnRate struct {
	Window           time.Duration
	Requests, Missed int64
	// Rate is the share missed by the share that the objective allows to be
	// missed; at 1 the budget is used up exactly. It is 0 without requests.
	Rate float64
}

// Services lists the services that requests came for, sorted.
func (b *Burn) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := make([]string, 0, len(b.services))
	for n := range b.services {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Rates returns the burn of a service over each window. share is the part of
// requests that must keep the objective, 0 to 1.
func (b *Burn) Rates(now time.Time, service string, share float64) []BurnRate {
	b.mu.Lock()
	defer b.mu.Unlock()
	rates := make([]BurnRate, len(BurnWindows))
	for i, w := range BurnWindows {
		rates[i] = BurnRate{Window: w}
		if h := b.services[service]; h != nil {
			rates[i] = h.rate(slotNumber(now), w, share)
		}
	}
	return rates
}

func (h *burnHistory) rate(number int64, window time.Duration, share float64) BurnRate {
	r := BurnRate{Window: window}
	oldest := number - int64(window/burnSlot)
	for i := range h.slots {
		c := &h.slots[i]
		if c.number > oldest && c.number <= number {
			r.Requests += int64(c.requests)
			r.Missed += int64(c.missed)
		}
	}
	if r.Requests > 0 {
		r.Rate = float64(r.Missed) / float64(r.Requests) / max(1-share, minBudget)
	}
	return r
}

// minBudget stands for the budget of an objective that allows no miss.
const minBudget = 1e-6
