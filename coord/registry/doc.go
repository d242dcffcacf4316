// Package registry records which replicated groups were ever formed, so that a group
// whose every disk was wiped cannot come back as if it were new.
//
// # Why it is needed
//
// A replicated log protects its state while a majority of its disks lasts. A group
// with one voter that lost its disk, or one that lost all disks, has no copy left:
// its instances come back blank, and blank instances form a group by themselves,
// as at a first start (see coord/replog). For a table of claims that is a fault:
// the empty table grants keys that have run, which would show only when a booking
// ran twice.
//
// # The table
//
// A Table is a state machine for the log of another group, which survives the loss of
// the first one. Before a group serves, it registers the number that its log was formed
// under (replog's Group: the founder's incarnation, a random number drawn with its data
// folder, so that a group formed after a loss has another).
//
//	registered before      requested       result
//	nothing of the name    any number      Granted, no wait
//	the same number        the same        the first result again
//	another number         a new one       Granted, with a wait: the state was lost
//	replaced long ago      a replaced one  Replaced: never granted again
//
// The wait is the longest lifetime of a record that was ever in force. The lost state
// held nothing that was recorded after the registration of its successor was committed,
// and removed each record one lifetime after its last change. So when the wait has
// passed, the lost state would have been empty as well.
//
// # Time
//
// The table's clock moves forward only, by the times in commands. BlockedUntil is a
// time of this clock, for reports. A group that has to wait should count Wait by
// elapsed time from when it received the result: a new instance may start with a wrong
// clock, and by a clock that is a day ahead a wait of a day would be over at once. The
// result never exists before the command was committed, so counting from then is safe.
//
// # Limits
//
// A disk restored from an old copy keeps its number and is not detected. If the
// registry's own log is lost together with the groups, it answers as at a first start;
// its host must refuse to serve from a log that was lost.
package registry
