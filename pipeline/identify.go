package pipeline

import "strings"

const bearer = "Bearer "

// Identify finds the workspace of a request by its key.
type Identify struct{}

// Serve fills x.Workspace. It refuses a key that is missing or unknown.
func (*Identify) Serve(x *Exchange, next Handler) error {
	given := x.R.Header.Get(HeaderAuthorization)
	if len(given) <= len(bearer) || !strings.EqualFold(given[:len(bearer)], bearer) {
		return refuse(CodeUnknownKey, "a workspace key is required: "+HeaderAuthorization+": Bearer KEY")
	}
	x.Workspace = x.View.Workspace(given[len(bearer):])
	if x.Workspace == nil {
		return refuse(CodeUnknownKey, "the workspace key is not known")
	}
	return next(x)
}
