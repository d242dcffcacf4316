package metrics

import "github.com/gullhaven/gullhaven/coord/link"

// Links has the sums over the links to other instances since the start.
type Links struct {
	Sent, SentBytes, Received, ReceivedBytes int64
	// Refused messages were rejected before they were queued, Dropped ones queued and not
	// written, Overflow ones received and not handled. Late answers came after the timeout of
	// their request.
	Refused, Dropped, Overflow, Late, PingTimeouts int64
}

// SumLinks returns the sums over the channels of a hub.
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

// registerLinks registers the metrics of the links. Many bytes together with late answers mean
// that transfers are restarted repeatedly.
func registerLinks[T any](page *pageState[T], links func(*T) *Links) {
	page.gauge(LinkMessagesSent, func(t *T) int64 { return links(t).Sent })
	page.gauge(LinkBytesSent, func(t *T) int64 { return links(t).SentBytes })
	page.gauge(LinkMessagesReceived, func(t *T) int64 { return links(t).Received })
	page.gauge(LinkBytesReceived, func(t *T) int64 { return links(t).ReceivedBytes })
	page.gauge(LinkDropped, func(t *T) int64 { return links(t).Dropped })
	page.gauge(LinkLateAnswers, func(t *T) int64 { return links(t).Late })
	page.gauge(LinkPingTimeouts, func(t *T) int64 { return links(t).PingTimeouts })
}
