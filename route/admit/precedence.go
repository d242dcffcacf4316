package admit

import (
	"math"
	"time"
)

// A long prompt of a less urgent rank takes an engine several times the time of a short urgent one, and slows
// all answers that run beside it. An engine's queue puts it behind urgent requests, but it is admitted by its
// own, longer aim. So when more comes than the engines can do, urgent requests are refused for want of slots
// while less urgent ones are let in: on one day the most urgent kind was refused three times as often as the
// least urgent one, refusals for limits of workspaces included.

const (
	// ranks is the number of ranks that are told apart, as in pick.Ranks.
	ranks = 10
	// pressureSpan is the time over which the pressure of a rank is averaged: some tens of requests of a
	// group, and less than a queue takes to fill.
	pressureSpan = 500 * time.Millisecond
	// easyPressure is the pressure up to which a rank needs no precedence: half of the aim is left for its
	// requests then.
	easyPressure = 0.5
	// maxPressure bounds one observation, so that a single target that stands still does not close the
	// group for seconds.
	maxPressure = 2.0
	// rankFloor is the share of the requests of a rank that is admitted whatever more urgent ones ask, so that
	// none starves.
	rankFloor = 0.1
)

// Precedence keeps requests from taking the room that more urgent ones of the same group of targets need. The
// pressure of a request is the time of the work queued ahead of it at its best target, divided by its aim. The
// zero value is ready to use. It is not safe for concurrent use.
type Precedence struct {
	pressure [ranks]averagePressure
	// floorCredit is what each rank has earned of its floor by refusals, in requests.
	floorCredit [ranks]float64
}

type averagePressure struct {
	value float64
	at    time.Time
}

// Pressure returns the pressure of a request; 0 without an aim.
func (r *Request) Pressure() float64 {
	if r.Aim <= 0 {
		return 0
	}
	return r.QueueMillis / millis(r.Aim)
}

// Admit reports whether a request of a rank and pressure may have a place as far as more urgent ranks allow.
// Up to easyPressure of those, each may; at 1, when urgent requests themselves are refused, only the floor; in
// between, those with less queued ahead of them.
func (p *Precedence) Admit(now time.Time, rank int, pressure float64) bool {
	rank = min(max(0, rank), ranks-1)
	p.pressure[rank].observe(now, min(max(0, pressure), maxPressure))
	urgent := p.Urgent(now, rank)
	if urgent <= easyPressure || pressure <= (1-urgent)/(1-easyPressure) {
		return true
	}
	p.floorCredit[rank] += rankFloor
	if p.floorCredit[rank] < 1 {
		return false
	}
	p.floorCredit[rank]--
	return true
}

// Urgent returns the highest recent pressure of the ranks that are more urgent than rank.
func (p *Precedence) Urgent(now time.Time, rank int) float64 {
	highest := 0.0
	for r := range min(max(0, rank), ranks) {
		highest = max(highest, p.pressure[r].decayed(now))
	}
	return highest
}

// observe moves the average towards a pressure, by the share of pressureSpan that has gone by.
func (a *averagePressure) observe(now time.Time, pressure float64) {
	kept := a.weight(now)
	a.value = kept*a.value + (1-kept)*pressure
	a.at = now
}

// decayed is the average if nothing was asked since: a rank that asks for nothing needs no room.
func (a *averagePressure) decayed(now time.Time) float64 { return a.value * a.weight(now) }

// weight is the part of the average that is left of the last observation.
func (a *averagePressure) weight(now time.Time) float64 {
	if a.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(0, now.Sub(a.at))) / float64(pressureSpan))
}
