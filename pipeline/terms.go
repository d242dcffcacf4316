package pipeline

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/claim"
	"github.com/gullhaven/gullhaven/coord/verdict"
)

const (
	// maxPriority is the highest priority there is.
	maxPriority = 9
	// defaultPriority applies where a request has none, up to its workspace's
	// highest.
	defaultPriority = 5
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 255
	// fallbackDeadline applies where neither request nor service set one.
	fallbackDeadline = time.Minute
)

// Terms are the options in a request's headers.
type Terms struct {
	// Deadline and FirstToken count from arrival; zero means not given.
	Deadline, FirstToken time.Duration
	Priority             int
	// Residency lists the regions that the caller allows; empty means any.
	Residency []string
	// Service is named by header or path; empty if only the body names it.
	Service        string
	IdempotencyKey string
	// NonIdempotent says that the caller marked the request as not idempotent.
	NonIdempotent bool
	// Mark says whether the caller marked the request as a resend.
	Mark claim.Mark
}

// ReadTerms reads the headers. It refuses malformed ones: a deadline that can't
// be read must not be replaced by a default.
type ReadTerms struct{ bounds Bounds }

// Serve fills x.Terms.
func (f *ReadTerms) Serve(x *Exchange, next Handler) error {
	for _, read := range []func(*Exchange) error{f.times, readPriority, readResidency, readIdempotency} {
		if err := read(x); err != nil {
			return err
		}
	}
	return next(x)
}

func wrongHeader(name, format string, args ...any) *verdict.Error {
	return refuse(CodeWrongHeader, name+" "+fmt.Sprintf(format, args...))
}

func (f *ReadTerms) times(x *Exchange) error {
	var err error
	if x.Terms.Deadline, err = f.millis(x, HeaderDeadline); err != nil {
		return err
	}
	x.Terms.FirstToken, err = f.millis(x, HeaderFirstToken)
	return err
}

func (f *ReadTerms) millis(x *Exchange, name string) (time.Duration, error) {
	text := x.R.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	bound := f.bounds.MaxDeadline.Milliseconds()
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || n > bound {
		return 0, wrongHeader(name, "is not a whole number of milliseconds from 1 to %d", bound)
	}
	return time.Duration(n) * time.Millisecond, nil
}

func readPriority(x *Exchange) error {
	highest := x.Workspace.MaxPriority
	text := x.R.Header.Get(HeaderPriority)
	if text == "" {
		x.Terms.Priority = min(defaultPriority, highest)
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > maxPriority {
		return wrongHeader(HeaderPriority, "is not a whole number from 0 to %d", maxPriority)
	}
	if n > highest {
		return refuse(CodePriorityNotAllowed, fmt.Sprintf("the workspace may ask for priority %d at most", highest))
	}
	x.Terms.Priority = n
	return nil
}

func readResidency(x *Exchange) error {
	text := x.R.Header.Get(HeaderResidency)
	if text == "" {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		region := strings.TrimSpace(part)
		if x.View.regions[region] == nil {
			return wrongHeader(HeaderResidency, "names a region that is not known: %q", region)
		}
		x.Terms.Residency = append(x.Terms.Residency, region)
	}
	return nil
}

func readIdempotency(x *Exchange) error {
	h := x.R.Header
	switch text := h.Get(HeaderIdempotent); text {
	case "", "true":
	case "false":
		x.Terms.NonIdempotent = true
	default:
		return wrongHeader(HeaderIdempotent, "is neither true nor false")
	}
	switch text := h.Get(HeaderResend); text {
	case "", "true", "false":
		x.Terms.Mark = parseMark(text)
	default:
		return wrongHeader(HeaderResend, "is neither true nor false")
	}
	key := h.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) {
		return wrongHeader(HeaderIdempotencyKey, "is not 1 to %d printable ASCII characters", maxIdempotencyKeyBytes)
	}
	x.Terms.IdempotencyKey = key
	return nil
}

// setService sets x.Service and what follows from it: the deadlines, and whether
// the request runs at most once and so needs an idempotency key.
func (x *Exchange) setService(s *bundle.Service) error {
	x.Service = s
	x.Once = x.Terms.NonIdempotent || s.NonIdempotent
	deadline := x.Terms.Deadline
	if deadline == 0 {
		deadline = time.Duration(s.DefaultDeadlineMillis) * time.Millisecond
	}
	if deadline == 0 {
		deadline = fallbackDeadline
	}
	x.Deadline = x.Arrival.Add(deadline)
	if x.Terms.FirstToken > 0 {
		x.FirstTokenBy = x.Arrival.Add(x.Terms.FirstToken)
	}
	if x.Once && x.Terms.IdempotencyKey == "" {
		return refuse(CodeIdempotencyKeyRequired, "a request that runs at most once needs an "+HeaderIdempotencyKey)
	}
	return nil
}
