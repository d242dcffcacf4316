package ports

import (
	"fmt"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// maxHeldChunks bounds the early chunks that are held.
const maxHeldChunks = 16

// SequenceCounts counts the chunks that did not come in order.
type SequenceCounts struct {
	// Duplicates were delivered before; they are dropped.
	Duplicates uint64
	// Reordered came early and were held until the chunks before them had come.
	Reordered uint64
	// Foreign belong to another attempt; they are dropped.
	Foreign uint64
}

// Add returns the sum of two counts.
func (c SequenceCounts) Add(o SequenceCounts) SequenceCounts {
	c.Duplicates += o.Duplicates
	c.Reordered += o.Reordered
	c.Foreign += o.Foreign
	return c
}

// Sequencer puts the chunks of one attempt in order.
//
// An engine behind a retrying or multiplexing layer can send a chunk twice, early,
// or to the wrong attempt. If they were relayed as received, the caller would read a
// garbled answer that looks whole. The Sequencer delivers each chunk of its own
// attempt once and in order, or reports a gap.
type Sequencer struct {
	attempt AttemptID
	next    uint64
	held    map[uint64][]byte
	counts  SequenceCounts
}

// NewSequencer returns a Sequencer that expects chunk after+1 of attempt a next.
func NewSequencer(a AttemptID, after uint64) *Sequencer {
	return &Sequencer{attempt: a, next: after + 1}
}

// Next returns the number of the chunk to deliver next.
func (s *Sequencer) Next() uint64 { return s.next }

// Counts returns the counts so far.
func (s *Sequencer) Counts() SequenceCounts { return s.counts }

// Accept reports whether data is the chunk to deliver now. Data that came early is
// copied and held for TakeHeld. An error means a gap that was not filled before too
// many later chunks came.
func (s *Sequencer) Accept(attempt []byte, seq uint64, data []byte) (bool, error) {
	if string(attempt) != string(s.attempt) {
		s.counts.Foreign++
		return false, nil
	}
	if seq < s.next {
		s.counts.Duplicates++
		return false, nil
	}
	if seq == s.next {
		s.next++
		return true, nil
	}
	return false, s.holdChunk(seq, data)
}

// AcceptNext accepts an unnumbered chunk as the next one.
func (s *Sequencer) AcceptNext() bool {
	s.next++
	return true
}

func (s *Sequencer) holdChunk(seq uint64, data []byte) error {
	if _, ok := s.held[seq]; ok {
		s.counts.Duplicates++
		return nil
	}
	if len(s.held) >= maxHeldChunks {
		return s.GapError()
	}
	if s.held == nil {
		s.held = make(map[uint64][]byte)
	}
	s.held[seq] = append([]byte(nil), data...)
	s.counts.Reordered++
	return nil
}

// TakeHeld removes and returns the next chunk if it came early.
func (s *Sequencer) TakeHeld() ([]byte, bool) {
	data, ok := s.held[s.next]
	if !ok {
		return nil, false
	}
	delete(s.held, s.next)
	s.next++
	return data, true
}

// Complete reports whether no chunk is held.
func (s *Sequencer) Complete() bool { return len(s.held) == 0 }

// GapError returns the error for a missing chunk.
func (s *Sequencer) GapError() *verdict.Error {
	v := verdict.MayHaveRun
	if s.next > 1 || len(s.held) > 0 {
		v = verdict.Ran
	}
	return verdict.New(v, CodeStreamGap, fmt.Sprintf("chunk %d of the answer is missing", s.next))
}
