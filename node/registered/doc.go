// Package registered keeps a region's claim table from serving before the
// global group has answered whether the region had an earlier one.
//
// # What goes wrong without it
//
// Claims live in a group per region, often on a single disk. When every disk of
// it is wiped its instances come back blank and form a new group by themselves.
// The new table is empty: a booking that ran before the loss is granted again
// to its resend, and runs twice.
//
// # What happens instead
//
// The Table wraps claim.Table and refuses Claim commands at the region's leader
// until an admission stands in the region's own log. The leader's Registrar
// gets it from the global group (coord/registry), which knows the number of the
// region's group from before. A group that replaces a lost one is admitted with
// a wait of the longest claim lifetime ever in force; by then the lost table
// would have forgotten its records too. Finish, Abandon, Expire and
// InstanceLost are taken at all times.
//
//	the region's group is           claims              the caller is told
//	not admitted yet                refused             not_run for a first sending, else may_have_run
//	admitted, waiting after a loss  refused             the same, and when to come back
//	admitted                        taken               see coord/claim
//	replaced by another group       refused, for good   as not admitted
//
// # Where the admission is kept
//
// In the region group's own log, as an entry, and not in a file beside it. It
// shares the fate of the table, which is the point: each replica that holds the
// one holds the other, a wiped disk loses both, a readmitted member gets both,
// and no order of two syncs has to be argued. So a region that restarts while
// it is cut off goes on serving claims. A region that is cut off at its very
// first start, or at the first one after a loss, refuses claims until it has
// reached the global group once.
//
// # How the wait is counted
//
// By the leader's Expire commands, which are at least claim.ExpireInterval apart by a
// monotonic clock, and not by what clocks show: the machine that took the place
// of a lost one may have a wrong date. Time in which the region has no leader
// does not count, which is safe. A change of leader can count one Tick too much.
//
// An attempt that was granted by the lost table may end during the wait. Its
// record would have lived one lifetime from there, so the wait starts again.
// After the wait such an end is not known any more; requests run for minutes
// and claims live for hours.
//
// A shorter claim_lifetime_s does not shorten a wait: the lost records were
// promised under the longer one.
//
// # What is left
//
// Two groups of one region that live at the same time, because an instance was
// replaced while the old one still runs somewhere cut off, are not told apart
// from a loss: the new one waits, and then both grant. A disk put back to an
// old copy is not noticed. If all voters of the global group are wiped, all
// registrations are lost too; see node/rollout for what is refused then.
package registered
