// Package replog is the core of a replicated log: the Raft algorithm without
// input or output. The host passes messages and time in by Step and Tick, does
// what Ready asks for, and reports it done by Advance. Terms are those of the
// Raft paper and thesis (Ongaro and Ousterhout).
//
// # Incarnations
//
// What goes wrong: a voter loses its disk and comes back empty under its old
// id. It has forgotten for whom it voted and what it acknowledged. If it counts
// as before, an entry that two of three voters had synced can vanish: the
// emptied voter and the third one make a majority that never saw it.
//
// A member is therefore an id together with the incarnation of its data
// folder, a random number drawn when the folder is made. The configuration in
// the log holds members, each message names the incarnation of its sender and
// of its receiver, and all counting (votes, commits, leases, reads) is by
// member. A message for another incarnation than the receiver's is answered by
// MsgStranger and not taken in otherwise. So an emptied voter neither votes nor
// counts: with three voters of which one is emptied, the majority is still two
// of the three that the configuration names, and both others are needed.
//
// The way back has two changes through the log. Readmit takes the old
// incarnation out of the voters and takes the new one in as a learner; of three
// voters two remain, and both are still needed, so nothing is given away.
// Promote makes the learner a voter once it holds what was committed. Either
// change moves one voter only. From the promotion on each commit is on two of
// the three again; what was committed before is on both of the two that stayed.
// Hence the loss of either of these right after the repair loses nothing that
// was committed: the other one holds it, and a majority of the three now needs
// it. A group of two voters that loses a disk stops: its leader hears from no
// majority and steps down, and nobody can be elected to commit the repair.
//
// # Forming a group
//
// An emptied disk looks like one of a first start, so settings alone cannot
// tell whether a node may vote in the first configuration. A blank node never
// starts an election, whatever its settings say. One node, the founder (the
// lowest voter id of Bootstrap), may form the group, and only if each other
// member of the list, learners too, answers that it is blank. Its first entry
// is the configuration with the incarnations that answered; the group's number
// is the founder's incarnation.
//
// Why an emptied founder cannot form a second group beside a first one that has
// committed anything: its question carries its new incarnation, so the answers
// were given after its disk was lost. The first group committed by a majority
// of members that had synced its number before they acknowledged. Unless all of
// those lost their disks (more than a majority can bear), one of them answers
// that it is not blank, or does not answer, and the founder waits to be
// readmitted. If the first group has committed nothing when its founder is
// emptied, two groups can come up, and messages between them are dropped; each
// other member joins one of them only, so at most one reaches a majority of its
// list, and the node that joined the other one has to be emptied by hand. The
// cost is that the first start needs all members of the list.
//
// # Leases and clocks
//
// See lease.go for the argument and the bound on drift. The time passed in must
// come from a monotonic clock that goes on while the process is stopped, read
// after the event that is passed in. A leader that was stopped finds by that
// time that its lease has ended.
package replog
