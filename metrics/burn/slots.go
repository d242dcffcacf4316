package burn

import "time"

const (
	// fineSlotDuration and fineSlotCount cover the windows up to an hour.
	fineSlotDuration = 30 * time.Second
	fineSlotCount    = int(time.Hour / fineSlotDuration)
	// coarseSlotDuration and coarseSlotCount cover the longest window.
	coarseSlotDuration = 5 * time.Minute
	coarseSlotCount    = int(LongestWindow / coarseSlotDuration)
	// LongestWindow is how far a History goes back.
	LongestWindow = 6 * time.Hour
)

// Count counts requests. Missed is by cause, in the order of Causes.
type Count struct {
	Requests uint32
	Missed   [causeCount]uint32
}

// Misses returns the number of missed requests of all causes.
func (c Count) Misses() int64 {
	var n int64
	for _, m := range c.Missed {
		n += int64(m)
	}
	return n
}

// ByCause returns the number of requests missed through a cause; for Met, the number not missed.
func (c Count) ByCause(cause Cause) int64 {
	if cause == Met {
		return int64(c.Requests) - c.Misses()
	}
	return int64(c.Missed[cause-1])
}

// plus returns the sum.
func (c Count) plus(o Count) Count {
	c.Requests += o.Requests
	for i := range c.Missed {
		c.Missed[i] += o.Missed[i]
	}
	return c
}

// minus returns the difference, with 0 instead of negative counts.
func (c Count) minus(o Count) Count {
	c.Requests -= min(c.Requests, o.Requests)
	for i := range c.Missed {
		c.Missed[i] -= min(c.Missed[i], o.Missed[i])
	}
	return c
}

// Slot is the count in a short span of time. Number is the number of such spans since 1970.
type Slot struct {
	Number int64
	Count  Count
}

// slots is a ring of slots, each of the time given by its number.
type slots struct {
	duration time.Duration
	ring     []Slot
}

func newSlots(length time.Duration, n int) *slots {
	return &slots{duration: length, ring: make([]Slot, n)}
}

func (s *slots) number(t time.Time) int64 { return t.UnixNano() / int64(s.duration) }

// add adds to the slot of a number. If the clock was set back, the ring may hold a later slot at
// its position; the count is dropped then.
func (s *slots) add(number int64, c Count) {
	slot := &s.ring[number%int64(len(s.ring))]
	if slot.Number > number {
		return
	}
	if slot.Number < number {
		*slot = Slot{Number: number}
	}
	slot.Count = slot.Count.plus(c)
}

// recent returns the slots that have counts and are not older than the ring.
func (s *slots) recent(now time.Time) Slots {
	oldest := s.number(now) - int64(len(s.ring))
	var list Slots
	for _, slot := range s.ring {
		if slot.Number > oldest && slot.Count.Requests > 0 {
			list = append(list, slot)
		}
	}
	return list
}

// sum adds up the slots that overlap the window before now. Slots of the future, from a clock
// that is ahead, are ignored.
func sum(list []Slot, length, window time.Duration, now time.Time) Count {
	last := now.UnixNano() / int64(length)
	oldest := last - int64((window+length-1)/length)
	var c Count
	for _, slot := range list {
		if slot.Number > oldest && slot.Number <= last {
			c = c.plus(slot.Count)
		}
	}
	return c
}
