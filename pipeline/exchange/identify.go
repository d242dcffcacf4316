package exchange

import (
	"net/http"

	"github.com/gullhaven/gullhaven/bundle/routes"
)

// identify finds the caller's workspace by its key, before the body is read.
func (q *request) identify() *refusal {
	w, ok := q.lookupWorkspace(q.view)
	if !ok {
		return q.refuseAsWrong(refuseKey())
	}
	q.workspace = w
	if w.HasNoHomeRegion(q.route) {
		return &refusal{status: http.StatusMisdirectedRequest, code: CodeNoHomeRegion}
	}
	return nil
}

// lookupWorkspace returns the workspace that holds the caller's key in view v; nil for a caller
// that needs no key. It returns false if the key is missing or unknown.
func (q *request) lookupWorkspace(v *View) (*routes.Workspace, bool) {
	if !v.Index.Table.Keyed {
		return nil, true
	}
	c := q.call.Credential
	if q.forwarded != nil {
		c = q.forwarded.Credential
	}
	if !c.Present {
		return nil, q.route.AllowAnonymous
	}
	w := v.Index.Workspace(c.Digest)
	return w, w != nil
}

// revoked reports whether the caller's key was revoked since the request was accepted.
func (q *request) revoked() bool {
	v := q.g.View()
	if v == q.view {
		return false
	}
	_, ok := q.lookupWorkspace(v)
	return !ok
}

func refuseKey() *refusal { return &refusal{status: http.StatusUnauthorized, code: CodeUnknownKey} }

// allows reports whether a region may serve the request.
func (q *request) allows(region string) bool {
	return q.route.Allows(region) && q.workspace.Allows(region)
}

// rank returns the rank of the request; 0 is the most urgent.
func (q *request) rank() int {
	if q.g.o.UrgentFirst {
		return q.view.Index.Rank(q.workspace, q.route)
	}
	return q.workspace.Rank(q.route)
}

// workspaceName is empty for a caller without a workspace.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}
