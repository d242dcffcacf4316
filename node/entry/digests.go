package entry

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
)

// maxSuspectParts is the number of parts of one prompt that are suspected, the first ones.
const maxSuspectParts = 32

// digestsOf returns the digest of a request as a whole, and those of the parts of its prompt that other
// requests may share: all but the last.
func digestsOf(c exchange.Content) []suspect.Digest {
	out := []suspect.Digest{digestOf(c)}
	for n := range min(len(c.Parts)-1, maxSuspectParts) {
		if d := digestOfPart(c.Parts[n].ID); !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

func digestOf(c exchange.Content) suspect.Digest {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		// None of them can contain the separator.
		_, _ = h.Write(append([]byte(part), '\n'))
	}
	_, _ = h.Write(c.Caller[:])
	_, _ = h.Write(c.Body)
	return suspect.Digest(h.Sum(nil)[:len(suspect.Digest{})])
}

// digestOfPart returns the digest of a part, whatever request, route or caller it belongs to. It is no
// hash, and hardly equals that of a whole request, whose bytes are all random.
func digestOfPart(id uint64) suspect.Digest {
	var d suspect.Digest
	binary.BigEndian.PutUint64(d[:], id)
	return d
}

// foundCrash is a crash of a target and when it was found.
type foundCrash struct {
	suspect.Crash
	at time.Time
}

// crashOf names a crash of a target that was found under a sending. All instances name it the same if the
// target's start time is known; otherwise an attempt that was sent after the last crash was found has
// found another one, as a target may return under its ID at once.
func (p *poisonRequests) crashOf(now time.Time, s exchange.Sending) suspect.Crash {
	if s.StartMillis != 0 {
		return suspect.Crash{Target: s.Target, Incarnation: uint64(s.StartMillis)}
	}
	last, known := p.crashed[s.Target]
	if !known || s.SentAt.After(last.at) {
		last = foundCrash{suspect.Crash{Target: s.Target, Incarnation: uint64(now.UnixNano())}, now}
		p.crashed[s.Target] = last
	}
	return last.Crash
}
