package entry

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/node/control"
	"github.com/gullhaven/gullhaven/node/feed"
)

// suspectMarks are the marks of suspects by core instance. Instance.mu guards it.
type suspectMarks struct {
	marks map[string]feed.SuspectsMark
	// started are the core instances that may lack suspects of this instance, as they have started.
	started map[string]bool
}

// markFor returns the mark for a report to a core instance.
func (s *suspectMarks) markFor(to string) *feed.SuspectsMark {
	m := s.marks[to]
	return &m
}

// update records the mark of an answer, and reports whether its core instance has started since this instance
// last reported to it, so that it must be told all suspects.
//
// Core instances exchange what they hold. If all entry instances told one that has started, and not only those
// that follow it, it would get all suspects from each of them.
func (s *suspectMarks) update(from string, m *feed.SuspectsMark, brief bool) (tellAll bool) {
	if m == nil {
		return false
	}
	if s.marks == nil {
		s.marks, s.started = map[string]feed.SuspectsMark{}, map[string]bool{}
	}
	last, known := s.marks[from]
	s.marks[from] = *m
	if known && last.Epoch != m.Epoch || !known && !brief {
		s.started[from] = true
	}
	if brief || !s.started[from] {
		return false
	}
	delete(s.started, from)
	return true
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
