// Package limit shares workspaces' limits among instances by leased shares.
//
// A call to an owner for each request would put the owner's delay and its
// failures on every request. Instead each instance reports about once a second
// what its workspaces ask for, an Allocator at the region's owner divides each
// limit over the instances that ask, and a Limiter at the instance spends its
// share from a token bucket until the share's lease ends.
//
// # The bound on what passes
//
// The Allocator counts a share as outstanding until its lease ended on the
// owner's clock, or its holder reported a newer one. It grants only what is not
// outstanding, so the sum of shares in force never exceeds the limit, over
// overlapping leases, lost and doubled messages too. Over any window of T
// seconds all instances together pass at most rate*T + 2*burst and one request
// for each instance. One burst is saved under shares. The other one is lent:
// each bucket may save its floor's burst above its share's, starts with that,
// and is forgotten only when it has it again. The requests are debts: a bucket
// lets any request through while it has tokens. After a change of the number of
// instances the lent bursts follow with the next reports.
//
// # The bound on what is refused needlessly
//
// Let N instances together ask for 0.8 of the limit, with a burst of two seconds,
// in requests of up to a fifth of an instance's equal part of a second (limit/5N),
// evenly or unevenly spread, regular or Poisson. Of the requests that one bucket
// for the whole region would let through the instances refuse, in the mean of
// random cases and at most in any one of them:
//
//	                                      with urgent reports   without
//	within a lease of the start              1%, 15%             2%, 25%
//	... of load being spread anew at once    1%, 20%             5%, 40%
//	... of all load jumping to one instance  10%, 35%           25%, 60%
//	after that lease                         0.1%, 6%          0.2%, 10%
//
// Where larger requests come at random no instance can save for more than a few
// of them: of nine instances after the first lease up to 12% of Poisson arrivals
// of limit/N are refused (2% of regular ones), and 25% (10%) of requests of a
// whole second of the limit.
// The bounds are those of offered_test.go. They don't hold within a lease of a
// new Allocator, which grants nothing: a limit that is new then passes what is
// lent, at most its burst and one request for each instance.
//
// Five things keep the refusals small. Floors of those that may be about to ask
// are left in the first round. A need counts what a bucket lacks, and its lower
// average if it lacks nothing. A small part stays free for newcomers. What nobody
// asks for goes to all that ask. And a Limiter that refuses, or whose share
// shrank, says so at once (UrgentReport).
//
// # Cut off from the owner
//
// When the lease ends without renewal an instance falls back to its floor: the
// limit divided by the number of instances, so that it keeps serving. The
// Allocator sets the floors of instances that it has not heard of for half a
// lease aside, so both sides of a cut together stay within the limit; all
// instances on their floors pass exactly the limit. Where single messages are
// lost in both directions for most of a lease, an instance may be on its floor
// while a share granted to another just before is still good: the excess is at
// most the floors of such instances, for at most a lease. A new Allocator
// grants nothing for one lease, since it does not know what its predecessor
// granted.
//
// A workspace that is new at an instance starts with its floor of the burst
// and no rate. If no share comes within a lease it falls back to the floor.
//
// # Several holders of one part
//
// An instance in SetInstances may also be a part of a larger system, for example a region,
// in which one holder after the other, or two at once while views differ, stand for a limit.
// Shares are each holder's (ReportOf); floors are the parts'. A holder that does not stand
// for a limit any more returns its share once nobody asks it (SetOwned), and one that never
// had a share spends what it was lent and no more. So the sum of shares in force stays within
// the limit whatever holders believe of each other.
//
// An Allocator that follows another one may renew what holders say that they hold, in place of
// granting nothing (Resume): no share grows until those of the predecessor have ended, or all
// that may hold one have reported (EndGracePeriod).
//
// # Between regions
//
// RegionLimit divides a limit over regions once, by the bundle: there is no
// exchange between regions, and a cut between them changes nothing.
package limit
