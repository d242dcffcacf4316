// Package placement changes the engines of a region from their reported state
// to the desired state of the bundle in force, without disrupting requests.
//
// A Planner is a state machine without I/O. The host calls Step with typed
// events (desired state, engine reports, ends of orders, lease, time) and
// carries out the returned effects. One instance per region acts: the holder of
// the lease, whose fencing number is part of every order.
//
// A planned change of version or role takes a target through these phases:
//
//	serving -> draining -> loading -> warming -> serving
//
// Each phase is derived from the target's own reports. A new leader therefore
// continues an earlier leader's change from the engine's current state, and a
// bundle that arrives during a change redirects it. The Planner remembers only
// the pending orders and the recent use of the weight store. At the start of a
// lease it waits for as long as an earlier leader's orders and loads, which it
// cannot know, may still have effects.
//
// Requests in progress are never cut off. If they outlast Desired.DrainTime,
// the Planner keeps waiting and reports the target as BlockedDrainOverdue.
//
// Bounds on targets out of service at the same time: at most Desired.MaxLoads
// in the region, and at most Options.MaxOutShare of a service's slots, where an
// unseen target counts as out of service. One target may always be taken out if
// no other is. A service with a single target in the region therefore has no
// capacity there during its change; its requests spill to neighbours if the
// rules allow it, and are refused with a retry delay otherwise. A service with
// few targets, one of which is down, is not changed until that target is back,
// is marked as leaving or is removed from the bundle. A version that fails its
// warm-up stays out of service and, by the same bound, stops the change at the
// first targets.
//
// Adapters load without a drain. There is no order to unload an adapter;
// adapters that the bundle does not name stay until the next version load.
package placement
