package exchange

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports/rawhttp"
	"github.com/gullhaven/gullhaven/route/pick"
)

const (
	// wideCost is what passing a request to another region costs it, in
	// milliseconds: two trips of 80 ms and a few more in between.
	wideCost = 170.0
	// spillMargin is how much cheaper another region must look, in milliseconds:
	// what is known of it is up to a second old, and the traffic between regions is
	// paid for.
	spillMargin = 150.0
	// refusedCost is what passing a request to a region costs more that has refused one of
	// the service within refusedFor, in milliseconds: more than any wait, so that it is a
	// place only where there is none else.
	//
	// What goes wrong without it: a region that is well by its summary and serves nothing,
	// as while its targets warm up after an evacuation, looks idle. All others pass on to
	// it, and each request loses two trips over the wide area. On a day with such a region
	// 237 were sent there in 4 s.
	refusedCost = 1e5
	// refusedFor is under the time that targets take to warm up or come back, so that a
	// region that serves again is found within half a second.
	refusedFor = 500 * time.Millisecond
	// mostSends bounds how often one request is sent or tried to be sent.
	mostSends = 4
)

// place is where one attempt goes: a target of the own region or a peer of another.
type place struct {
	choice *pick.Choice
	peer   Peer
	// decided is set where another instance chose, which is told of the request.
	decided Decision
	by      Decider
}

// began notes that the target has begun to answer.
func (p *place) began(now time.Time) {
	p.choice.First(now)
	if p.by != nil {
		p.by.Began(p.decided)
	}
}

// done notes the end of the request at the target.
func (p *place) done(now time.Time, r pick.Result) {
	p.choice.Done(now, r)
	if p.by != nil {
		p.by.Ended(p.decided, r)
	}
}

// pickCall is what the pool needs to know.
func (q *request) pickCall() pick.Call {
	return pick.Call{
		Service: q.service, Model: q.call.Model, Parts: q.call.Parts, PromptTokens: q.call.PromptTokens,
		OutputTokens: q.call.OutputTokens, HintTokens: q.call.HintTokens, Rank: q.route.Priority, Tried: q.tried,
	}
}

// choose finds the next place, or says why there is none.
func (q *request) choose(now time.Time) (*place, verdict.Code) {
	c := q.pickCall()
	if !q.route.Allows(q.g.o.Region) {
		if peer, ok := q.choosePeer(now, c, math.Inf(1)); ok {
			return &place{peer: peer}, ""
		}
		return nil, CodeNoTarget
	}
	p := q.chooseTarget(now, c)
	local := math.Inf(1)
	if p != nil {
		local = p.choice.Wait
	}
	if peer, ok := q.choosePeer(now, c, local); ok {
		if p != nil {
			p.done(now, pick.Neutral)
		}
		return &place{peer: peer}, ""
	}
	if p == nil {
		return nil, CodeNoTarget
	}
	if q.overloaded(p) {
		p.done(now, pick.Neutral)
		return nil, CodeOverloaded
	}
	return p, ""
}

// chooseTarget chooses among the targets of the own region, or has the instance that
// decides for them choose.
func (q *request) chooseTarget(now time.Time, c pick.Call) *place {
	if q.g.o.Decider != nil {
		if d, ok := q.g.o.Decider.Decide(q.ctx, c, q.call.ID, q.until.Sub(now)); ok {
			if choice := q.g.o.Pool.PickAt(now, c, d.Target); choice != nil {
				q.g.o.Metrics.Decided.Inc(1)
				choice.Source, choice.Cost, choice.Wait, choice.Front = d.Source, d.Cost, d.Wait, d.Front
				return &place{choice: choice, decided: d, by: q.g.o.Decider}
			}
			q.g.o.Decider.Ended(d, pick.Neutral)
		}
	}
	if choice, _ := q.g.o.Pool.Pick(now, c); choice != nil {
		return &place{choice: choice}
	}
	return nil
}

// choosePeer finds an instance of another region where the request costs less. A
// request crosses regions once, and a stream that has begun stays.
func (q *request) choosePeer(now time.Time, c pick.Call, local float64) (Peer, bool) {
	if q.from != nil {
		return Peer{}, false
	}
	best, bestCost := Peer{}, local-spillMargin
	if math.IsInf(local, 1) {
		bestCost = local
	}
	for key, load := range q.view.Regions {
		if key.Service != q.service || load.Targets == 0 || !q.route.Allows(key.Region) || q.triedRegions[key.Region] {
			continue
		}
		cost := wideCost + q.g.o.Pool.RegionCost(load, c)
		if q.g.hasRefused(now, key) {
			cost += refusedCost
		}
		if cost > bestCost || cost == bestCost && key.Region > best.Region {
			continue
		}
		// A region whose targets are idle and whose instances all leave is no place.
		if peer, ok := q.peerOf(key.Region); ok {
			best, bestCost = peer, cost
		}
	}
	return best, best.Region != ""
}

// peerOf draws an entry instance of a region.
func (q *request) peerOf(region string) (Peer, bool) {
	var of []Peer
	now := time.Now()
	for _, p := range q.view.Peers {
		if p.Region == region && !q.g.avoided(now, p.Address) {
			of = append(of, p)
		}
	}
	if len(of) == 0 {
		return Peer{}, false
	}
	return of[q.g.uniform()%uint64(len(of))], true
}

// toTarget is the request as a target gets it.
func (q *request) toTarget(choice *pick.Choice, now time.Time) *rawhttp.Request {
	raw := q.raw
	raw.Header = forwardable(q.r.Header)
	q.g.o.Dialect.Prepare(raw.Header, Sending{
		Left: q.until.Sub(now), Target: choice.ID, Rank: q.route.Priority, Streaming: len(q.call.Parts) > 0,
		After: q.last, HasAfter: q.has, Source: choice.Source,
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
