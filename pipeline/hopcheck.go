package pipeline

import (
	"strings"

	"github.com/gullhaven/gullhaven/pipeline/hop"
)

// HopCheck refuses requests that came in a loop. Callers may not send hops at
// all; between instances they are required, and the last must be the sender.
type HopCheck struct{ at hop.Station }

// Serve checks the hops before anything else of the request is looked at.
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
	if err := path.Check(f.at); err != nil {
		return refuse(CodeLoop, err.Error())
	}
	x.Hops = path
	return next(x)
}
