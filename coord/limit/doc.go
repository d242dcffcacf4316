// Package limit enforces each workspace's rate limit across the instances of a
// region by leased shares.
//
// A remote call for each request would add its latency and failures to every
// request. Instead each instance reports its workspaces' demand about once a
// second. An Allocator at one instance of the region divides each limit over the
// instances with demand, and a Limiter at each instance spends its share from a
// token bucket until the share's lease ends.
//
// # Bound on what passes
//
// The Allocator counts a share as outstanding until its lease has ended on the
// Allocator's clock, or its holder has reported a newer one. It grants only what
// is not outstanding, so the sum of shares in force never exceeds the limit, even
// with overlapping leases and lost or duplicated messages. Over any window of T
// seconds all instances together pass at most rate*T + 2*burst and one request
// for each instance. One burst is saved under shares. The other consists of the
// floors' bursts: each bucket may save its floor's burst on top of its share's,
// starts with that, and is removed only when it is full again. The extra request
// for each instance is debt: a bucket lets any request through while it has
// tokens. After a change of the number of instances the floor bursts follow with
// the next reports.
//
// # Bound on false refusals
//
// Let N instances together ask for 0.8 of the limit, with a burst of two seconds,
// in requests of up to a fifth of an instance's equal share of a second (limit/5N),
// evenly or unevenly spread, regular or Poisson. False refusals are those
// beyond what a single bucket for the whole region would refuse. Their share of all
// requests, on average over random cases and at most in any one of them, is:
//
//	                                      with urgent reports   without
//	within a lease of the start              1%, 15%             2%, 25%
//	... of all load being redistributed      1%, 20%             5%, 40%
//	... of all load moving to one instance  10%, 35%           25%, 60%
//	after that lease                         0.1%, 6%          0.2%, 10%
//
// With larger requests at random times no instance can save for more than a few
// of them: of nine instances after the first lease up to 12% of Poisson arrivals
// of limit/N are refused (2% of regular ones), and 25% (10%) of requests of a
// whole second of the limit.
// offered_test.go checks these bounds. They don't hold within a lease of a new
// Allocator, which grants nothing: a limit that is new then passes only the floor
// bursts, at most the limit's burst and one request for each instance.
//
// Five rules keep refusals low. In the first round the floors of instances that
// may be about to ask are left free. A bucket's need includes what it lacks, and
// is its lower average if it lacks nothing. A small share stays free for instances
// without demand. Unused capacity is divided over all that ask. And a Limiter that
// refuses, or whose share shrank, reports at once (UrgentReport).
//
// # Partition from the Allocator
//
// When the lease ends without renewal an instance falls back to its floor, the
// limit divided by the number of instances, so that it keeps serving. The
// Allocator sets aside the floors of instances that have not reported for half a
// lease, so both sides of a partition together stay within the limit; all
// instances on their floors pass exactly the limit. Where single messages are
// lost in both directions for most of a lease, an instance may be on its floor
// while a share granted to another just before is still valid: the excess is at
// most the floors of such instances, for at most a lease. A new Allocator
// grants nothing for one lease, since it does not know what its predecessor
// granted.
//
// A workspace that is new at an instance starts with its floor of the burst
// and no rate. If no share arrives within a lease it falls back to the floor.
//
// # Several holders for one instance
//
// An instance in SetInstances may also be a part of a larger system, for
// example a region, in which one holder after the other, or two at once while
// views differ, is responsible for a limit. Each holder has its own shares
// (ReportOf); floors belong to the instance. A holder that is no longer
// responsible for a limit returns its share once it gets no more requests for it
// (SetOwned), and one that never had a share spends its floor burst and no more.
// So the sum of shares in force stays within the limit even while holders
// disagree on who is responsible.
//
// An Allocator that follows another one may renew the shares that holders report,
// instead of granting nothing (Resume): no share grows until those of the
// predecessor have ended, or all possible holders have reported (EndGracePeriod).
//
// # Between regions
//
// RegionLimit divides a limit over regions statically, by the bundle: regions
// exchange nothing about it, and a partition between them changes nothing.
package limit
