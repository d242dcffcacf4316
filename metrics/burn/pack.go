package burn

import (
	"encoding/binary"
	"slices"

	"github.com/juju/errors"
)

// Slots are slots of one length. They travel as a byte string of variable
// integers: for each slot the step of its number, its requests, a mask of the
// causes that have counts, and those counts; some five bytes in place of
// sixteen, since what neighbours are handed counts against their link budget.
type Slots []Slot

// MarshalBinary packs slots in the order of their numbers.
func (s Slots) MarshalBinary() ([]byte, error) {
	list := slices.SortedFunc(slices.Values(s), func(x, y Slot) int { return int(x.Number - y.Number) })
	var data []byte
	last := int64(0)
	for _, slot := range list {
		data = binary.AppendVarint(data, slot.Number-last)
		last = slot.Number
		data = binary.AppendUvarint(data, uint64(slot.Count.Requests))
		data = appendMissed(data, slot.Count.Missed)
	}
	return data, nil
}

func appendMissed(data []byte, missed [misses]uint32) []byte {
	mask := byte(0)
	for i, m := range missed {
		if m > 0 {
			mask |= 1 << i
		}
	}
	data = append(data, mask)
	for _, m := range missed {
		if m > 0 {
			data = binary.AppendUvarint(data, uint64(m))
		}
	}
	return data
}

// UnmarshalBinary is the reverse of MarshalBinary. The error is ErrMalformed.
func (s *Slots) UnmarshalBinary(data []byte) error {
	*s = nil
	r := unpacker{data: data}
	number := int64(0)
	for len(r.data) > 0 && !r.bad {
		number += r.step()
		slot := Slot{Number: number, Count: Count{Requests: r.count()}}
		mask := r.mask()
		for i := range slot.Count.Missed {
			if mask&(1<<i) != 0 {
				slot.Count.Missed[i] = r.count()
			}
		}
		*s = append(*s, slot)
	}
	if r.bad {
		return errors.Annotate(ErrMalformed, "packed slots")
	}
	return nil
}

// unpacker reads from data until something is wrong.
type unpacker struct {
	data []byte
	bad  bool
}

func (r *unpacker) step() int64 {
	v, n := binary.Varint(r.data)
	r.skip(n)
	return v
}

func (r *unpacker) count() uint32 {
	v, n := binary.Uvarint(r.data)
	r.skip(n)
	r.bad = r.bad || v > 1<<32-1
	return uint32(v)
}

func (r *unpacker) mask() byte {
	if len(r.data) == 0 {
		r.bad = true
		return 0
	}
	m := r.data[0]
	r.data = r.data[1:]
	r.bad = r.bad || m >= 1<<misses
	return m
}

// skip takes n bytes; a number that ended early or is too long has n <= 0.
func (r *unpacker) skip(n int) {
	if n <= 0 {
		r.bad, r.data = true, nil
		return
	}
	r.data = r.data[n:]
}
