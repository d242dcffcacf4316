// Package quota keeps the workspaces of a site within their limits, over all entry
// instances of all regions together.
//
// In each region one entry instance stands for a workspace: the first by rendezvous among
// those that take requests. The others ask it before they send a request (Take), so that a
// limit of a few requests a second is not cut into a share for each instance. Those that
// stand for a workspace, one in each region, hold shares of its limit (coord/limit), which
// the leader of the core instances' group divides by their demand: a Holders at the entry
// instances, a Divider at the leader, neither with input or output.
//
// # The bound on what passes
//
// Shares in force never add up to more than the limit, whoever stands for a workspace in
// whose view: each is granted to one life of one instance, ends by its own clock, which
// goes on while the machine is suspended, and is counted at the leader until it has ended or
// was given back. Over a window of T seconds all instances pass rate*T + 2*burst, where
// burst is that of Effective, and one request for each holder. A leader that follows another
// one renews what holders say that they hold and grants nothing else until the shares of its
// predecessor have ended, so what is in force stays within the limit without a gap.
//
// More than that passes only in these cases, of which none lasts longer than a cut:
//
//   - A holder whose share ended falls back to its region's part of the limit. The leader
//     sets that aside for a region that is silent, not for a single holder in a region that
//     is heard: at most one region's part more, for each part of a region that is cut off
//     from the rest of it.
//   - An instance that has just started begins with its region's part at once, as all may
//     have been killed and a leader takes two seconds to be found. Where the leader is there
//     its first share replaces that within half a second.
//   - An instance that reaches none that stands for a workspace lets pass half of its equal
//     part of the limit among all instances that it ever knew at once: with k of n instances
//     alone at most k/2n of the limit more.
//   - A limit that is lowered holds at each holder from when its own configuration tells.
package quota
