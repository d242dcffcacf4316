package replog

// Node is the replicated log of one member. It is not safe for concurrent use.
type Node struct {
	opts Options
}
