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

// rollRetryAfter is when to send a bundle again if no majority was reached.
const rollRetryAfter = time.Second

// rollTimeout bounds the wait for the answer to a bundle.
const rollTimeout = 10 * time.Second

// operator serves the operators' interface of this instance.
type operator struct{ node *Node }

// Roll sends a signed bundle to the leader of the global group.
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

// refusalCode returns the code of an outcome other than acceptance.
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

// rollError returns the error for a proposal without an answer. The same bytes may always be
// sent again.
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
	c.Code, c.RetryAfter = api.CodeNoQuorum, rollRetryAfter
	return &c
}

// Burn reports the burn of the services' objectives that this instance has seen, and what its
// neighbours have handed over.
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
