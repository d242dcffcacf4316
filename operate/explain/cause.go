package explain

import (
	"cmp"
	"strings"
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/pipeline/exchange"
	"github.com/gullhaven/gullhaven/route/pick"
)

// Cause is the first cause of a request that was not served.
type Cause string

// The causes.
const (
	// CauseNoTarget: no usable target was found, and no line says why.
	CauseNoTarget Cause = "no_target"
	// CauseResting: the targets asked for rest or were draining.
	CauseResting Cause = "resting_or_draining"
	// CauseOverloaded: the queue was longer than the route's aim.
	CauseOverloaded Cause = "overloaded"
	// CauseOutranked: more urgent requests needed the capacity.
	CauseOutranked Cause = "outranked"
	// CauseOverShare: the queue was long and the workspace was over its fair share.
	CauseOverShare Cause = "over_share"
	// CausePastDeadline: the first event was expected after the deadline.
	CausePastDeadline Cause = "past_deadline"
	// CauseOverLimit: the workspace's limit was exhausted.
	CauseOverLimit Cause = "workspace_over_limit"
	// CauseLostBefore: a target was lost or could not be reached before it answered.
	CauseLostBefore Cause = "lost_before_response"
	// CauseLostDuring: a target was lost while it answered.
	CauseLostDuring Cause = "lost_during_response"
	// CauseTargetFailed: a target answered with an error, and no other attempt followed.
	CauseTargetFailed Cause = "target_failed"
	// CauseDeadline: the deadline passed, and no target had been lost.
	CauseDeadline Cause = "deadline_exceeded"
	// CauseNotReady: the instance was shutting down, or had no recent configuration yet.
	CauseNotReady Cause = "instance_not_ready"
	// CauseUnknown: the key or the route is unknown.
	CauseUnknown Cause = "unknown_key_or_route"
	// CauseNoMemory: other requests took up the memory for its body.
	CauseNoMemory Cause = "no_memory"
	// CausePoison: the request crashes the targets that run it.
	CausePoison Cause = "poison"
	// CauseRejectedAgain: the caller sent a rejected request again, with the same request ID, and it was
	// rejected again.
	CauseRejectedAgain Cause = "rejected_again"
	// CauseOther: anything else, such as a malformed request.
	CauseOther Cause = "other"
)

// Causes are all causes in the order in which they are shown.
var Causes = []Cause{
	CauseNoTarget, CauseResting, CauseOverloaded, CauseOutranked, CauseOverShare, CausePastDeadline, CauseOverLimit,
	CauseLostBefore, CauseLostDuring, CauseTargetFailed, CauseDeadline, CauseNotReady, CauseUnknown, CauseNoMemory, CausePoison,
	CauseRejectedAgain, CauseOther,
}

// causeOfCode is the cause that a code names by itself. Codes that are not listed are CauseOther.
var causeOfCode = map[verdict.Code]Cause{
	exchange.CodeNoTarget:        CauseNoTarget,
	exchange.CodeResting:         CauseResting,
	exchange.CodeDraining:        CauseResting,
	exchange.CodeOverloaded:      CauseOverloaded,
	exchange.CodeOutranked:       CauseOutranked,
	exchange.CodeOverShare:       CauseOverShare,
	exchange.CodePastDeadline:    CausePastDeadline,
	exchange.CodeOverLimit:       CauseOverLimit,
	exchange.CodeTargetLost:      CauseLostBefore,
	exchange.CodeTimeout:         CauseDeadline,
	exchange.CodeNoConfiguration: CauseNotReady,
	exchange.CodeBehind:          CauseNotReady,
	exchange.CodeLeaving:         CauseNotReady,
	exchange.CodeUnknownKey:      CauseUnknown,
	exchange.CodeNoRoute:         CauseUnknown,
	exchange.CodeNoMemory:        CauseNoMemory,
	exchange.CodePoison:          CausePoison,
}

// trouble is an event that may be the cause of a request's end.
type trouble struct {
	at    time.Time
	cause Cause
}

// earliest keeps the earlier one of two troubles. The order of their causes decides if the times are
// equal, so that the order of files doesn't matter.
func (t *trouble) earliest(other trouble) {
	if other.cause == "" {
		return
	}
	if t.cause == "" || cmp.Or(other.at.Compare(t.at), cmp.Compare(other.cause, t.cause)) < 0 {
		*t = other
	}
}

// until returns t if it happened by a time: what another instance logs about a request that has ended
// is no cause of its end.
func (t trouble) until(end time.Time) trouble {
	if t.at.After(end) {
		return trouble{}
	}
	return t
}

// endsOfContext are the errors of attempts that this system ended itself, because the deadline had
// passed or the caller had left. The target is not lost then.
var endsOfContext = []string{"context deadline exceeded", "context canceled", "operation was canceled"}

// troubleOf returns the cause that a line about an attempt states. ran says that the attempt may have
// run the request, and so may have used up its time.
func troubleOf(line Line) (cause Cause, ran bool) {
	switch line.Message {
	case msgLost:
		text := line.text("error")
		for _, e := range endsOfContext {
			if strings.Contains(text, e) {
				return "", false
			}
		}
		return CauseLostBefore, !line.flag("dial")
	case msgBroken:
		return CauseLostDuring, true
	case msgFailed:
		switch pick.Result(line.number("result")) {
		case pick.Failed:
			return CauseTargetFailed, true
		case pick.Lost:
			return CauseLostDuring, true
		case pick.Rested:
			return CauseResting, false
		}
	}
	return "", false
}

// firstCause returns the cause of an end with a code. Most codes name it. Three codes are what follows
// from an earlier event, if there was one: first is the earliest event of the request, and firstRun the
// earliest that may have run it. An attempt that ran nothing takes no more than the time to connect,
// and is not why a deadline was missed. headWritten says that the answer had begun.
func firstCause(code verdict.Code, headWritten bool, first, firstRun trouble) Cause {
	switch {
	case code == exchange.CodeNoTarget && first.cause != "":
		return first.cause
	case (code == exchange.CodeTimeout || code == exchange.CodeTargetLost) && firstRun.cause != "":
		return firstRun.cause
	case code == exchange.CodeTargetLost && headWritten:
		return CauseLostDuring
	}
	if cause, ok := causeOfCode[code]; ok {
		return cause
	}
	return CauseOther
}

func (l Line) text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

func (l Line) flag(name string) bool {
	flag, _ := l.Fields[name].(bool)
	return flag
}

func (l Line) number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}
