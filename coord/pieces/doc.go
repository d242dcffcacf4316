// Package pieces transfers a document between instances in content-addressed pieces.
//
// A document that consists of many elements, as a configuration does, is cut between
// elements by content-defined chunking: a changed element changes the piece that contains it
// and hardly any other. A Manifest lists the pieces. An instance that lacks a version
// requests its manifest and then the pieces that it does not hold, a few at a time, from any
// instance that has them.
//
// Without pieces, a document sent whole, in one message with a deadline, is lost whole when
// the deadline passes, and the next attempt starts from the beginning. Beyond some size, or
// some load of the link, nothing ever arrives and the attempts fill the link. With pieces,
// everything received is kept across timeouts, other sources and newer versions.
//
// Transfer decides what to request from which source. It has no I/O: the host passes in the
// time and the responses. Pieces are checked by their digests, so a source can be slow, stale
// or wrong but cannot substitute another document.
package pieces
