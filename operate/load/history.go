package load

import (
	"fmt"

	"github.com/gullhaven/gullhaven/coord/verdict"
)

// plainAnswer is what the stand-in plain service answers.
type plainAnswer struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body_sha256"`
	Execution int    `json:"execution"`
}

// history is what the sendings of one key were told, in the order in which the
// answers came.
type history struct {
	key string
	// answered is the first answer of the service.
	answered *plainAnswer
	// ran: an answer or a verdict said so.
	ran bool
	// notRun: a refusal said so.
	notRun bool
	// known: some sending was refused or answered; if not, nothing was promised.
	known bool
	// allNotRun: every sending was refused with not_run.
	allNotRun bool
	doubled   string
	lied      string
}

func newHistory(key string) *history { return &history{key: key, allNotRun: true} }

// add takes the end of a sending. after says that the sending began after the
// ends that were added before.
func (h *history) add(o *outcome, after bool) {
	switch o.kind {
	case Answered:
		h.known = true
		h.answer(o.plain)
	case Refused:
		h.known = true
		h.refusal(o, after)
	case Unreached:
	default:
		h.allNotRun = false
	}
}

func (h *history) answer(a *plainAnswer) {
	h.allNotRun = false
	if a.Execution != 1 {
		h.double("run %d at %s", a.Execution, a.Service)
	}
	if h.answered != nil && h.answered.Service != a.Service {
		h.double("ran at %s and at %s", h.answered.Service, a.Service)
	}
	h.answered, h.ran = a, true
}

// refusal keeps the verdict. A verdict covers the earlier sendings of its key,
// so it may not fall below what was told before the sending began.
func (h *history) refusal(o *outcome, after bool) {
	if o.verdict != verdict.NotRun {
		h.allNotRun = false
		h.ran = h.ran || o.verdict == verdict.Ran
		return
	}
	if h.ran && after {
		h.lie("told not_run (%s, by %s) after it had run", o.code, o.at)
	}
	h.notRun = true
}

// audit takes how often the targets ran the key, over all of them.
func (h *history) audit(runs int) {
	switch {
	case runs > 1:
		h.double("ran %d times", runs)
	case runs == 0 && h.answered != nil:
		h.lie("answered, but no target ran it")
	case runs == 1 && h.allNotRun && h.notRun:
		h.lie("every sending was told not_run, but it ran")
	}
}

func (h *history) double(format string, args ...any) {
	if h.doubled == "" {
		h.doubled = h.key + ": " + fmt.Sprintf(format, args...)
	}
}

func (h *history) lie(format string, args ...any) {
	if h.lied == "" {
		h.lied = h.key + ": " + fmt.Sprintf(format, args...)
	}
}
