package pipeline

import (
	"strings"

	"github.com/gullhaven/gullhaven/pipeline/hop"
)

// HopCheck refuses requests that were forwarded in a loop. Callers must not send
// a hop header; instances must, and its last hop must be the sender.
type HopCheck struct{ self hop.Hop }

// Serve fills x.Hops, or refuses the request. It runs before anything else of the request
// is read.
func (f *HopCheck) Serve(x *Exchange, next Handler) error {
	values, given := x.R.Header[HeaderHop]
	if x.Peer == "" {
		if given {
			return refuse(CodeHopNotAllowed, HeaderHop+" goes between instances only")
		}
		return next(x)
	}
	path, err := hop.Parse(strings.Join(values, ","))
	if err != nil {
		return refuse(CodeHopNotAllowed, err.Error())
	}
	if path[len(path)-1].Instance != x.Peer {
		return refuse(CodeHopNotAllowed, hop.ErrSender.Error())
	}
	if err := path.Check(f.self); err != nil {
		return refuse(CodeLoop, err.Error())
	}
	x.Hops = path
	return next(x)
}
