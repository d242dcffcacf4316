package exchange

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// passed is what an instance of another region adds to a request.
type passed struct {
	// From is the sender's region. A request that was passed on once stays here.
	From string
	// Version is the sender's configuration: an older one must not decide.
	Version uint64
	Left    time.Duration
	// Attempts is how many targets may still be sent the request.
	Attempts int
	// Credential is the caller's.
	Credential Credential
}

func readPassed(h http.Header) (*passed, error) {
	p := &passed{From: h.Get(headerFrom)}
	if p.From == "" {
		return nil, errors.NotValidf("request of another instance without %s", headerFrom)
	}
	var err error
	if p.Version, err = strconv.ParseUint(h.Get(headerVersion), 10, 64); err != nil {
		return nil, errors.Annotate(err, headerVersion)
	}
	left, err := strconv.ParseInt(h.Get(headerLeft), 10, 64)
	if err != nil {
		return nil, errors.Annotate(err, headerLeft)
	}
	p.Left = time.Duration(left) * time.Millisecond
	if p.Attempts, err = strconv.Atoi(h.Get(headerAttempts)); err != nil {
		return nil, errors.Annotate(err, headerAttempts)
	}
	if p.Credential, err = readCredential(h.Get(headerKey)); err != nil {
		return nil, err
	}
	for _, name := range []string{headerFrom, headerVersion, headerLeft, headerAttempts, headerKey} {
		h.Del(name)
	}
	return p, nil
}

func (p *passed) write(h http.Header) {
	h.Set(headerFrom, p.From)
	h.Set(headerVersion, strconv.FormatUint(p.Version, 10))
	h.Set(headerLeft, strconv.FormatInt(p.Left.Milliseconds(), 10))
	h.Set(headerAttempts, strconv.Itoa(p.Attempts))
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
