package pipeline

import (
	"slices"
	"strings"

	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/coord/verdict"
	"github.com/gullhaven/gullhaven/ports"
)

// servicePath is the path of plain services: /services/{service}/{path...}.
const servicePath = "/services/"

// FindService finds the service that the headers or the path name.
//
// A model request names its service in the body. Where the residency of some
// model service excludes this region, the body must not be read to find out
// whether it names that one, so the header is required there.
type FindService struct{}

// Serve sets x.Service where headers or path name it.
func (*FindService) Serve(x *Exchange, next Handler) error {
	if x.Kind == KindPlain {
		return namePlain(x, next)
	}
	name := x.R.Header.Get(HeaderService)
	if name == "" {
		if x.View.restrictedModels {
			return refuse(CodeServiceHeader, HeaderService+" is required in this region, since it may not read every service's requests")
		}
		return next(x)
	}
	s, _ := x.View.Model(name)
	if s == nil || s.ID != name {
		return refuse(CodeUnknownService, "no model service of this name: "+quoted(name))
	}
	x.Terms.Service = name
	if err := x.setService(s); err != nil {
		return err
	}
	return next(x)
}

func namePlain(x *Exchange, next Handler) error {
	name, _, _ := strings.Cut(strings.TrimPrefix(x.R.URL.Path, servicePath), "/")
	s := x.View.Service(name)
	if s == nil || s.Kind != bundle.KindPlain {
		return refuse(CodeUnknownService, "no plain service of this name: "+quoted(name))
	}
	x.Terms.Service = name
	if err := x.setService(s); err != nil {
		return err
	}
	return next(x)
}

// maxQuotedBytes bounds a caller's text in a message.
const maxQuotedBytes = 64

// quoted quotes a caller's text for a message, up to maxQuotedBytes of it and without a part of a
// character.
func quoted(s string) string {
	return `"` + strings.ToValidUTF8(s[:min(len(s), maxQuotedBytes)], "") + `"`
}

// Residency refuses a request that this region may not process, before its body
// is read, and names the regions that may.
type Residency struct{ directory ports.Directory }

// Serve fills x.Regions from headers, workspace and, where known, service.
func (f *Residency) Serve(x *Exchange, next Handler) error {
	if err := restrictRegions(x, f.directory); err != nil {
		return err
	}
	return next(x)
}

func restrictRegions(x *Exchange, directory ports.Directory) error {
	lists := [][]string{x.Workspace.Residency, x.Terms.Residency}
	if x.Service != nil {
		lists = append(lists, x.Service.Residency)
	}
	regions, ok := intersect(lists)
	if !ok {
		return refuse(CodeWrongHeader, "no region is allowed by the workspace, the service and "+HeaderResidency+" together")
	}
	x.Regions = regions
	if regionAllowed(regions, x.View.Region) {
		return nil
	}
	return wrongRegion(x, directory)
}

// intersect returns the regions that are in all lists; an empty list allows any.
// It reports false if no region is in all of them.
func intersect(lists [][]string) ([]string, bool) {
	var out []string
	restricted := false
	for _, l := range lists {
		switch {
		case len(l) == 0:
		case !restricted:
			out, restricted = slices.Clone(l), true
		default:
			out = slices.DeleteFunc(out, func(r string) bool { return !slices.Contains(l, r) })
		}
	}
	return out, !restricted || len(out) > 0
}

// wrongRegion returns the refusal with the regions to use. It has the connection
// closed: otherwise net/http would read the rest of the body, which must not
// enter this region.
func wrongRegion(x *Exchange, directory ports.Directory) *verdict.Error {
	h := x.W.Header()
	h.Set("Connection", "close")
	h.Set(HeaderRegions, strings.Join(x.Regions, ","))
	message := "this region may not touch the request; send it to an instance of " + strings.Join(x.Regions, ", ")
	if directory == nil {
		return refuse(CodeWrongRegion, message)
	}
	answer := directory.Lookup(ports.DirectoryQuery{Region: x.Regions[0], Caller: x.Workspace.ID})
	for _, e := range answer.Entries {
		if slices.Contains(x.Regions, e.Region) {
			h.Set("Location", e.URL+x.R.URL.RequestURI())
			break
		}
	}
	return refuse(CodeWrongRegion, message)
}
