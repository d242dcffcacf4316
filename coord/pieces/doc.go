// Package pieces moves a document between instances in pieces that are named by their
// content.
//
// A document that consists of many elements, as a configuration does, is cut between them
// where their content says so: a changed element changes the piece that holds it and no
// other. A Manifest lists the pieces. Who lacks a version asks for its manifest and then for
// the pieces that it does not hold, a few at a time, from anybody who has them.
//
// What this is for: a document that goes whole, in one message with a deadline, is lost
// whole where the deadline passes, and the next try begins anew. Beyond some size, or some
// load of the link, nothing ever arrives and the tries fill the link. With pieces whatever
// has arrived stays, over time-outs, over other sources and over newer versions.
//
// Transfer decides what to ask whom for. It has no I/O: the host passes in the time and
// answers. Pieces are checked by their digests, so that a source can be slow, stale or wrong
// but cannot give another document.
package pieces
