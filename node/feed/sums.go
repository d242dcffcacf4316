package feed

// plus adds what another load says of the same target.
func (l Load) plus(o Load) Load {
	l.Running += o.Running
	l.Unread += o.Unread
	l.Held += o.Held
	l.Reading += o.Reading
	return l
}

// minus takes a part out.
func (l Load) minus(part Load) Load {
	return l.plus(Load{Running: -part.Running, Unread: -part.Unread, Held: -part.Held, Reading: -part.Reading})
}

// plus adds the load of a target.
func (s Summary) plus(l Load) Summary {
	sum := s.load().plus(l)
	s.Running, s.Unread, s.Held, s.Reading = sum.Running, sum.Unread, sum.Held, sum.Reading
	return s
}

func (s Summary) load() Load {
	return Load{Running: s.Running, Unread: s.Unread, Held: s.Held, Reading: s.Reading}
}
