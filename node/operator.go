package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gullhaven/gullhaven/api"
	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/node/rollout"
	"github.com/gullhaven/gullhaven/pipeline"
)

// rollAgain is when to send a bundle again after no majority was reached.
const rollAgain = time.Second

// rollTimeout bounds the wait for the answer to a rolled bundle.
const rollTimeout = 10 * time.Second

// operator answers what operators ask of this instance.
type operator struct{ node *Node }

// Roll hands a signed bundle to the leader of the global group.
func (o *operator) Roll(ctx context.Context, signed []byte) (*operators.RollResult, error) {
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	before := o.node.spreader.Head()
	data, err := o.node.Roll(ctx, signed)
	if err != nil {
		return nil, rollError(err)
	}
	var r bundle.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, api.CodeNoQuorum, "the leader's answer is malformed")
	}
	if !r.Accepted() {
		return nil, verdict.New(verdict.NotRun, refusalCode(r.Outcome), r.String())
	}
	again := r.Version <= before.Version
	return &operators.RollResult{Version: r.Version, Digest: string(r.Digest), Accepted: true, Again: again}, nil
}

// refusalCode is the code of an outcome that is no acceptance.
func refusalCode(o bundle.Outcome) verdict.Code {
	switch o {
	case bundle.OutcomeInvalid:
		return api.CodeBundleInvalid
	case bundle.OutcomeUnsigned:
		return api.CodeBundleUnsigned
	default:
		return api.CodeBundleConflict
	}
}

// rollError says what became of a proposal without an answer. The same bytes
// may always be sent again.
func rollError(err error) error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return err
	}
	c := *e
	if c.Code == rollout.CodeMalformed {
		c.Code = api.CodeBundleMalformed
		return &c
	}
	c.Code, c.RetryAfter = api.CodeNoQuorum, rollAgain
	return &c
}

// Burn reports service-level burn as this instance has seen it, and what its
// neighbours have handed it.
func (o *operator) Burn(context.Context) (*operators.BurnReport, error) {
	v := o.node.bundleView()
	if v == nil {
		return nil, verdict.New(verdict.NotRun, pipeline.CodeNoBundle, "no bundle is in force yet")
	}
	now := time.Now()
	return api.BurnReportOf(api.BurnSource{
		Instance: o.node.s.Instance,
		Region:   o.node.s.Region,
		Version:  v.Bundle.Version,
		Services: v.Bundle.Services,
		Snapshot: o.node.history.snapshot(now),
	}, now)
}
