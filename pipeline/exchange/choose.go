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

// mostSends bounds how often one request is sent or tried to be sent.
const mostSends = 4

// destination is where one attempt goes: a target of the own region or a peer of another.
type destination struct {
	choice *pick.Choice
	peer   Peer
	// wait is how long the answer of a peer is expected to take to begin, in milliseconds.
	wait float64
	// decided is set where another instance chose, which is told of the request.
	decided Decision
	by      Decider
}

// began notes that the target has begun to answer.
func (p *destination) began(now time.Time) {
	p.choice.FirstEvent(now)
	if p.by != nil {
		p.by.Began(p.decided)
	}
}

// done notes the end of the request at the target.
func (p *destination) done(now time.Time, r pick.Result) {
	p.choice.Done(now, r)
	if p.by != nil {
		p.by.Ended(p.decided, r)
	}
}

// pickCall is what the pool needs to know.
func (q *request) pickCall() pick.Call {
	return pick.Call{
		Service: q.service, Model: q.call.Model, Parts: q.call.Parts, PromptTokens: q.call.PromptTokens,
		OutputTokens: q.call.OutputTokens, Rank: q.rank(), Tried: q.tried, SpreadKey: xxhash.Sum64String(q.call.ID),
	}
}

// choose finds the next place, or says why there is none.
func (q *request) choose(now time.Time) (*destination, verdict.Code) {
	c := q.pickCall()
	if !q.allows(q.g.o.Region) {
		if far := q.choosePeer(now, c, place.NoTargetCost); far != nil {
			return far, ""
		}
		return nil, CodeNoTarget
	}
	p := q.chooseTarget(now, c)
	local := place.NoTargetCost
	if p != nil {
		local = p.choice.Wait
	}
	if far := q.choosePeer(now, c, local); far != nil {
		if p != nil {
			p.done(now, pick.Neutral)
		}
		return far, ""
	}
	if p == nil {
		return nil, CodeNoTarget
	}
	// A request that another attempt may have run goes on.
	fresh := q.verdict == verdict.NotRun && !q.begun
	if fresh && place.Overloaded(p.choice.QueueWait, q.route.Aim) {
		p.done(now, pick.Neutral)
		return nil, CodeOverloaded
	}
	return p, ""
}

// chooseTarget chooses among the targets of the own region, or has the instance that
// decides for them choose.
func (q *request) chooseTarget(now time.Time, c pick.Call) *destination {
	if q.g.o.Decider != nil {
		if d, ok := q.g.o.Decider.Decide(q.ctx, c, q.call.ID, q.until.Sub(now)); ok {
			if choice := q.g.o.Pool.PickAt(now, c, d.Target); choice != nil {
				q.g.o.Metrics.Decided.Inc(1)
				choice.Source, choice.Cost, choice.Wait, choice.QueueWait, choice.Tokens = d.Source, d.Cost, d.Wait, d.Front, d.Tokens
				return &destination{choice: choice, decided: d, by: q.g.o.Decider}
			}
			q.g.o.Decider.Ended(d, pick.Neutral)
		}
	}
	if choice, _ := q.g.o.Pool.Pick(now, c); choice != nil {
		if choice.Cold {
			q.g.o.Log.Info("cold target chosen", zap.String("target", choice.ID), zap.Int("entries", choice.Entries), zap.String("id", q.call.ID))
		}
		return &destination{choice: choice}
	}
	return nil
}

// choosePeer finds an instance of another region where the request costs less than local;
// nil for none. A request crosses regions once, and a stream that has begun stays.
func (q *request) choosePeer(now time.Time, c pick.Call, local float64) *destination {
	if q.from != nil {
		return nil
	}
	offer := place.ChooseRegion(local, q.offers(now, c))
	if offer == nil {
		return nil
	}
	address := place.ChooseInstance(q.g.o.Self, q.peersOf(now, offer.Region), q.g.o.Peers.Keeps, q.g.uniform())
	return &destination{peer: Peer{Address: address, Region: offer.Region}, wait: offer.Wait()}
}

// offers are the regions that may serve the request and can be reached: one whose targets
// are idle and whose instances all leave is no place.
func (q *request) offers(now time.Time, c pick.Call) []place.RegionCandidate {
	var out []place.RegionCandidate
	for key, load := range q.view.Regions {
		if key.Service != q.service || load.Targets == 0 || !q.allows(key.Region) || q.triedRegions[key.Region] {
			continue
		}
		if !q.g.reach.Available(now, key.Region) || len(q.peersOf(now, key.Region)) == 0 {
			continue
		}
		out = append(out, place.RegionCandidate{
			Region: key.Region, RoundTrip: q.g.trips.To(key.Region), Cost: q.g.o.Pool.RegionCost(key.Region, load, c),
			Refused: q.g.hasRefused(now, key), LoadUnknown: load.LoadUnknown,
		})
	}
	return out
}

// peersOf are the addresses of a region's entry instances that can be reached as far as is
// known.
func (q *request) peersOf(now time.Time, region string) []string {
	var of []string
	for _, p := range q.view.Peers {
		if p.Region == region && !q.g.avoided(now, p.Address) {
			of = append(of, p.Address)
		}
	}
	return of
}

// toTarget is the request as a target gets it.
func (q *request) toTarget(choice *pick.Choice, now time.Time) *rawhttp.Request {
	raw := q.raw
	raw.Header = forwardable(q.r.Header)
	q.g.o.Dialect.Prepare(raw.Header, Sending{
		Left: q.until.Sub(now), Target: choice.ID, Rank: q.rank(), Streaming: len(q.call.Parts) > 0,
		After: q.last, HasAfter: q.has, Source: choice.Source, Keyed: q.view.Index.Table.Keyed, Workspace: q.workspaceName(),
	})
	return &raw
}

// toPeer is the request as an instance of another region gets it.
func (q *request) toPeer(now time.Time) *rawhttp.Request {
	raw := q.raw
	raw.Header = forwardable(q.r.Header)
	p := passed{
		From: q.g.o.Region, Version: q.view.Index.Table.Version, Left: q.until.Sub(now) - wideTrip,
		// One: what the other instance repeats, this one cannot count.
		Attempts: 1,
	}
	if q.view.Index.Table.Keyed {
		q.g.o.Dialect.Conceal(raw.Header)
		p.Credential = q.call.Credential
	}
	p.write(raw.Header)
	if q.has {
		raw.Header.Set(headerAfter, strconv.FormatInt(q.last, 10))
	}
	return &raw
}

// wideTrip is how long an answer takes from another region.
const wideTrip = 80 * time.Millisecond

// takeAfter reads from which event on another instance wants a stream.
func takeAfter(h http.Header) (after int64, ok bool, err error) {
	text := h.Get(headerAfter)
	if text == "" {
		return 0, false, nil
	}
	h.Del(headerAfter)
	after, err = strconv.ParseInt(text, 10, 64)
	return after, err == nil, err
}
