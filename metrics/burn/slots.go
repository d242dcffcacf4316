package burn

import "time"

const (
	// fineSlot and fineSlots cover the windows up to an hour.
	fineSlot  = 30 * time.Second
	fineSlots = int(time.Hour / fineSlot)
	// coarseSlot and coarseSlots cover the longest window.
	coarseSlot  = 5 * time.Minute
	coarseSlots = int(LongestWindow / coarseSlot)
	// Longest is how far a History goes back.
	LongestWindow = 6 * time.Hour
)

// Count counts requests; Missed is by cause, in the order of Causes.
type Count struct {
	Requests uint32
	Missed   [misses]uint32
}

// Misses are the missed requests of all causes.
func (c Count) Misses() int64 {
	var n int64
	for _, m := range c.Missed {
		n += int64(m)
	}
	return n
}

// By is the number missed by a cause.
func (c Count) ByCause(cause Cause) int64 {
	if cause == Met {
		return int64(c.Requests) - c.Misses()
	}
	return int64(c.Missed[cause-1])
}

// plus is the sum.
func (c Count) plus(o Count) Count {
	c.Requests += o.Requests
	for i := range c.Missed {
		c.Missed[i] += o.Missed[i]
	}
	return c
}

// minus is the difference; what would fall below zero stays zero.
func (c Count) minus(o Count) Count {
	c.Requests -= min(c.Requests, o.Requests)
	for i := range c.Missed {
		c.Missed[i] -= min(c.Missed[i], o.Missed[i])
	}
	return c
}

// Slot is the count of a short time; Number counts such times since 1970.
type Slot struct {
	Number int64
	Count  Count
}

// slots is a ring; a slot belongs to the time whose number it carries.
type slots struct {
	length time.Duration
	ring   []Slot
}

func newSlots(length time.Duration, n int) *slots {
	return &slots{length: length, ring: make([]Slot, n)}
}

func (s *slots) number(t time.Time) int64 { return t.UnixNano() / int64(s.length) }

// add counts into the slot of a number. If the clock was set back, the place
// holds a later time, and what is added is left out.
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

// held are the slots that have counts and are not older than the ring.
func (s *slots) held(now time.Time) Slots {
	oldest := s.number(now) - int64(len(s.ring))
	var list Slots
	for _, slot := range s.ring {
		if slot.Number > oldest && slot.Count.Requests > 0 {
			list = append(list, slot)
		}
	}
	return list
}

// sum counts the slots that overlap the window before now. Slots of the
// future, by a clock that runs ahead, are left out.
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
