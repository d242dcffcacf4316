// Package claim keeps non-idempotent requests from running twice.
//
// # The table
//
// A Table is the state machine that a replicated log applies. It maps the
// digest of (workspace, idempotency key) to one record. Before an instance sends
// a request to a target it proposes a Claim; the table grants a key to at
// most one attempt in a lifetime, because commands of one key are applied in
// the same order on every replica. The command is committed, and so synced on the
// disks of a majority, before the reply exists: no claim, no send.
//
// The table holds digests only, never a body, an answer or a workspace's name.
//
// # Where claims are stored
//
// The table of a region is applied by the replicated log of the instances with
// a disk in that region. The claims of a key are stored in one region, the claims
// home: the one named by claims_home in the bundle for the workspace's home
// region, or else the home region itself. Consequences by number of disks:
//
//	disks in the claims home  consequence
//	three or more             a minority of them may be lost or partitioned;
//	                          claims continue
//	two                       both are needed; losing one refuses new claims
//	one                       losing it refuses new claims until it is back; a
//	                          wiped disk is a lost table, see below
//	none                      claims_home must name a region with disks that
//	                          residency allows (only digests go there); while that
//	                          region is not reachable, non-idempotent requests
//	                          are refused here
//
// A table that is permanently lost (every disk wiped) must not start empty: an
// empty table would grant keys that have run. The host detects that it
// replaces a lost one (coord/registry), and refuses claims, with the reply
// Blocked, until the longest lifetime has passed.
//
// # Lifetimes
//
// A record is removed one lifetime after its last change. After that the key
// counts as new: a resend later than the lifetime RUNS AGAIN. Operators must set
// the lifetime (bundle: claim_lifetime_s) longer than any caller resends. A
// record that is still Running when its lifetime ends is not removed but
// changes to MayHaveRun for one more lifetime, so that a long request isn't
// run a second time meanwhile.
//
// The table's clock moves only by Expire commands, only forward, and by at
// most MaxClockStep for each. The log's leader proposes one each ExpireInterval.
// So a leader whose clock is a day ahead shortens lifetimes by at most half while
// it leads, instead of expiring the whole table at once; a leader whose clock is
// behind keeps records longer, which is safe.
//
// # What the caller is told
//
// A Gate guards one attempt at its instance. Its response depends on the mark of
// the attempt (First: the caller vouches that no earlier attempt of the key exists;
// Resend: the caller says that one exists; Unmarked: not known) and on the
// table's reply. The columns First and Resend, Unmarked give the verdict:
//
//	table's reply         First            Resend, Unmarked   request
//	granted, then sent    by the target    by the target      runs here
//	granted, not sent     not_run          not_run            refused, claim released
//	running elsewhere     join; if that fails may_have_run    never sent here
//	done                  recorded verdict, status, digest    never sent here
//	may have run          may_have_run     may_have_run       refused
//	other body (conflict) not_run          not_run            refused
//	held                  not_run          may_have_run       refused, retry later
//	full, stale, blocked  not_run          may_have_run       refused, retry later
//	never reached         not_run          may_have_run       refused, retry later
//	reply lost            not_run          may_have_run       refused, retry later
//
// Why "not_run" is true in the first column although the claim may have been
// committed: only the attempt that was granted a key runs it, attempt ids
// are unique, this Gate never sends once it has refused, and no other attempt
// existed. "Not run" covers this attempt and every earlier one; a later
// resend may of course run, and gets a verdict of its own.
//
// Why "not_run" is true for "granted, not sent" of a resend: the grant proves
// that no earlier attempt holds the key. An earlier attempt whose claim is
// still in flight could be granted it after the release, so a release by an
// attempt that isn't First is held: until Hold has passed on the table's clock
// the key is granted to nobody, and a Gate accepts no grant later than ClaimWait
// after its request arrived. The earlier request arrived before this one, so by
// then its Gate accepts none. Once granted in time a Gate may send at any later
// time: the key is its own. Hold covers ClaimWait at the fastest that the table's
// clock can run (see Hold), so that only the rates of clocks matter and not the
// times that they show.
//
// Why "not_run" is true for a conflict: a record with another body means that
// this body was not granted under the key in its lifetime, and won't be later.
//
// When a reply is lost the Gate proposes again under the same attempt id, which
// gets the same reply as the first time, until ClaimWait has passed. Then it
// refuses and proposes Abandon: if the claim was committed it is released, and if
// it is still in flight the tombstone refuses it when it arrives.
//
// # Known limits
//
// A Gate that was refused by a reply leaves no tombstone. If a second copy of
// its claim is applied later, is granted and that reply is lost too, the key
// stays Running without an owner: resends get may_have_run until the lifetime
// ends. That is a needless refusal, never a second run. Every AttemptID must be
// random and every First mark true: the table can check neither.
package claim
