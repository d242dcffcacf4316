package suspects

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/suspect"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/route"
)

// Errors of Begin.
var (
	errNoOwner    = errors.New("no instance owns the lone runs")
	errReserved   = errors.New("another copy of the request runs alone")
	errNoTarget   = errors.New("no target is free to be kept")
	errNotAllHold = errors.New("not every instance keeps the target free")
)

// maxHeldShare bounds the targets of a service kept free at once, but for one
// that always may be: resends of the innocent would else hold every target of
// the region after a crash.
const maxHeldShare = 0.25

// reservation asks the owner for a lone run.
type reservation struct {
	Digest  suspect.Digest `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	// Target is what was granted, in the answer and in a release.
	Target string `cbor:"3,keyasint,omitempty"`
}

// hold asks an instance to send nothing to a target for a while; a zero time
// ends it.
type hold struct {
	Target string        `cbor:"1,keyasint"`
	For    time.Duration `cbor:"2,keyasint"`
}

// Begin reserves a target for a lone run and waits until it is idle.
func (s *Service) Begin(ctx context.Context, service string, d ports.Digest) (ports.LoneRun, error) {
	owner := s.o.Region.Owner()
	if owner == "" {
		return ports.LoneRun{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, loneTime)
	defer cancel()
	r := reservation{Digest: short(d), Service: service}
	target, err := s.reserve(ctx, owner, r)
	if err != nil {
		return ports.LoneRun{}, err
	}
	r.Target = target
	var once sync.Once
	release := func() { once.Do(func() { s.release(owner, r) }) }
	if err := s.awaitIdle(ctx, service, target); err != nil {
		release()
		return ports.LoneRun{}, err
	}
	return ports.LoneRun{Target: target, Release: release}, nil
}

func (s *Service) reserve(ctx context.Context, owner string, r reservation) (string, error) {
	if owner == s.o.Self {
		return s.grant(r)
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return "", err
	}
	reply, err := s.o.Hub.Call(ctx, owner, channelReserve, data)
	return string(reply), err
}

func (s *Service) release(owner string, r reservation) {
	if owner == s.o.Self {
		s.free(r)
		return
	}
	// A lost release ends with the hold's own time.
	s.tell(owner, channelRelease, r, holdTimeout)
}

// awaitIdle waits until the target itself says that it runs nothing: what was
// sent there before it was kept free may take long. A target that has gone never
// says so, and would hold the request up to its deadline: the wait ends once it
// is no candidate any more, so that the caller is told at once to come back.
func (s *Service) awaitIdle(ctx context.Context, service, target string) error {
	tick := time.NewTicker(idleInterval)
	defer tick.Stop()
	for !s.o.Region.Idle(ctx, target) {
		if !slices.Contains(s.o.Region.Candidates(service), target) {
			return errNoTarget
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// grant picks a target at the owner and has it kept free everywhere.
func (s *Service) grant(r reservation) (string, error) {
	now := time.Now()
	s.mu.Lock()
	ok := s.table.Reserve(now, r.Digest, now.Add(loneTime))
	s.mu.Unlock()
	if !ok {
		return "", errReserved
	}
	target, err := s.keepFree(r.Service)
	if err != nil {
		s.mu.Lock()
		s.table.Release(r.Digest)
		s.mu.Unlock()
	}
	return target, err
}

// keepFree holds the least loaded target that is not held yet. An instance that
// doesn't answer might go on sending there, so all must.
func (s *Service) keepFree(service string) (string, error) {
	candidates := s.o.Region.Candidates(service)
	held := 0
	for _, target := range candidates {
		if s.held(target) {
			held++
		}
	}
	if held > 0 && float64(held+1) > maxHeldShare*float64(len(candidates)) {
		return "", errNoTarget
	}
	for _, target := range candidates {
		if s.held(target) {
			continue
		}
		h := hold{Target: target, For: loneTime}
		s.setHold(h)
		if !s.toAll(channelHold, h, holdTimeout) {
			s.free(reservation{Target: target})
			return "", errNotAllHold
		}
		return target, nil
	}
	return "", errNoTarget
}

func (s *Service) held(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.holds[target]
	return held
}

// free ends a reservation at the owner.
func (s *Service) free(r reservation) {
	s.mu.Lock()
	s.table.Release(r.Digest)
	s.mu.Unlock()
	h := hold{Target: r.Target}
	s.setHold(h)
	go s.toAll(channelHold, h, holdTimeout)
}

// setHold begins or ends keeping a target free at this instance.
func (s *Service) setHold(h hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.For > 0 {
		s.holds[h.Target] = time.Now().Add(min(h.For, loneTime))
	} else {
		delete(s.holds, h.Target)
	}
	s.applyHolds()
}

func (s *Service) applyHolds() {
	targets := make([]route.TargetID, 0, len(s.holds))
	for target := range s.holds {
		targets = append(targets, route.TargetID(target))
	}
	s.o.Holder.SetReserved(targets)
}

func (s *Service) serveReserve(_ context.Context, _ string, data []byte) ([]byte, error) {
	var r reservation
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	if s.o.Region.Owner() != s.o.Self {
		return nil, errNoOwner
	}
	target, err := s.grant(r)
	return []byte(target), err
}

func (s *Service) serveRelease(_ context.Context, _ string, data []byte) ([]byte, error) {
	var r reservation
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	s.free(r)
	return nil, nil
}

func (s *Service) serveHold(_ context.Context, _ string, data []byte) ([]byte, error) {
	var h hold
	if err := cbor.Unmarshal(data, &h); err != nil {
		return nil, err
	}
	s.setHold(h)
	return nil, nil
}
