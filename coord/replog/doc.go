// Package replog is the core of a replicated log: the Raft algorithm without
// input or output. The host passes messages and time to Step and Tick, does
// what Ready returns, and reports it done by Advance. Terms are those of the
// Raft paper and thesis (Ongaro and Ousterhout).
//
// # Incarnations
//
// A voter that loses its disk comes back empty under its old id. It has lost
// its votes and the entries it acknowledged. If it counted as before, an entry
// that two of three voters had synced could be lost: the empty voter and the
// third one form a majority that never saw it.
//
// A member is therefore an id together with the incarnation of its data
// folder, a random number drawn when the folder is created. The configuration
// in the log holds members, each message names the incarnations of its sender
// and its receiver, and all counting (votes, commits, leases, reads) is by
// member. A message for another incarnation than the receiver's is ignored; one
// of a leader or a candidate is answered with MsgWrongIncarnation. So an empty
// voter neither votes nor counts: if one of three voters lost its disk, the majority is still
// two of the three that the configuration names, and both others are needed.
//
// Repair takes two changes through the log. Readmit removes the old incarnation
// from the voters and adds the new one as a learner; of three voters two
// remain, and both are still needed, so no guarantee is weakened. Promote makes
// the learner a voter once it holds what was committed. Each change adds or
// removes one voter only. After the promotion, each commit is on two of the
// three again; what was committed before is on both of the two that remained.
// So losing either of these right after the repair loses nothing that was
// committed: the other one holds it, and a majority of the three now needs it.
// A group of two voters that loses a disk stops: its leader hears from no
// majority and steps down, and nobody can be elected to commit the repair.
//
// # Forming a group
//
// A lost disk looks like that of a first start, so settings alone cannot tell
// whether a node may vote in the first configuration. A blank node never starts
// an election, whatever its settings say. One node, the founder (the lowest
// voter id of Bootstrap), may form the group, and only if each other member of
// the list, learners included, answers that it is blank. Its first entry is the
// configuration with the incarnations that answered; the group's number is the
// founder's incarnation.
//
// A founder that lost its disk cannot form a second group beside a first one
// that has committed anything: its probe carries its new incarnation, so the
// answers were given after its disk was lost. The first group committed by a
// majority of members that had synced its number before they acknowledged.
// Unless all of those lost their disks (more than a majority can tolerate), one
// of them answers that it is not blank, or does not answer, and the founder
// waits to be readmitted. If the first group has committed nothing when its
// founder loses its disk, two groups can form, and messages between them are
// dropped; each other member joins one of them only, so at most one reaches a
// majority of its list, and the data folder of the node that joined the other
// one has to be emptied by hand. The cost is that the first start needs all
// members of the list.
//
// # Leases and clocks
//
// See lease.go for the argument and the bound on drift. The time passed in must
// come from a monotonic clock that keeps running while the process is stopped,
// and must be read after the event that is passed in. A leader that was stopped
// thereby finds that its lease has ended.
package replog
