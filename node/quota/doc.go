// Package quota enforces the workspaces' limits of a site over all entry instances of all
// regions together.
//
// In each region one entry instance owns a workspace: the one with the highest rendezvous hash
// among those that accept requests. The others call it before they send a request
// (Service.Consume), so a limit of a few requests per second isn't split into a share for each
// instance. The owners of a workspace, one per region, hold shares of its limit (coord/limit).
// The leader of the core instances' group divides the limit among them by their demand. A
// Holder keeps the shares of an entry instance, a Divider runs at the leader; neither does any
// input or output.
//
// # The bound on what passes
//
// Shares in force never add up to more than the limit, whichever instances believe that they
// own the workspace: each share is granted to one incarnation of one instance, ends by that
// instance's clock, which runs on while the machine is suspended, and is counted at the leader
// until it has ended or was returned. Over a window of T seconds all instances pass
// rate*T + 2*burst, where burst is that of Effective, and one request for each holder. A new
// leader renews the shares that holders report and grants nothing else until the shares of its
// predecessor have ended, so what is in force stays within the limit without a gap.
//
// More than that passes only in these cases, of which none lasts longer than a network
// partition:
//
//   - A holder whose share ended falls back to its region's part of the limit, its floor. The
//     leader reserves the floor of a region that is silent, but not that of a single holder in
//     a region that reports: at most one region's part more, for each part of a region that is
//     cut off from the rest of it.
//   - An instance that has just started uses its region's part at once, as all instances may
//     have been killed and electing a leader takes two seconds. If there is a leader, its first
//     share replaces that part within half a second.
//   - An instance that reaches no owner of a workspace allows half of its equal part of the
//     limit, divided among the largest number of instances that it ever knew at once: with k of
//     n instances isolated, at most k/2n of the limit more.
//   - A lowered limit takes effect at each holder when its own configuration changes.
package quota
