package burn

import (
	"encoding/binary"
	"slices"

	"github.com/juju/errors"
)

// Slots has slots of one duration. They are encoded as a byte string of variable-length
// integers: for each slot the difference of its number to the one before, its requests, a mask
// of the causes with counts, and those counts. This takes some five bytes instead of sixteen;
// the size counts against the link budget of the instances that get the snapshot.
type Slots []Slot

// MarshalBinary encodes the slots in the order of their numbers.
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

func appendMissed(data []byte, missed [causeCount]uint32) []byte {
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

// UnmarshalBinary decodes the result of MarshalBinary. The error is ErrMalformed.
func (s *Slots) UnmarshalBinary(data []byte) error {
	*s = nil
	r := slotReader{data: data}
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

// slotReader decodes data up to the first error, which sets bad.
type slotReader struct {
	data []byte
	bad  bool
}

func (r *slotReader) step() int64 {
	v, n := binary.Varint(r.data)
	r.skip(n)
	return v
}

func (r *slotReader) count() uint32 {
	v, n := binary.Uvarint(r.data)
	r.skip(n)
	r.bad = r.bad || v > 1<<32-1
	return uint32(v)
}

func (r *slotReader) mask() byte {
	if len(r.data) == 0 {
		r.bad = true
		return 0
	}
	m := r.data[0]
	r.data = r.data[1:]
	r.bad = r.bad || m >= 1<<causeCount
	return m
}

// skip removes n bytes. n <= 0 means a number that is truncated or too long.
func (r *slotReader) skip(n int) {
	if n <= 0 {
		r.bad, r.data = true, nil
		return
	}
	r.data = r.data[n:]
}
