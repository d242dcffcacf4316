// Package claim keeps non-idempotent requests from running twice.
//
// # The table
//
// A Table is the state machine that a replicated log applies. It maps the
// digest of (workspace, idempotency key) to one Record. Before a request is
// sent to a target its sender proposes a Claim; the table grants a key to at
// most one attempt in a lifetime, because commands of one key are applied in
// one order on every replica. The command is committed, and so synced on the
// disks of a majority, before the reply exists: no claim, no send.
//
// The table holds digests only, never a body, an answer or a workspace's name.
//
// # Where claims live
//
// The table of a region is applied by the replicated log of the instances with
// a disk in that region. A key has one home: the region named by the bundle's
// claims_home of the workspace's home region, or that region itself. What
// follows for each layout:
//
//	disks in the home  consequence
//	three or more      a minority of them may be lost or cut off; claims go on
//	two                both are needed; losing one refuses new claims
//	one                losing it refuses new claims until it is back; a wiped
//	                   disk is a lost table, see below
//	none               claims_home must name a region with disks that residency
//	                   allows (only digests go there); while that region is not
//	                   reachable, non-idempotent requests are refused here
//
// A table that is lost for good (every disk wiped) must not start empty: an
// empty table would grant keys that have run. The host finds out that it
// replaces a lost one (coord/registry), and refuses claims, with the reply
// Blocked, until the longest lifetime has passed.
//
// # Lifetimes
//
// A record is forgotten one lifetime after its last change. After that the key
// counts as new: a resend later than the lifetime RUNS AGAIN. Operators choose
// the lifetime longer than any caller resends (bundle: claim_lifetime_s). A
// record that is still Running when its lifetime ends is not forgotten but
// turns to MayHaveRun for one more lifetime, so that a long request isn't
// doubled while it runs.
//
// The table's clock moves only by Expire commands, only forward, and by at
// most MaxClockStep for each. The log's leader proposes one each ExpireInterval. A leader
// whose clock is a day ahead so shortens lifetimes by at most half while it
// leads, instead of forgetting the whole table at once; a leader whose clock is
// behind keeps records longer, which is safe.
//
// # What the caller is told
//
// A Gate drives one sending at its instance. What it says, by the mark of the
// sending (First: the caller vouches that no earlier sending of the key exists;
// Resend: the caller says that one exists; Unmarked: not known) and by what
// came back from the table:
//
//	table said            First            Resend, Unmarked   request
//	granted, then sent    by the target    by the target      runs here
//	granted, not sent     not_run          not_run            refused, claim released
//	running elsewhere     join; if that fails may_have_run    never sent here
//	done                  recorded verdict, status, digest    never sent here
//	may have run          may_have_run     may_have_run       refused
//	other body (conflict) not_run          not_run            refused
//	held                  not_run          may_have_run       refused, come back
//	full, stale, blocked  not_run          may_have_run       refused, come back
//	never reached         not_run          may_have_run       refused, come back
//	reply lost            not_run          may_have_run       refused, come back
//
// Why "not_run" is true in the first column although the claim may have been
// committed: nobody runs a key but the attempt that was granted it, attempt ids
// are unique, our Gate never sends once it has refused, and no other sending
// existed. "Not run" speaks of this sending and of every earlier one; a later
// resend may of course run, and is told so itself.
//
// Why "not_run" is true for "granted, not sent" of a resend: the grant proves
// that no earlier sending holds the key. An earlier sending whose claim is
// still under way could be granted it after the release, so a release by a
// sending that isn't First is held: until Hold has passed on the table's clock
// the key is granted to nobody, and a Gate takes no grant later than ClaimWait
// after its request came. The earlier request came before ours, so by then its
// Gate takes none. Once granted in time a Gate may send at any later time: the
// key is its own. Hold covers ClaimWait at the fastest that the table's
// clock can run (see Hold), so that only rates of clocks matter and not what
// they show.
//
// Why "not_run" is true for a conflict: a record with another body means that
// this body was not granted under the key in its lifetime, and isn't later.
//
// When a reply is lost the Gate asks again under the same attempt id, which is
// answered as the first time, until ClaimWait has passed. Then it refuses and
// proposes Abandon: if the claim was committed it is released, and if it is
// still under way the tombstone refuses it when it arrives.
//
// # What is left
//
// A Gate that was refused by a reply leaves no tombstone. If a second copy of
// its claim is applied later, is granted and that reply is lost too, the key
// stays Running at nobody: resends are told may_have_run until the lifetime
// ends. That is refused needlessly, never run twice. Every AttemptID must be
// random and every First mark true: the table can check neither.
package claim
