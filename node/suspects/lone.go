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
	errNoOwner           = errors.New("no instance owns the lone runs")
	errReserved          = errors.New("another copy of the request runs alone")
	errNoTarget          = errors.New("no target is free to be kept")
	errNotHeldEverywhere = errors.New("not every instance keeps the target free")
)

// maxHeldShare bounds the fraction of a service's targets that are held at once,
// except that one always may be. Without it, retries of innocent requests would hold
// every target of the region after a crash.
const maxHeldShare = 0.25

// reservation requests a lone run from the owner.
type reservation struct {
	Digest  suspect.Digest `cbor:"1,keyasint"`
	Service string         `cbor:"2,keyasint"`
	// Target is the granted target, set in a release.
	Target string `cbor:"3,keyasint,omitempty"`
}

// hold asks an instance to send no requests to a target for a time; a zero time
// ends the hold.
type hold struct {
	Target string        `cbor:"1,keyasint"`
	For    time.Duration `cbor:"2,keyasint"`
}

// Begin reserves a target for a lone run of a suspect and waits until the target is
// idle. The caller must call Release of the result. It returns an error if there is no
// owner, no target can be held, another copy of the request runs alone, or the target
// isn't idle in time.
func (s *Service) Begin(ctx context.Context, service string, d ports.Digest) (ports.LoneRun, error) {
	owner := s.o.Region.Owner()
	if owner == "" {
		return ports.LoneRun{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, loneRunTimeout)
	defer cancel()
	r := reservation{Digest: shortDigest(d), Service: service}
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
		s.endLoneRun(r)
		return
	}
	// If the release is lost, the hold expires.
	s.call(owner, channelRelease, r, holdTimeout)
}

// awaitIdle waits until the target reports that it runs nothing, as requests sent
// there before the hold may take long. A target that is gone never reports that, and
// would delay the request up to its deadline: the wait ends with errNoTarget once it
// is no candidate any more, so that the caller is told at once to retry.
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

// grant, at the owner, chooses a target and holds it at all instances.
func (s *Service) grant(r reservation) (string, error) {
	now := time.Now()
	s.mu.Lock()
	ok := s.table.Reserve(now, r.Digest, now.Add(loneRunTimeout))
	s.mu.Unlock()
	if !ok {
		return "", errReserved
	}
	target, err := s.holdTarget(r.Service)
	if err != nil {
		s.mu.Lock()
		s.table.Release(r.Digest)
		s.mu.Unlock()
	}
	return target, err
}

// holdTarget holds the least loaded target that is not held yet. All instances must
// answer, as one that doesn't might go on sending there.
func (s *Service) holdTarget(service string) (string, error) {
	candidates := s.o.Region.Candidates(service)
	held := 0
	for _, target := range candidates {
		if s.isHeld(target) {
			held++
		}
	}
	if held > 0 && float64(held+1) > maxHeldShare*float64(len(candidates)) {
		return "", errNoTarget
	}
	for _, target := range candidates {
		if s.isHeld(target) {
			continue
		}
		h := hold{Target: target, For: loneRunTimeout}
		s.setHold(h)
		if !s.callAll(channelHold, h, holdTimeout) {
			s.endLoneRun(reservation{Target: target})
			return "", errNotHeldEverywhere
		}
		return target, nil
	}
	return "", errNoTarget
}

func (s *Service) isHeld(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, held := s.heldUntil[target]
	return held
}

// endLoneRun ends a reservation at the owner, and the hold at all instances.
func (s *Service) endLoneRun(r reservation) {
	s.mu.Lock()
	s.table.Release(r.Digest)
	s.mu.Unlock()
	h := hold{Target: r.Target}
	s.setHold(h)
	go s.callAll(channelHold, h, holdTimeout)
}

// setHold begins or ends a hold at this instance.
func (s *Service) setHold(h hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.For > 0 {
		s.heldUntil[h.Target] = time.Now().Add(min(h.For, loneRunTimeout))
	} else {
		delete(s.heldUntil, h.Target)
	}
	s.updateReserved()
}

func (s *Service) updateReserved() {
	targets := make([]route.TargetID, 0, len(s.heldUntil))
	for target := range s.heldUntil {
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
	s.endLoneRun(r)
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
