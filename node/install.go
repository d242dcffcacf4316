package node

import (
	"github.com/gullhaven/gullhaven/bundle"
	"github.com/gullhaven/gullhaven/node/loads"
	"github.com/gullhaven/gullhaven/pipeline"
)

// bundleView returns the bundle in force; nil before the first.
func (n *Node) bundleView() *pipeline.View { return n.pipeline.View() }

// install puts a bundle in force at this instance.
func (n *Node) install(s *bundle.Signed, id bundle.Identity) {
	v := pipeline.NewView(&s.Bundle, id.Digest, n.s.Region)
	n.pipeline.SetView(v)
	n.loads.SetTargets(v.TargetSpecs(), enginesOf(v))
	if n.placing != nil {
		n.placing.SetBundle(&s.Bundle)
	}
	n.setLinks()
}

// enginesOf returns the targets of the region that report load.
func enginesOf(v *pipeline.View) []loads.Target {
	var engines []loads.Target
	for _, t := range v.Bundle.Targets {
		service := v.Service(t.Service)
		if t.Region == v.Region && service != nil && service.Kind == bundle.KindModel {
			engines = append(engines, loads.Target{ID: t.ID, Address: t.Address})
		}
	}
	return engines
}

// setLinks tells routing which neighbours there are and which can be reached.
func (n *Node) setLinks() {
	v := n.pipeline.View()
	if v == nil {
		return
	}
	links := v.Links(n.regions.Reachable)
	n.pipeline.Routing().SetLinks(links)
	var ids []string
	for _, l := range links {
		ids = append(ids, l.Region)
	}
	n.regions.SetNeighbours(ids)
}
