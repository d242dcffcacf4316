// Package registered keeps a region's claim table from serving before the
// global group has answered whether the region had an earlier one.
//
// # Why
//
// Claims live in one replicated group per region, often on a single disk. If all
// its disks are wiped, its instances come back blank and form a new group by
// themselves. Without this package, the new, empty table would grant a booking
// that ran before the loss to its retry, and it would run twice.
//
// # How
//
// The Table wraps claim.Table and refuses Claim commands at the region's leader
// until the region's own log holds an admission. The leader's Registrar obtains
// it from the global group (coord/registry), which knows the number of the
// region's earlier group. A group that replaces a lost one is admitted with a
// wait of the longest claim lifetime ever in force; by then the lost table's
// records would have expired too. Finish, Abandon, Expire and InstanceLost are
// always taken.
//
//	the region's group is           claims              what the caller gets
//	not admitted yet                refused             not_run for a first attempt, else may_have_run
//	admitted, waiting after a loss  refused             the same, and when to retry
//	admitted                        taken               see coord/claim
//	replaced by another group       refused, for good   as not admitted
//
// # Where the admission is stored
//
// It is an entry in the region group's own log, not a file beside it, so that it
// is kept and lost together with the table: each replica that holds one holds
// the other, a wiped disk loses both, a readmitted member gets both, and there
// is no order of two syncs to consider. So a region that restarts while it is
// cut off goes on serving claims. A region that is cut off at its very first
// start, or at the first one after a loss, refuses claims until it has reached
// the global group once.
//
// # How the wait is counted
//
// It is counted by the leader's Expire commands, which are at least
// claim.ExpireInterval apart by a monotonic clock, not by wall clocks: a machine
// that replaced a lost one may have a wrong date. Time without a leader in the
// region does not count, which is safe. A change of leader can count one
// interval too much.
//
// An attempt that the lost table had granted may end during the wait. Its record
// would have lived for one lifetime from then on, so the wait starts again.
// After the wait such an end is no longer known; requests run for minutes and
// claims live for hours.
//
// A shorter claim_lifetime_s does not shorten a wait: the lost records were
// promised under the longer one.
//
// # Limits
//
// If an instance is replaced while the old one still runs somewhere cut off, two
// groups of one region live at the same time. That is not told apart from a
// loss: the new group waits, and then both grant. A disk restored from an old
// copy is not noticed. If all voters of the global group are wiped, all
// registrations are lost too; see node/rollout for what is refused then.
package registered
