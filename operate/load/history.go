package load

import (
	"fmt"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// plainAnswer is the answer of the stand-in plain service. Execution counts its
// runs of the key, from 1.
type plainAnswer struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body_sha256"`
	Execution int    `json:"execution"`
}

// history collects the outcomes of the attempts of one key, in the order in which
// they ended.
type history struct {
	key string
	// answered is the latest answer of the service.
	answered *plainAnswer
	// reportedRun: an answer or a verdict says that the key ran.
	reportedRun bool
	// reportedNotRun: a refusal says that the key did not run.
	reportedNotRun bool
	// allNotRun: every attempt was refused with not_run or found no connection.
	allNotRun    bool
	duplicateRun string
	wrongVerdict string
}

func newHistory(key string) *history { return &history{key: key, allNotRun: true} }

// add takes the outcome of an attempt. after tells that the attempt began after the
// outcomes that were added before.
func (h *history) add(o *outcome, after bool) {
	switch o.kind {
	case Answered:
		h.addAnswer(o.plain)
	case Refused:
		h.addRefusal(o, after)
	case Unreached:
	default:
		h.allNotRun = false
	}
}

func (h *history) addAnswer(a *plainAnswer) {
	h.allNotRun = false
	if a.Execution != 1 {
		h.recordDuplicateRun("run %d at %s", a.Execution, a.Service)
	}
	if h.answered != nil && h.answered.Service != a.Service {
		h.recordDuplicateRun("ran at %s and at %s", h.answered.Service, a.Service)
	}
	h.answered, h.reportedRun = a, true
}

// addRefusal takes the verdict of a refusal. A verdict covers the earlier attempts
// of its key, so it must not be below one reported before the attempt began.
func (h *history) addRefusal(o *outcome, after bool) {
	if o.verdict != verdict.NotRun {
		h.allNotRun = false
		h.reportedRun = h.reportedRun || o.verdict == verdict.Ran
		return
	}
	if h.reportedRun && after {
		h.recordWrongVerdict("told not_run (%s, by %s) after it had run", o.code, o.instance)
	}
	h.reportedNotRun = true
}

// addAudit takes the number of runs of the key over all targets.
func (h *history) addAudit(runs int) {
	switch {
	case runs > 1:
		h.recordDuplicateRun("ran %d times", runs)
	case runs == 0 && h.answered != nil:
		h.recordWrongVerdict("answered, but no target ran it")
	case runs == 1 && h.allNotRun && h.reportedNotRun:
		h.recordWrongVerdict("every sending was told not_run, but it ran")
	}
}

func (h *history) recordDuplicateRun(format string, args ...any) {
	if h.duplicateRun == "" {
		h.duplicateRun = h.key + ": " + fmt.Sprintf(format, args...)
	}
}

func (h *history) recordWrongVerdict(format string, args ...any) {
	if h.wrongVerdict == "" {
		h.wrongVerdict = h.key + ": " + fmt.Sprintf(format, args...)
	}
}
