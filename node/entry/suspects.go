package entry

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/feed"
)

// suspectMarks are the marks of suspects by core instance, and the epochs that this instance has
// reported all its suspects to. Instance.mu guards it.
type suspectMarks struct {
	marks  map[string]feed.SuspectsMark
	epochs map[uint64]bool
}

// markFor returns the mark for a report to a core instance.
func (s *suspectMarks) markFor(to string) *feed.SuspectsMark {
	m := s.marks[to]
	return &m
}

// update records the mark of an answer, and reports whether its core instance has not been reported
// to since it started.
func (s *suspectMarks) update(from string, m *feed.SuspectsMark) (started bool) {
	if m == nil {
		return false
	}
	if s.marks == nil {
		s.marks, s.epochs = map[string]feed.SuspectsMark{}, map[uint64]bool{}
	}
	s.marks[from] = *m
	started = !s.epochs[m.Epoch]
	s.epochs[m.Epoch] = true
	return started
}

// publishSuspects sends the suspects of a crash to the followed core instance at once: until the next
// report, the caller of a poison request may have sent it to other instances. The report has them
// again.
func (i *Instance) publishSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.poisonRequests.crashes:
		}
		entries := i.poisonRequests.takeUnpublished()
		if len(entries) == 0 {
			continue
		}
		payload, err := cbor.Marshal(entries)
		if err != nil {
			i.log.Error("suspects cannot be encoded", zap.Error(err))
			continue
		}
		i.hub.Send(i.followed(), control.ChannelSuspects, payload)
	}
}
