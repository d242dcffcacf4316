package exchange

import (
	"net/http"

	"github.com/gullhaven/gullhaven/bundle/routes"
)

// identify finds the caller's workspace by its key, before the body is read.
func (q *request) identify() *refusal {
	w, ok := q.holder(q.view)
	if !ok {
		return refuseKey()
	}
	q.workspace = w
	if w.Homeless(q.route) {
		return &refusal{status: http.StatusMisdirectedRequest, code: CodeNoHome}
	}
	return nil
}

// holder is the workspace that holds the caller's key in a view; nil for a caller that needs
// none. false says that the key is missing or unknown.
func (q *request) holder(v *View) (*routes.Workspace, bool) {
	if !v.Index.Table.Keyed {
		return nil, true
	}
	c := q.call.Credential
	if q.from != nil {
		c = q.from.Credential
	}
	if !c.Present {
		return nil, q.route.Open
	}
	w := v.Index.Workspace(c.Digest)
	return w, w != nil
}

// revoked reports whether the caller's key was taken away while the request waited.
func (q *request) revoked() bool {
	v := q.g.View()
	if v == q.view {
		return false
	}
	_, ok := q.holder(v)
	return !ok
}

func refuseKey() *refusal { return &refusal{status: http.StatusUnauthorized, code: CodeUnknownKey} }

// allows reports whether a region may serve the request.
func (q *request) allows(region string) bool {
	return q.route.Allows(region) && q.workspace.Allows(region)
}

// rank is that of the request among others.
func (q *request) rank() int { return q.workspace.Rank(q.route) }

// workspaceName is empty for a caller without a workspace.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}
