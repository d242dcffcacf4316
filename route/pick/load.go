package pick

// add counts more in.
func (l *Load) add(more Load) {
	l.Running += more.Running
	l.Unread += more.Unread
	l.Held += more.Held
	l.Reading += more.Reading
}

// subtract takes a part out.
func (l *Load) subtract(part Load) {
	l.Running -= part.Running
	l.Unread -= part.Unread
	l.Held -= part.Held
	l.Reading -= part.Reading
}

// load is what is under way at the target as far as is known.
func (t *target) load() Load {
	sum := t.own
	sum.add(t.others)
	return sum
}
