package routes

import (
	"math"
	"strings"

	"github.com/juju/errors"
)

// Check returns an error that names the first rule that the table breaks, such as
// a route to an unknown service, two routes with the same host and prefix, weights
// that add up to 0, a timeout of 0, a prefix without a slash at both ends, or two
// workspaces with the same name or key.
func (t *Table) Check() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" {
			return errors.NotValidf("service without a name")
		}
		if services[s.Name] {
			return errors.NotValidf("service %q that stands twice", s.Name)
		}
		services[s.Name] = true
	}
	owners := map[[2]string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := [2]string{canonicalHost(r.Host), r.Prefix}
		if other, taken := owners[key]; taken {
			return errors.NotValidf("route %q: host %q and prefix %q are those of route %q too;", r.Name, r.Host, r.Prefix, other)
		}
		owners[key] = r.Name
	}
	return checkWorkspaces(t.Workspaces)
}

func (r *Route) check(services map[string]bool) error {
	if canonicalHost(r.Host) == "" {
		return errors.NotValidf("route %q without a host", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.NotValidf("route %q: prefix %q without a slash at both ends", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		return errors.NotValidf("route %q: timeout of %v", r.Name, r.Timeout)
	}
	if len(r.Split) == 0 {
		return errors.NotValidf("route %q without a service", r.Name)
	}
	total := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return errors.NotValidf("route %q: unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return errors.NotValidf("route %q: weight %d of service %q", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.NotValidf("route %q: weights that add up to 0", r.Name)
	}
	return nil
}

// checkWorkspaces checks names, limits and keys. Its error never contains a key.
func checkWorkspaces(list []Workspace) error {
	names := make(map[string]bool, len(list))
	owners := make(map[KeyDigest]string, len(list))
	for i := range list {
		w := &list[i]
		if err := w.check(); err != nil {
			return err
		}
		if names[w.Name] {
			return errors.NotValidf("workspace %q that stands twice", w.Name)
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if other, taken := owners[key]; taken && other != w.Name {
				return errors.NotValidf("workspaces %q and %q with one key in common", other, w.Name)
			}
			owners[key] = w.Name
		}
	}
	return nil
}

func (w *Workspace) check() error {
	if !headerSafe(w.Name) {
		return errors.NotValidf("workspace name %q", w.Name)
	}
	l := &w.Limit
	for _, x := range []struct {
		name  string
		value float64
	}{{"rate", l.Rate}, {"burst", l.Burst}, {"cost of a plain request", l.PlainTokens}} {
		if !(x.value >= 0) || math.IsInf(x.value, 0) {
			return errors.NotValidf("workspace %q: %s of %v", w.Name, x.name, x.value)
		}
	}
	return nil
}

// headerSafe reports whether a name can be sent unchanged as a header value: printable
// ASCII without spaces at either end.
func headerSafe(name string) bool {
	printable := func(r rune) bool { return r >= ' ' && r <= '~' }
	other := func(r rune) bool { return !printable(r) }
	return name != "" && !strings.ContainsFunc(name, other) && strings.TrimSpace(name) == name
}
