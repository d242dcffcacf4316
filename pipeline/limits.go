package pipeline

import (
	"time"

	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// WorkspaceLimit consumes one request of the workspace's share, before the body
// is read. A request that another instance forwarded was counted there.
type WorkspaceLimit struct {
	limits ports.Limits
	now    func() time.Time
}

// Serve refuses a request that exceeds the share.
func (f *WorkspaceLimit) Serve(x *Exchange, next Handler) error {
	if err := consume(f.limits, f.now, x, 1, 0); err != nil {
		return err
	}
	return next(x)
}

// TokenLimit consumes the estimated tokens of prompt and answer, once they are
// known.
type TokenLimit struct {
	limits ports.Limits
	now    func() time.Time
}

// Serve refuses a request that exceeds the share.
func (f *TokenLimit) Serve(x *Exchange, next Handler) error {
	tokens := x.Request.PromptTokens() + x.Request.OutputTokens()
	if err := consume(f.limits, f.now, x, 0, float64(tokens)); err != nil {
		return err
	}
	return next(x)
}

func consume(l ports.Limits, now func() time.Time, x *Exchange, requests, tokens float64) error {
	if l == nil || x.Peer != "" {
		return nil
	}
	a := l.Consume(now(), x.Workspace.ID, requests, tokens)
	if a.Allowed {
		return nil
	}
	return &verdict.Error{Code: CodeOverLimit, Message: "the workspace's limit is used up", RetryAfter: a.RetryAfter}
}
