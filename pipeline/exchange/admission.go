package exchange

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap/zapcore"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/route/pick"
	"github.com/gullhaven/gullhaven/route/place"
)

// admissionRequest returns what the instance that chooses the target decides on; nil if no instance
// is to decide.
func (q *request) admissionRequest(now time.Time) *AdmissionRequest {
	if q.g.o.Admission == nil {
		return nil
	}
	return &AdmissionRequest{
		Workspace: q.workspaceName(), AimMillis: q.queueAim(now).Milliseconds(), LeftMillis: q.deadline.Sub(now).Milliseconds(),
		ContentKey: q.contentKey(), NotRun: q.mayRefuse(),
	}
}

// refusedBy returns the code with which the request must be refused instead of being sent to p, whose
// place it then gives back; empty if it may be sent. Where nobody has decided, as at a group owner of
// an older build, the length of the queue decides.
func (q *request) refusedBy(p *destination, now time.Time) verdict.Code {
	if !q.mayRefuse() {
		return ""
	}
	if p.admission == nil {
		if !place.Overloaded(p.choice.QueueWait, q.queueAim(now)) {
			return ""
		}
		p.reportEnd(now, pick.Neutral)
		return CodeOverloaded
	}
	if !p.admission.Refused {
		return ""
	}
	// The instance that refused has not kept the place, and goes on counting what was asked for.
	p.choice.Done(now, pick.Neutral)
	q.refusedAdmission = &refusedAdmission{AdmissionDecision: *p.admission, aim: q.queueAim(now), by: q.g.o.Self}
	if p.owner != nil {
		q.refusedAdmission.by = p.decision.Owner
	}
	return p.admission.Reason
}

// refusedAdmission is the decision that refused a request, for its refusal.
type refusedAdmission struct {
	AdmissionDecision
	aim time.Duration
	// by is the instance that decided.
	by string
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a *refusedAdmission) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddDuration("queue", durationOf(a.QueueMillis))
	e.AddDuration("aim", a.aim)
	e.AddDuration("share", durationOf(a.ShareMillis))
	e.AddDuration("used", durationOf(a.UsedMillis))
	e.AddFloat64("urgent_pressure", a.UrgentPressure)
	e.AddString("by", a.by)
	e.AddBool("promised", a.Promised)
	return nil
}

func durationOf(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

// retryAfter returns the time after which the caller is to return; 0 if the instance that decided has
// left it open.
func (a *refusedAdmission) retryAfter() time.Duration {
	return time.Duration(a.RetryMillis) * time.Millisecond
}

// contentKey returns a hash of what stays the same when the caller sends the request again; 0 if no place
// can be promised to it. A forwarded request does not return to this region by itself, and one of a route
// without an aim is not refused.
func (q *request) contentKey() uint64 {
	if q.forwarded != nil || q.route.Aim == 0 {
		return 0
	}
	if q.hasContentKey {
		return q.contentHash
	}
	h := xxhash.New()
	// Each field goes in with its length, so that no two requests differ only in where a field ends.
	write := func(field []byte) {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	caller := q.credential().Digest
	if q.workspace != nil {
		write([]byte(q.workspace.Name))
	} else {
		write(caller[:])
	}
	for _, field := range []string{q.raw.Method, q.raw.Host, q.raw.Target} {
		write([]byte(field))
	}
	write(q.raw.Body)
	q.contentHash, q.hasContentKey = h.Sum64(), true
	return q.contentHash
}
