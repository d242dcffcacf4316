package exchange

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// maxAttempts bounds the attempts to send one request, including failed connections.
const maxAttempts = 4

// destination is where one attempt goes: a target of this region, or a peer of another one if
// choice is nil.
type destination struct {
	choice *pick.Choice
	peer   Peer
	// waitMs is the expected time to the first byte of a peer's answer.
	waitMs float64
	// decision and owner are set if the group owner chose; it gets reports on the request.
	decision Decision
	owner    GroupOwner
	// admission is the decision on the request; nil if nobody has decided. ticket is set if this
	// instance decided.
	admission *AdmissionDecision
	ticket    AdmissionTicket
}

// reportFirstEvent records that the target has begun to answer.
func (p *destination) reportFirstEvent(now time.Time) {
	p.choice.FirstEvent(now)
	if p.ticket != nil {
		p.ticket.FirstEvent()
	}
	if p.owner != nil {
		p.owner.ReportFirstEvent(p.decision)
	}
}

// reportEnd records the end of the request at the target.
func (p *destination) reportEnd(now time.Time, r pick.Result) {
	p.choice.Done(now, r)
	if p.ticket != nil {
		p.ticket.End(now, r)
	}
	if p.owner != nil {
		p.owner.ReportEnd(p.decision, r)
	}
}

// withdraw reports that a request that was refused here goes to another region.
func (p *destination) withdraw(now time.Time) {
	if p.ticket != nil {
		p.ticket.End(now, pick.Neutral)
	}
	if p.owner != nil {
		p.owner.ReportEnd(p.decision, pick.Neutral)
	}
}

// targetID returns the id of the target; empty for a place in another region.
func (p *destination) targetID() string {
	if p.choice == nil {
		return ""
	}
	return p.choice.ID
}

// end is reportEnd for a place that may be in another region, which reports by itself.
func (p *destination) end(now time.Time, r pick.Result) {
	if p.choice != nil {
		p.reportEnd(now, r)
	}
}

// pickCall returns the request as the pool needs it, with the targets to exclude: those that were tried with
// an outcome from the given one on.
func (q *request) pickCall(excluded outcome) pick.Call {
	return pick.Call{
		Service: q.service, Model: q.call.Model, Parts: q.call.Parts[:min(len(q.call.Parts), pick.MaxParts)], PromptTokens: q.call.PromptTokens,
		OutputTokens: q.call.OutputTokens, Rank: q.rank(), Tried: q.tried.targets(excluded), Software: q.origin.Software, SpreadKey: q.spreadKey(),
	}
}

// spreadKey returns the key by which a request without shared prompt parts is assigned to a group of
// targets. If its caller may be promised a place there, the key is the same when it returns under another
// ID.
func (q *request) spreadKey() uint64 {
	if q.g.o.PromisedReturns && q.call.PromptTokens > 0 {
		if key := q.contentKey(); key != 0 {
			return key
		}
	}
	return xxhash.Sum64String(q.call.ID)
}

// choose returns the next destination, or a refusal code if there is none. Places that were tried with an
// outcome from the given one on are excluded.
func (q *request) choose(now time.Time, excluded outcome) (*destination, verdict.Code) {
	c := q.pickCall(excluded)
	if !q.allows(q.g.o.Region) {
		if remote := q.choosePeer(now, c, place.NoTargetCost, excluded); remote != nil {
			return remote, ""
		}
		return nil, CodeNoTarget
	}
	p := q.chooseTarget(now, c)
	local := place.NoTargetCost
	if p != nil {
		local = p.choice.Wait
	}
	if remote := q.choosePeer(now, c, local, excluded); remote != nil {
		if p != nil {
			p.reportEnd(now, pick.Neutral)
		}
		return remote, ""
	}
	if p == nil {
		return nil, CodeNoTarget
	}
	code := q.refusedBy(p, now)
	if code == "" {
		return p, ""
	}
	if remote := q.choosePeerInstead(now, c, code, excluded); remote != nil {
		p.withdraw(now)
		return remote, ""
	}
	return nil, code
}

// choosePeerInstead returns an instance of another region for a request that the own region refuses: one
// whose targets are expected to begin within the aim, though the own ones would sooner if others did not
// need the room. A workspace over its share finds no more of it elsewhere.
func (q *request) choosePeerInstead(now time.Time, c pick.Call, code verdict.Code, excluded outcome) *destination {
	if q.g.o.Admission == nil || code != CodeOutranked && code != CodeOverloaded {
		return nil
	}
	return q.choosePeer(now, c, float64(q.route.Aim.Milliseconds()), excluded)
}

// queueAim returns how long the request may wait in a queue: as long as its caller waits if that has
// events of the stream, which only targets of one software version can go on with.
func (q *request) queueAim(now time.Time) time.Duration {
	if q.begun && q.route.Aim > 0 {
		return max(q.route.Aim, q.deadline.Sub(now))
	}
	return q.route.Aim
}

// mayRefuse reports whether the request may still be refused because of the load: not after an attempt
// that may have run it, nor if it had a promised place that came to nothing here or in another region.
func (q *request) mayRefuse() bool {
	return q.verdict == verdict.NotRun && !q.headWritten && !q.hadPlace
}

// chooseTarget chooses among the targets of this region, or has their group owner choose. It
// returns nil if there is none.
func (q *request) chooseTarget(now time.Time, c pick.Call) *destination {
	admission := q.admissionRequest(now)
	if q.g.o.GroupOwner != nil {
		if d, ok := q.g.o.GroupOwner.Choose(q.ctx, c, q.call.ID, q.deadline.Sub(now), admission); ok {
			q.recordPlace(d.Admission)
			if choice := q.g.o.Pool.PickAt(now, c, d.Target); choice != nil {
				q.g.o.Metrics.OwnedElsewhere.Inc(1)
				choice.Source, choice.Cost, choice.Wait, choice.QueueWait, choice.Tokens = d.Source, d.Cost, d.Wait, d.QueueWait, d.Tokens
				return &destination{choice: choice, decision: d, owner: q.g.o.GroupOwner, admission: d.Admission}
			}
			q.g.o.GroupOwner.ReportEnd(d, pick.Neutral)
			admission = q.admissionRequest(now)
		}
	}
	if choice, _ := q.g.o.Pool.Pick(now, c); choice != nil {
		if choice.Cold {
			q.g.o.Log.Info("cold target chosen", zap.String("target", choice.ID), zap.Int("entries", choice.EntryInstances), zap.String("id", q.call.ID))
		}
		p := &destination{choice: choice}
		if admission != nil {
			decision, ticket := q.g.o.Admission.Decide(now, choice, *admission)
			p.admission, p.ticket = &decision, ticket
			q.recordPlace(p.admission)
		}
		return p
	}
	return nil
}

// recordPlace records whether the request has taken a promised place.
func (q *request) recordPlace(d *AdmissionDecision) {
	q.hadPlace = q.hadPlace || d != nil && !d.Refused && d.Promised
}

// choosePeer returns an instance of another region where the request costs less than local,
// in milliseconds; nil for none. A request is forwarded at most once. A resumable stream that has
// begun may continue there, after the last event that the caller has and under the head of its first
// answer, if the route's and the workspace's home regions allow it.
func (q *request) choosePeer(now time.Time, c pick.Call, local float64, excluded outcome) *destination {
	if q.forwarded != nil {
		return nil
	}
	candidate := place.ChooseRegion(local, q.regionCandidates(now, c, excluded))
	if candidate == nil {
		return nil
	}
	address := place.ChooseInstance(q.g.o.Self, q.reachablePeers(now, candidate.Region), q.g.o.Peers.HasIdle, q.g.uniform())
	return &destination{peer: Peer{Address: address, Region: candidate.Region}, waitMs: candidate.Wait()}
}

// regionCandidates returns the regions that may serve the request and can be reached. A region
// without a reachable entry instance is excluded, even if its targets are idle.
func (q *request) regionCandidates(now time.Time, c pick.Call, excluded outcome) []place.RegionCandidate {
	var out []place.RegionCandidate
	for key, load := range q.view.Regions {
		if key.Service != q.service || load.Targets == 0 || !q.allows(key.Region) || q.tried.hasRegion(key.Region, excluded) || !load.Has(q.origin.Software) {
			continue
		}
		if !q.g.reach.Available(now, key.Region) || len(q.reachablePeers(now, key.Region)) == 0 {
			continue
		}
		out = append(out, place.RegionCandidate{
			Region: key.Region, RoundTrip: q.g.trips.To(key.Region), Cost: q.g.o.Pool.RegionCost(key.Region, load, c),
			Refused: q.g.hasRefused(now, key, q.workspaceName(), q.rank()), LoadUnknown: load.LoadUnknown,
		})
	}
	return out
}

// reachablePeers returns a region's entry instances that are not known to
// be unreachable, or to have only targets that rest. Those that lag count only if all do.
func (q *request) reachablePeers(now time.Time, region string) []place.Instance {
	current, lagging := q.peersOf(now, region)
	if len(current) > 0 {
		return current
	}
	return lagging
}

// peersOf is reachablePeers in two parts.
func (q *request) peersOf(now time.Time, region string) (current, lagging []place.Instance) {
	for _, p := range q.view.Peers {
		if p.Region != region || q.g.isUnreachable(now, p.Address) || q.g.restLeft(now, peerService{p.Address, q.service}).Left > 0 {
			continue
		}
		peer := place.Instance{Address: p.Address, Capacity: p.Capacity}
		if q.g.refusedNow(now, laggingPeer{p.Address}) {
			lagging = append(lagging, peer)
		} else {
			current = append(current, peer)
		}
	}
	return current, lagging
}

// targetRequest returns the request as it is sent to a target.
func (q *request) targetRequest(choice *pick.Choice, now time.Time) *rawhttp.Request {
	raw := q.raw
	raw.Header = forwardable(q.r.Header)
	q.g.o.Dialect.Prepare(raw.Header, Attempt{
		Timeout: q.deadline.Sub(now), Target: choice.ID, Rank: q.rank(), QueueByRank: len(q.call.Parts) > 0,
		LastEventID: q.lastEventID, HasLastEventID: q.hasLastEventID, Source: choice.Source, Keyed: q.view.Index.Table.Keyed, Workspace: q.workspaceName(),
	})
	return &raw
}

// peerRequest returns the request as it is sent to an instance of another region.
func (q *request) peerRequest(now time.Time) *rawhttp.Request {
	raw := q.raw
	raw.Header = forwardable(q.r.Header)
	p := forwardedRequest{
		SenderRegion: q.g.o.Region, Version: q.view.Index.Table.Version, Timeout: q.deadline.Sub(now),
		// Only 1, because this instance cannot count the retries of the other one.
		MaxRuns: 1, Trial: q.trial,
	}
	if q.view.Index.Table.Keyed {
		q.g.o.Dialect.Conceal(raw.Header)
		p.Credential = q.call.Credential
	}
	p.write(raw.Header)
	q.writeOrigin(raw.Header)
	if q.hasLastEventID {
		raw.Header.Set(headerLastEventID, strconv.FormatInt(q.lastEventID, 10))
	}
	return &raw
}

// readLastEventID reads the last event id that another instance gives, and removes the header.
func readLastEventID(h http.Header) (id int64, ok bool, err error) {
	text := h.Get(headerLastEventID)
	if text == "" {
		return 0, false, nil
	}
	h.Del(headerLastEventID)
	id, err = strconv.ParseInt(text, 10, 64)
	return id, err == nil, err
}
