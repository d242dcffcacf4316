// Package placement brings a region's engines from what they report to what the
// bundle in force wants, without disturbing callers.
//
// A Planner is a state machine without input or output. The host steps it with
// typed events (what the bundle wants, reports of engines, ends of orders, the
// lease, time) and carries out the typed effects that it returns. One instance
// of a region acts: the holder of the lease, whose fencing number every order
// carries.
//
// A planned change of version or role takes a target through these phases:
//
//	serving -> draining -> loading -> warming -> serving
//
// Each phase is read from the target's own reports. A new leader so takes up
// the change of an earlier one where the engine stands, and a bundle that
// arrives in the middle of a change retargets it. The Planner remembers only the
// orders under way and how lately the weight store was used, and waits at the
// start of a lease for as long as it can't know of an earlier leader's.
//
// Requests in progress are never cut off. When they outlast Wanted.DrainTime,
// the Planner goes on waiting and reports the target as BlockedDrainOverdue.
//
// Targets out of service at once: at most Wanted.MaxLoads in the region, and of
// one service at most Options.MaxOutShare of its slots, where a target that is
// not seen counts as out. One target may always go out while no other is. So a
// service with a single target in the region has no capacity there during its
// change; its requests spill to neighbours where the rules allow it, and are
// refused with a time to come back otherwise. A service of few targets of which
// one is down stays as it is until that one is back, is marked as leaving or
// taken out of the bundle. A version that can't answer its warm-up stays out of
// service and, by the same share, stops the change at the first targets.
//
// Adapters load without a drain. There is no order to unload one; adapters that
// the bundle does not name stay until the next load of a version.
package placement
