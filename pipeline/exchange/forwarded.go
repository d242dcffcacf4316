package exchange

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// forwardedRequest is what the instance that forwards a request adds to it.
type forwardedRequest struct {
	// SenderRegion is the sender's region. A forwarded request is not forwarded again.
	SenderRegion string
	// Version is the sender's configuration. An instance with an older one must not decide.
	Version uint64
	Timeout time.Duration
	// MaxRuns bounds the number of targets that may still run the request.
	MaxRuns int
	// Credential is the caller's key.
	Credential Credential
	// Origin is what began the stream that the request goes on with; empty if it begins one or the
	// sender does not know. Begins says that the sender wants to know what a stream begins with.
	Origin Origin
	Begins bool
	// Trial says that the request is a trial of one that has crashed targets.
	Trial bool
}

// readForwarded parses the headers of a forwarded request and removes them from h. The text of
// its error is sent to the peer.
func readForwarded(h http.Header) (*forwardedRequest, error) {
	p := &forwardedRequest{SenderRegion: h.Get(headerFrom)}
	if p.SenderRegion == "" {
		return nil, errors.NotValidf("request of another instance without %s", headerFrom)
	}
	var err error
	if p.Version, err = strconv.ParseUint(h.Get(headerVersion), 10, 64); err != nil {
		return nil, errors.Annotate(err, headerVersion)
	}
	left, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	if err != nil {
		return nil, errors.Annotate(err, headerTimeout)
	}
	p.Timeout = time.Duration(left) * time.Millisecond
	if p.MaxRuns, err = strconv.Atoi(h.Get(headerAttempts)); err != nil {
		return nil, errors.Annotate(err, headerAttempts)
	}
	if p.Credential, err = readCredential(h.Get(headerKey)); err != nil {
		return nil, err
	}
	if p.Origin, p.Begins, err = readOrigin(h); err != nil {
		return nil, errors.Annotate(err, headerSoftware)
	}
	p.Trial = h.Get(headerTrial) != ""
	for _, name := range []string{headerFrom, headerVersion, headerTimeout, headerAttempts, headerKey, headerTrial} {
		h.Del(name)
	}
	return p, nil
}

// write sets the headers that readForwarded parses.
func (p *forwardedRequest) write(h http.Header) {
	h.Set(headerFrom, p.SenderRegion)
	h.Set(headerVersion, strconv.FormatUint(p.Version, 10))
	// Rounded up: the receiver must not end the request before the sender does.
	h.Set(headerTimeout, strconv.FormatInt((p.Timeout+time.Millisecond-1).Milliseconds(), 10))
	h.Set(headerAttempts, strconv.Itoa(p.MaxRuns))
	h.Del(headerTrial)
	if p.Trial {
		h.Set(headerTrial, "1")
	}
	h.Del(headerKey)
	if p.Credential.Present {
		h.Set(headerKey, hex.EncodeToString(p.Credential.Digest[:]))
	}
}

func readCredential(text string) (Credential, error) {
	c := Credential{Present: text != ""}
	key, err := hex.DecodeString(text)
	if err == nil && c.Present && len(key) != len(c.Digest) {
		err = errors.NotValidf("%d bytes", len(key))
	}
	copy(c.Digest[:], key)
	return c, errors.Annotate(err, headerKey)
}
