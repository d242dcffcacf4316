package exchange

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

// sendToPeer is send for an instance of another region. It returns nil for a refusal too.
func (q *request) sendToPeer(ctx context.Context, p *destination, now time.Time) *rawhttp.Answer {
	peer := p.peer
	q.tried.record(p, noAnswer)
	q.lastTried, q.source, q.decidedBy = peer.Address, "", ""
	q.sentAt, q.expectedWaitMs, q.costMs = now, p.waitMs, p.waitMs
	q.g.o.Metrics.Spilled.Inc(1)
	q.g.reach.Begin(now, peer.Region)
	a, err := q.g.o.Peers.Do(ctx, peer.Address, q.peerRequest(now))
	if err != nil {
		// A reused connection that closes says nothing about the peer, but one that times
		// out does.
		silent := ctx.Err() == nil && errors.Is(err, syscall.ETIMEDOUT)
		if q.attemptLost(peer.Address, err) != pick.Neutral || silent {
			// Another instance of the region may be reachable.
			q.g.markUnreachable(time.Now(), peer.Address)
			if q.g.reach.RecordFailure(time.Now(), peer.Region) {
				q.g.o.Metrics.RegionsUnreached.Inc(1)
				q.g.o.Log.Warn("region unreachable", zap.String("region", peer.Region), zap.Error(err))
			}
			q.tried.forget(p)
		}
		return nil
	}
	if q.g.reach.RecordAnswer(peer.Region) {
		q.g.o.Log.Info("region reachable again", zap.String("region", peer.Region))
	}
	if a.Header.Get(headerRefused) != "" {
		q.rejected = q.rejected || a.Header.Get(headerReachedTarget) != ""
		q.peerRefused(p, a.StatusCode, verdict.Code(a.Header.Get(headerRefused)), ports.RetryAfter(a.Header))
		discard(a)
		return nil
	}
	q.learnRoundTrip(peer.Region, a)
	return a
}

// learnRoundTrip records the round trip to another region. An answer without headerTook gives
// no measurement. Nor does a new connection: at the beginning of a peak most connections are
// new, and the region would look farther away than it is from then on.
func (q *request) learnRoundTrip(region string, a *rawhttp.Answer) {
	tookMs, err := strconv.ParseInt(a.Header.Get(headerTook), 10, 64)
	a.Header.Del(headerTook)
	if err == nil && a.Reused() {
		q.g.trips.Learn(region, float64(time.Since(q.sentAt).Milliseconds()), float64(tookMs))
	}
}

// peerRefused records that an instance of another region has refused the request. If the
// instance is leaving or lags, that says nothing about its region. If all targets have asked it for rest,
// it is skipped for this service until then. If its newer configuration does not allow the request,
// the refusal is final for all regions.
func (q *request) peerRefused(p *destination, status int, code verdict.Code, retryAfter time.Duration) {
	now, peer := time.Now(), p.peer
	q.tried.record(p, rejected)
	if status != http.StatusServiceUnavailable {
		q.tried.record(p, answered)
		if q.verdict == verdict.NotRun {
			q.finalRefusal = &refusal{status: status, code: code}
		}
		return
	}
	if code == CodePoison {
		// It crashes targets anywhere, and says nothing of the region.
		q.finalRefusal = &refusal{status: status, code: code, retryAfter: retryAfter}
		return
	}
	if code == CodeNoMemory {
		// Other instances of the region may have room.
		return
	}
	if code == CodeLeaving {
		q.g.markUnreachable(now, peer.Address)
		q.tried.forget(p)
		return
	}
	if code == CodeBehind || code == CodeNoConfiguration {
		q.refusedElsewhere = true
		q.g.recordRefusal(now, laggingPeer{peer.Address})
		if current, _ := q.peersOf(now, peer.Region); len(current) > 0 {
			q.tried.forget(p)
		}
		return
	}
	if code == CodeResting && retryAfter > 0 {
		q.g.markResting(now, peerService{peer.Address, q.service}, retryAfter)
	} else {
		q.refusedElsewhere = true
	}
	at := RegionService{Region: peer.Region, Service: q.service}
	switch code {
	case CodeOverShare:
		// It may serve other workspaces.
		q.g.recordRefusal(now, workspaceRefusal{at, q.workspaceName()})
	case CodeOutranked:
		// It may serve more urgent requests.
		q.g.recordRefusal(now, rankRefusal{at, clampRank(q.rank())})
	case CodePastDeadline:
		// It may serve requests with more time left.
	default:
		q.g.recordRefusal(now, at)
	}
}
