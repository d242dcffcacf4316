package bundle

import (
	"slices"

	"github.com/gullhaven/gullhaven/bundle/strict"
)

// services checks all services.
func (c *checker) services() {
	seen := map[string]bool{}
	for i := range c.Services {
		service := &c.Services[i]
		path := strict.Index("services", i)
		c.id(path+".id", service.ID, seen)
		c.residency(path+".residency", service.Residency)
		c.number(path+".default_deadline_ms", float64(service.DefaultDeadlineMillis), 1, dayMillis)
		c.objective(path+".objective", service)
		switch service.Kind {
		case KindModel:
			c.modelService(path, service)
		case KindPlain:
			c.plainService(path, service)
		default:
			c.problems.Add(path+".kind", "%q is neither %q nor %q", service.Kind, KindModel, KindPlain)
		}
	}
}

// objective checks a service level objective. A share of 1 leaves no error budget,
// and reports would divide by zero.
func (c *checker) objective(path string, service *Service) {
	o := service.Objective
	c.require(o.FirstTokenMillis > 0 && o.FirstTokenMillis <= dayMillis, path+".first_token_ms",
		"is %v, but must be above 0 and at most a day", o.FirstTokenMillis)
	c.require(o.Share > 0 && o.Share < 1, path+".share", "is %v, but must be between 0 and 1", o.Share)
	if service.Kind == KindModel {
		c.require(o.BetweenTokensMillis > 0 && o.BetweenTokensMillis <= dayMillis, path+".between_tokens_ms",
			"is %v, but must be above 0 and at most a day for a model service", o.BetweenTokensMillis)
		return
	}
	c.require(o.BetweenTokensMillis == 0, path+".between_tokens_ms", "holds for model services only")
}

// modelService checks model, version and adapters of a model service.
func (c *checker) modelService(path string, service *Service) {
	model, known := c.modelByID[service.Model]
	if !known {
		c.problems.Add(path+".model", "no such model %q", service.Model)
		return
	}
	hasVersion := slices.ContainsFunc(model.Versions, func(v ModelVersion) bool { return v.ID == service.Version })
	c.require(hasVersion, path+".version", "model %q has no version %q", model.ID, service.Version)
	for i, adapter := range service.Adapters {
		at := strict.Index(path+".adapters", i)
		hasAdapter := slices.ContainsFunc(model.Adapters, func(a Adapter) bool { return a.ID == adapter })
		c.require(hasAdapter, at, "model %q has no adapter %q", model.ID, adapter)
		c.require(!slices.Contains(service.Adapters[:i], adapter), at, "%q stands twice", adapter)
	}
}

// plainService refuses fields that only model services may set.
func (c *checker) plainService(path string, service *Service) {
	c.require(service.Model == "", path+".model", "holds for model services only")
	c.require(service.Version == "", path+".version", "holds for model services only")
	c.require(len(service.Adapters) == 0, path+".adapters", "holds for model services only")
}

// targets checks all targets.
func (c *checker) targets() {
	seen := map[string]bool{}
	addresses := map[string]string{}
	for i := range c.Targets {
		target := &c.Targets[i]
		path := strict.Index("targets", i)
		c.id(path+".id", target.ID, seen)
		c.placement(path, target)
		c.address(path+".address", target, addresses)
		c.require(target.State == TargetActive || target.State == TargetLeaving, path+".state",
			"%q is neither %q nor %q", target.State, TargetActive, TargetLeaving)
		c.require(target.Slots > 0, path+".slots", "is %d, but must be above 0", target.Slots)
		c.number(path+".cost_per_second", target.CostPerSecond, 0, maxRate)
		c.number(path+".order_expiry_ms", float64(target.OrderExpiryMillis), 1, dayMillis)
		c.targetService(path, target)
	}
	c.roles()
}

// roles requires that the targets of a model service, if it has any, both prefill
// and decode. If none could decode the prefilled prompts, all of them would miss
// their deadlines.
func (c *checker) roles() {
	type halves struct{ prefill, decode, both bool }
	found := map[string]*halves{}
	for _, target := range c.Targets {
		if found[target.Service] == nil {
			found[target.Service] = new(halves)
		}
		h := found[target.Service]
		h.prefill = h.prefill || target.Role == RolePrefill
		h.decode = h.decode || target.Role == RoleDecode
		h.both = h.both || target.Role == RoleBoth || target.Role == ""
	}
	for i, service := range c.Services {
		h := found[service.ID]
		if service.Kind != KindModel || h == nil || h.both {
			continue
		}
		c.require(h.prefill && h.decode, strict.Index("services", i),
			"all targets of %q have the same half of the work; it needs both prefill and decode", service.ID)
	}
}

// placement checks region and zone of a target.
func (c *checker) placement(path string, target *Target) {
	region, known := c.regionByID[target.Region]
	if !known {
		c.problems.Add(path+".region", "no such region %q", target.Region)
		return
	}
	c.require(slices.Contains(region.Zones, target.Zone), path+".zone", "region %q has no zone %q", region.ID, target.Zone)
}

// address checks the form of a target's address and that no other target has it.
func (c *checker) address(path string, target *Target, owners map[string]string) {
	if err := strict.CheckAddress(target.Address); err != nil {
		c.problems.Add(path, "%v", err)
		return
	}
	owner, taken := owners[target.Address]
	c.require(!taken, path, "%s is the address of target %q too", target.Address, owner)
	owners[target.Address] = target.ID
}

// targetService checks the fields of a target that depend on its service.
func (c *checker) targetService(path string, target *Target) {
	service, known := c.serviceByID[target.Service]
	if !known {
		c.problems.Add(path+".service", "no such service %q", target.Service)
		return
	}
	if len(service.Residency) > 0 {
		c.require(slices.Contains(service.Residency, target.Region), path+".region",
			"service %q may run in %s only", service.ID, quote(service.Residency))
	}
	if service.Kind == KindPlain {
		c.require(target.Role == "", path+".role", "holds for model services only")
		c.require(target.PrefillTokensPerSecond == 0, path+".prefill_tokens_per_second", "holds for model services only")
		c.require(target.DecodeTokensPerSecond == 0, path+".decode_tokens_per_second", "holds for model services only")
		return
	}
	c.engine(path, target)
}

// engine checks role and rated speeds of a target of a model service.
func (c *checker) engine(path string, target *Target) {
	roles := []TargetRole{"", RoleBoth, RolePrefill, RoleDecode}
	c.require(slices.Contains(roles, target.Role), path+".role", "%q is none of %q", target.Role, roles[1:])
	if target.Role != RoleDecode {
		c.speed(path+".prefill_tokens_per_second", target.PrefillTokensPerSecond)
	}
	if target.Role != RolePrefill {
		c.speed(path+".decode_tokens_per_second", target.DecodeTokensPerSecond)
	}
}

// speed requires a speed above 0, as predictions divide by it.
func (c *checker) speed(path string, value float64) {
	c.require(value > 0 && value <= maxRate, path, "is %v, but must be above 0", value)
}

// workspaces checks all workspaces.
func (c *checker) workspaces() {
	seen := map[string]bool{}
	for i := range c.Workspaces {
		workspace := &c.Workspaces[i]
		path := strict.Index("workspaces", i)
		c.id(path+".id", workspace.ID, seen)
		c.keyHashes(path+".key_hashes", workspace)
		c.region(path+".home", workspace.Home)
		c.residency(path+".residency", workspace.Residency)
		if len(workspace.Residency) > 0 {
			c.require(slices.Contains(workspace.Residency, workspace.Home), path+".residency",
				"leaves out the home %q", workspace.Home)
		}
		c.number(path+".max_priority", float64(workspace.MaxPriority), 0, maxPriority)
		c.number(path+".weight", workspace.Weight, 1, maxRate)
		c.number(path+".limits.requests_per_second", workspace.Limits.RequestsPerSecond, 0, maxRate)
		c.number(path+".limits.tokens_per_second", workspace.Limits.TokensPerSecond, 0, maxRate)
	}
}

// keyHashes checks that no other workspace has a key of this one.
func (c *checker) keyHashes(path string, workspace *Workspace) {
	c.require(len(workspace.KeyHashes) > 0, path, "is empty; nobody could use the workspace")
	for i, hash := range workspace.KeyHashes {
		at := strict.Index(path, i)
		c.require(isDigest(hash), at, "is no SHA-256: 64 digits of lower-case hex")
		owner, taken := c.keyHashOwners[hash]
		c.require(!taken, at, "is a key of workspace %q too", owner)
		c.keyHashOwners[hash] = workspace.ID
	}
}
