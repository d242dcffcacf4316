package exchange

import (
	"time"

	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/route/pick"
)

// reportLimit records the limit that a target reports in its own answer, and passes it to the
// group owner.
func (q *request) reportLimit(p *destination, n pick.TargetLimit) {
	changed := p.choice.LearnLimit(time.Now(), n)
	if p.owner != nil && p.decision.Limit != n {
		p.owner.ReportLimit(p.decision, n)
	}
	if !changed {
		return
	}
	q.g.o.Log.Info("target reports a limit", zap.String("target", p.choice.ID), zap.Bool("limited", n.Limited), zap.Float64("per_second", n.PerSecond),
		zap.String("service", q.service), zap.String("id", q.call.ID), zap.String("decided_by", q.decidedBy))
}

// recordAnnouncements records what a target says of itself, and tells the group owner its limit and
// that it is leaving. A rest holds for this instance only. What an answer to another request says may be
// out of date: it counts only where the target is spared.
func (q *request) recordAnnouncements(p *destination, reply *Reply, belongs bool) {
	if belongs {
		q.reportLimit(p, reply.Limit)
	}
	m, log := q.g.o.Metrics, q.g.o.Log
	if reply.Rest > 0 {
		q.rest = reply.Rest
		p.choice.Rest(time.Now(), reply.Rest)
		m.RestsAsked.Inc(1)
		log.Info("target asks for rest", zap.String("target", p.choice.ID), zap.Duration("rest", reply.Rest),
			zap.String("service", q.service), zap.String("id", q.call.ID), zap.String("decided_by", q.decidedBy))
	}
	if reply.BusyFor > 0 {
		p.choice.Busy(time.Now(), reply.BusyFor)
	}
	if reply.Leaving {
		m.LeavingAnswers.Inc(1)
		if p.choice.Leaving() {
			log.Info("target is leaving", zap.String("target", p.choice.ID), zap.String("service", q.service), zap.String("id", q.call.ID))
		}
		if p.owner != nil {
			p.owner.ReportLeaving(p.decision)
		}
	}
	if len(reply.Malformed) > 0 {
		m.MalformedHeaders.Inc(int64(len(reply.Malformed)))
		q.g.o.AccessLog.Warn("malformed header of a target", zap.String("target", p.choice.ID), zap.Strings("headers", reply.Malformed))
	}
}
