package metrics

// Control has the values of the control plane's metrics; counters are since the
// start of the instance.
type Control struct {
	LinkConnections      int64
	LinkMessagesSent     int64
	LinkBytesSent        int64
	LinkMessagesReceived int64
	LinkBytesReceived    int64
	LinkRefused          int64
	LinkDropped          int64
	LinkOverflow         int64
	LinkDials            int64
	LinkDialFailures     int64
	LinkAcceptRefusals   int64
	LinkPingTimeouts     int64
	LinkLateAnswers      int64
	LinkBadBatches       int64
	RingRefused          int64
	BundleVersion        int64
	BundleInstalls       int64
	BundleWholeCopies    int64
	SpreadRefused        int64
	SpreadLate           int64
	RegionsBehind        int64
	RegionsUnreachable   int64
	LogSyncs             int64
	LogSyncedEntries     int64
	LogProposals         int64
	LogProposalFailures  int64
	LogApplied           int64
	LogLeading           int64
	LogSnapshots         int64
	LogSnapshotErrors    int64
	LogMalformed         int64
	LogDropped           int64
	MembersAlive         int64
	MembersSuspect       int64
	MembersLeaving       int64
	MembersDead          int64
	ClaimsHeld           int64
	Suspects             int64
	LimitBuckets         int64
	TargetsWarm          int64
	TargetsLoading       int64
	TargetsLeaving       int64
	TargetsDown          int64
	OrdersSent           int64
	OrdersFailed         int64
}

// controlMetric is a metric and its field of Control.
type controlMetric struct {
	metric Metric
	read   func(*Control) int64
}

var controlMetrics = []controlMetric{
	{LinkConnections, func(c *Control) int64 { return c.LinkConnections }},
	{LinkMessagesSent, func(c *Control) int64 { return c.LinkMessagesSent }},
	{LinkBytesSent, func(c *Control) int64 { return c.LinkBytesSent }},
	{LinkMessagesReceived, func(c *Control) int64 { return c.LinkMessagesReceived }},
	{LinkBytesReceived, func(c *Control) int64 { return c.LinkBytesReceived }},
	{LinkRefused, func(c *Control) int64 { return c.LinkRefused }},
	{LinkDropped, func(c *Control) int64 { return c.LinkDropped }},
	{LinkOverflow, func(c *Control) int64 { return c.LinkOverflow }},
	{LinkDials, func(c *Control) int64 { return c.LinkDials }},
	{LinkDialFailures, func(c *Control) int64 { return c.LinkDialFailures }},
	{LinkAcceptRefusals, func(c *Control) int64 { return c.LinkAcceptRefusals }},
	{LinkPingTimeouts, func(c *Control) int64 { return c.LinkPingTimeouts }},
	{LinkLateAnswers, func(c *Control) int64 { return c.LinkLateAnswers }},
	{LinkBadBatches, func(c *Control) int64 { return c.LinkBadBatches }},
	{RingRefused, func(c *Control) int64 { return c.RingRefused }},
	{BundleVersion, func(c *Control) int64 { return c.BundleVersion }},
	{BundleInstalls, func(c *Control) int64 { return c.BundleInstalls }},
	{BundleWholeCopies, func(c *Control) int64 { return c.BundleWholeCopies }},
	{SpreadRefused, func(c *Control) int64 { return c.SpreadRefused }},
	{SpreadLate, func(c *Control) int64 { return c.SpreadLate }},
	{RegionsBehind, func(c *Control) int64 { return c.RegionsBehind }},
	{RegionsUnreachable, func(c *Control) int64 { return c.RegionsUnreachable }},
	{LogSyncs, func(c *Control) int64 { return c.LogSyncs }},
	{LogSyncedEntries, func(c *Control) int64 { return c.LogSyncedEntries }},
	{LogProposals, func(c *Control) int64 { return c.LogProposals }},
	{LogProposalFailures, func(c *Control) int64 { return c.LogProposalFailures }},
	{LogApplied, func(c *Control) int64 { return c.LogApplied }},
	{LogLeading, func(c *Control) int64 { return c.LogLeading }},
	{LogSnapshots, func(c *Control) int64 { return c.LogSnapshots }},
	{LogSnapshotErrors, func(c *Control) int64 { return c.LogSnapshotErrors }},
	{LogMalformed, func(c *Control) int64 { return c.LogMalformed }},
	{LogDropped, func(c *Control) int64 { return c.LogDropped }},
	{MembersAlive, func(c *Control) int64 { return c.MembersAlive }},
	{MembersSuspect, func(c *Control) int64 { return c.MembersSuspect }},
	{MembersLeaving, func(c *Control) int64 { return c.MembersLeaving }},
	{MembersDead, func(c *Control) int64 { return c.MembersDead }},
	{ClaimsHeld, func(c *Control) int64 { return c.ClaimsHeld }},
	{SuspectRequests, func(c *Control) int64 { return c.Suspects }},
	{LimitBuckets, func(c *Control) int64 { return c.LimitBuckets }},
	{TargetsWarm, func(c *Control) int64 { return c.TargetsWarm }},
	{TargetsLoading, func(c *Control) int64 { return c.TargetsLoading }},
	{TargetsLeaving, func(c *Control) int64 { return c.TargetsLeaving }},
	{TargetsDown, func(c *Control) int64 { return c.TargetsDown }},
	{OrdersSent, func(c *Control) int64 { return c.OrdersSent }},
	{OrdersFailed, func(c *Control) int64 { return c.OrdersFailed }},
}

// RegisterControl registers the metrics of the control plane. read is called once
// for each page, by the goroutine that writes it.
func (s *Set) RegisterControl(read func() Control) {
	s.mu.Lock()
	s.readControl = read
	s.mu.Unlock()
	for _, m := range controlMetrics {
		s.Gauge(m.metric, func() int64 {
			if c := s.control.Load(); c != nil {
				return m.read(c)
			}
			return 0
		})
	}
}

// readState reads the state for the page that is about to be written.
func (s *Set) readState() {
	s.mu.Lock()
	read := s.readControl
	s.mu.Unlock()
	if read != nil {
		c := read()
		s.control.Store(&c)
	}
	if s.onPage != nil {
		s.onPage()
	}
}
