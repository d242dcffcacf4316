package replog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gullhaven/gullhaven/coord/replog/confchange"
)

// BenchmarkStep measures one heartbeat with its answer at a follower, and one
// acknowledged proposal at a leader of three voters.
func BenchmarkStep(b *testing.B) {
	conf, _ := confchange.New([]Member{ma, mb, mc}, nil)
	b.Run("heartbeat", func(b *testing.B) {
		n := newRestartedNode(&testing.T{}, longAgo, conf)
		b.ReportAllocs()
		for i := range b.N {
			m := Message{Kind: MsgHeartbeat, From: mb, To: ma, Group: ruleGroup, Term: ruleTerm, Round: uint64(i + 1)}
			_ = n.Step(epoch.Add(time.Duration(i)), m)
			drainReady(n)
		}
	})
	b.Run("commit", func(b *testing.B) {
		n := newRestartedNode(&testing.T{}, longAgo, conf)
		elect(&testing.T{}, n, epoch)
		data := make([]byte, 128)
		b.ReportAllocs()
		for i := range b.N {
			p, err := n.Propose(epoch, data)
			if err != nil {
				b.Fatal(err)
			}
			drainReady(n)
			for _, from := range []Member{mb, mc} {
				_ = n.Step(epoch, Message{Kind: MsgAppendResp, From: from, To: ma, Group: ruleGroup, Term: ruleTerm + 1, Index: p.Index})
			}
			drainReady(n)
			if i%1000 == 999 {
				snap, _ := n.MakeSnapshot(p.Index, data)
				_ = n.Compact(snap, 10)
			}
		}
		if s := n.Status(); s.Commit != s.Last {
			b.Fatalf("%+v", s)
		}
	})
}

// newIdleSim returns a group with a leader and no work, on a network without loss;
// count is called for each message from then on.
func newIdleSim(b *testing.B, voters, learners int, count func(Message)) (*sim, *host) {
	s := newSimWithOptions(Options{}, 1, voters, learners, b.Fatalf)
	s.lossy = false
	s.run(10*time.Second, nil)
	l := s.currentLeader()
	if l == nil {
		b.Fatal("no leader")
	}
	s.count = count
	return s, l
}

// BenchmarkCommitMessages counts the messages of a commit, without heartbeats, for
// proposals one by one and 16 at a time.
func BenchmarkCommitMessages(b *testing.B) {
	for _, size := range [][2]int{{1, 0}, {3, 0}, {5, 0}, {3, 2}, {3, 6}, {5, 6}} {
		for _, batch := range []int{1, 16} {
			b.Run(fmt.Sprintf("voters=%d/learners=%d/batch=%d", size[0], size[1], batch), func(b *testing.B) {
				messages, bytes := 0, 0
				s, l := newIdleSim(b, size[0], size[1], func(m Message) {
					if m.Kind == MsgHeartbeat && m.Round > 0 || m.Kind == MsgHeartbeatResp {
						return
					}
					messages++
					bytes += wireSize(m)
				})
				before := len(s.committed)
				for range b.N {
					for range batch {
						if _, err := l.node.Propose(s.local(l), make([]byte, 128)); err != nil {
							b.Fatal(err)
						}
					}
					s.run(50*time.Millisecond, nil)
				}
				if len(s.committed)-before != b.N*batch {
					b.Fatalf("%d of %d committed", len(s.committed)-before, b.N*batch)
				}
				b.ReportMetric(float64(messages)/float64(b.N*batch), "messages/commit")
				b.ReportMetric(float64(bytes)/float64(b.N*batch), "bytes/commit")
			})
		}
	}
}

func wireSize(m Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return len(b)
}

// BenchmarkIdle counts the messages and CBOR bytes, without framing, that an idle group
// sends per second with the default heartbeats.
func BenchmarkIdle(b *testing.B) {
	for _, size := range [][2]int{{1, 0}, {3, 0}, {5, 0}, {3, 6}} {
		b.Run(fmt.Sprintf("voters=%d/learners=%d", size[0], size[1]), func(b *testing.B) {
			messages, bytes := 0, 0
			s, _ := newIdleSim(b, size[0], size[1], func(m Message) {
				messages++
				bytes += wireSize(m)
			})
			for range b.N {
				s.run(time.Second, nil)
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/group-s")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/group-s")
		})
	}
}

// BenchmarkElection measures the virtual time from the stop of a leader to the first
// commit of its successor, over seeds, with an election timeout of 1 s and one-way
// delays of 1 to 8 ms.
func BenchmarkElection(b *testing.B) {
	const seeds = 100
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			for range b.N {
				var took []float64
				for seed := range uint64(seeds) {
					took = append(took, electionTime(b, seed, voters).Seconds()*1000)
				}
				slices.Sort(took)
				b.ReportMetric(took[seeds/2], "median-ms")
				b.ReportMetric(took[seeds-1], "max-ms")
			}
		})
	}
}

func electionTime(b *testing.B, seed uint64, voters int) time.Duration {
	s := newSimWithOptions(Options{}, seed, voters, 0, b.Fatalf)
	s.lossy = false
	s.run(5*time.Second+time.Duration(seed)*simStep, nil)
	s.crash(s.currentLeader().disk.self.ID)
	begin := s.now
	for s.now-begin < time.Minute {
		s.run(simStep, nil)
		if l := s.currentLeader(); l != nil && l.node.hasCommittedInTerm() {
			return s.now - begin
		}
	}
	b.Fatalf("seed %d: no successor", seed)
	return 0
}
