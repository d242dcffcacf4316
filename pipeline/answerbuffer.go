package pipeline

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route"
)

// maxJournal bounds one kept answer, above the bound of a whole answer.
const maxJournal = 20 << 20

var errJournalFull = errors.New("the answer is larger than what is kept")

// sentTo is where the request of a journal ran, and for how long.
type sentTo struct {
	target route.TargetID
	took   time.Duration
}

// journal takes in the answer of one attempt, as its http.ResponseWriter, for
// any number of callers that follow it.
type journal struct {
	key   claim.Key
	print claim.Digest

	mu     sync.Mutex
	header http.Header
	status int
	body   []byte
	done   bool
	err    error
	sent   sentTo
	wake   chan struct{}
}

// Header is for the writing side only.
func (j *journal) Header() http.Header { return j.header }

// WriteHeader starts the answer; the header must not change afterwards.
func (j *journal) WriteHeader(status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.status == 0 {
		j.status = status
		j.wakeAll()
	}
}

// Write adds to the answer.
func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.body)+len(p) > maxJournal {
		return 0, errJournalFull
	}
	j.body = append(j.body, p...)
	j.wakeAll()
	return len(p), nil
}

// Flush does nothing: followers see each write.
func (j *journal) Flush() {}

func (j *journal) wakeAll() {
	close(j.wake)
	j.wake = make(chan struct{})
}

func (j *journal) outcome() (status uint16, digest claim.Digest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return uint16(j.status), claim.DigestOf(j.body)
}

// part is what a follower sees at one time.
type part struct {
	status int
	body   []byte
	done   bool
	err    error
	wake   chan struct{}
}

func (j *journal) from(offset int) part {
	j.mu.Lock()
	defer j.mu.Unlock()
	return part{status: j.status, body: j.body[offset:], done: j.done, err: j.err, wake: j.wake}
}

// follow passes the answer on to a caller up to its end. A caller that leaves
// ends its own following only.
func (j *journal) follow(x *Exchange) error {
	r := newRelay(x, nil)
	for offset := 0; ; {
		p := j.from(offset)
		if p.status != 0 && !x.headWritten {
			j.head(r, p.status)
		}
		if len(p.body) > 0 {
			offset += len(p.body)
			x.chunks++
			if err := j.passPart(r, p.body); err != nil {
				return err
			}
			continue
		}
		if p.done {
			x.target = j.sent.target
			if !x.replayed {
				x.atTarget = j.sent.took
			}
			return p.err
		}
		select {
		case <-p.wake:
		case <-x.Ctx.Done():
			return verdict.New(verdict.MayHaveRun, CodeCallerGone, "the caller left")
		}
	}
}

func (j *journal) head(r *relay, status int) {
	own := r.x.W.Header()
	for name, values := range j.header {
		if own.Get(name) == "" {
			own[name] = values
		}
	}
	r.head(status)
}

func (j *journal) passPart(r *relay, body []byte) error {
	if err := r.write(body); err != nil {
		return err
	}
	return r.gone(r.flush())
}

// journals keeps the answers of claimed requests while they run and for a while
// after, within a bound of bytes.
type journals struct {
	bounds Bounds
	mu     sync.Mutex
	byKey  map[claim.Key]*journal
	ended  []*journal
	bytes  int64
}

func newJournals(b Bounds) *journals {
	return &journals{bounds: b, byKey: map[claim.Key]*journal{}}
}

func (s *journals) find(k claim.Key) *journal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[k]
}

func (s *journals) open(k claim.Key, print claim.Digest) *journal {
	j := &journal{key: k, print: print, header: http.Header{}, wake: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[k] = j
	return j
}

// end closes a journal. Only a whole answer is kept: after a failure the claim's
// owner is asked anew, whose word may have changed.
func (s *journals) end(j *journal, err error, sent sentTo) {
	s.mu.Lock()
	if err != nil {
		delete(s.byKey, j.key)
	} else {
		s.keep(j)
	}
	s.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.done, j.err, j.sent = true, err, sent
	j.wakeAll()
}

func (s *journals) keep(j *journal) {
	s.ended = append(s.ended, j)
	s.bytes += int64(len(j.body))
	for s.bytes > s.bounds.MaxAnswerBytes {
		s.drop(s.ended[0])
	}
	time.AfterFunc(s.bounds.AnswerTTL, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(j)
	})
}

func (s *journals) drop(j *journal) {
	for i := range s.ended {
		if s.ended[i] != j {
			continue
		}
		s.ended = append(s.ended[:i:i], s.ended[i+1:]...)
		s.bytes -= int64(len(j.body))
		delete(s.byKey, j.key)
		return
	}
}
