package metrics

import "github.com/gullhaven/gullhaven/coord/link"

// Links are the sums over the links to other instances since the start.
type Links struct {
	Sent, SentBytes, Received, ReceivedBytes int64
	// Refused were turned away before they were sent, Dropped taken and not written, and
	// Overflow received and not handled. Late answers came when nobody waited any more.
	Refused, Dropped, Overflow, Late, PingTimeouts int64
}

// SumLinks sums up the channels of a hub.
func SumLinks(s link.Stats) Links {
	l := Links{Late: int64(s.LateAnswers), PingTimeouts: int64(s.PingTimeouts)}
	for _, c := range s.Channels {
		l.Sent += int64(c.Sent)
		l.SentBytes += int64(c.SentBytes)
		l.Received += int64(c.Received)
		l.ReceivedBytes += int64(c.ReceivedBytes)
		l.Refused += int64(c.Refused)
		l.Dropped += int64(c.Dropped)
		l.Overflow += int64(c.Overflow)
	}
	return l
}

// showLinks shows the sums on a page: many bytes and late answers tell of transfers that
// are begun again and again.
func showLinks[T any](page *pageState[T], links func(*T) *Links) {
	page.show(LinkMessagesSent, func(t *T) int64 { return links(t).Sent })
	page.show(LinkBytesSent, func(t *T) int64 { return links(t).SentBytes })
	page.show(LinkMessagesReceived, func(t *T) int64 { return links(t).Received })
	page.show(LinkBytesReceived, func(t *T) int64 { return links(t).ReceivedBytes })
	page.show(LinkDropped, func(t *T) int64 { return links(t).Dropped })
	page.show(LinkLateAnswers, func(t *T) int64 { return links(t).Late })
	page.show(LinkPingTimeouts, func(t *T) int64 { return links(t).PingTimeouts })
}
