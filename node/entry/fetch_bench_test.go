package entry

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/gullhaven/gullhaven/bundle/newest"
	"github.com/gullhaven/gullhaven/bundle/routes"
	"github.com/gullhaven/gullhaven/coord/pieces"
	"github.com/gullhaven/gullhaven/platform"
)

// configuration returns one of n routes, of which the middle one has a timeout of its own.
func configuration(version, n, timeout int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for k := range n {
		if k > 0 {
			b.WriteByte(',')
		}
		ms := 2000
		if k == n/2 {
			ms = timeout
		}
		id := uint64(k+1) * 0x9e3779b97f4a7c15
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"h%d.example","pathPrefix":"/%x/","kind":"safe","timeoutMs":%d,"targetLatencyMs":400,`+
			`"priority":2,"service":"s","attempts":1,"stickySessions":false,"resumable":false,"gapAimMs":300,"homeRegions":[]}`, uint32(id), k%7, id>>16, ms)
	}
	b.WriteString(`],"services":[{"name":"s","healthPath":"/health","maxConnections":370}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	return b.Bytes()
}

// storedConfiguration is a configuration as a core instance holds it.
type storedConfiguration struct {
	head   *newest.Head
	holder pieces.Holder
}

func storeConfiguration(b testing.TB, index uint64, document []byte) *storedConfiguration {
	b.Helper()
	f := platform.Format{}
	s, err := pieces.Cut(document, f.Layout(document))
	if err != nil {
		b.Fatal(err)
	}
	d := s.Pack()
	h := &storedConfiguration{head: &newest.Head{Index: index, Version: index, Root: d.Manifest.Root()}}
	h.holder.Put(h.head.Root, d)
	return h
}

// transferTo transfers a configuration to an instance, and returns the number of bytes received.
func (h *storedConfiguration) transferTo(b testing.TB, i *Instance) (received int) {
	i.known.head = h.head
	i.fetcher.handleAnnouncement(time.Now(), h.head, "core")
	for {
		q, _ := i.fetcher.next(time.Now())
		if q == nil {
			return received
		}
		data, err := cbor.Marshal(h.holder.Respond(&q.Request))
		if err != nil {
			b.Fatal(err)
		}
		received += len(data)
		var a pieces.Response
		if err := cbor.Unmarshal(data, &a); err != nil {
			b.Fatal(err)
		}
		if err := i.fetcher.transfer.HandleResponse(time.Now(), q, &a); err != nil {
			b.Fatal(err)
		}
		i.activate()
	}
}

// A change of one route must cost an entry instance under a twentieth of the bytes of all routes if
// there are thousands, and result in the complete configuration.
func TestChangeOfOneRouteCostsLittle(t *testing.T) {
	for _, n := range []int{1500, 6000, 12000} {
		i := newInstance(t)
		i.o.Format = platform.Format{}
		whole := storeConfiguration(t, 1, configuration(1, n, 2000)).transferTo(t, i)
		change := storeConfiguration(t, 2, configuration(2, n, 3000)).transferTo(t, i)
		if 20*change > whole {
			t.Errorf("%d routes: %d bytes for one route, %d for all", n, change, whole)
		}
		if got := i.fetcher.index.Len(); got != n || i.known.held.Version != 2 {
			t.Errorf("%d routes of %d, version %d", got, n, i.known.held.Version)
		}
	}
}

// BenchmarkConfiguration measures what a configuration costs an entry instance: bytes received and
// processor time, as a whole and for one changed route, and for comparison reading the whole
// document at each change.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{50, 1500, 6000, 18000} {
		document := configuration(1, n, 2000)
		b.Run(fmt.Sprintf("%d/document", n), func(b *testing.B) {
			for b.Loop() {
				table, err := platform.ParseConfiguration(document)
				if err != nil {
					b.Fatal(err)
				}
				routes.NewIndex(table)
			}
			b.ReportMetric(float64(len(document)), "B/change")
		})
		b.Run(fmt.Sprintf("%d/whole", n), func(b *testing.B) {
			h, received := storeConfiguration(b, 1, document), 0
			for b.Loop() {
				i := &Instance{o: Options{Format: platform.Format{}}, log: zap.NewNop(), fetcher: newFetcher()}
				received = h.transferTo(b, i)
			}
			b.ReportMetric(float64(received), "B/change")
		})
		b.Run(fmt.Sprintf("%d/one_route", n), func(b *testing.B) {
			versions := []*storedConfiguration{storeConfiguration(b, 2, configuration(2, n, 3000)), storeConfiguration(b, 3, configuration(3, n, 4000))}
			i := &Instance{o: Options{Format: platform.Format{}}, log: zap.NewNop(), fetcher: newFetcher()}
			storeConfiguration(b, 1, document).transferTo(b, i)
			received := 0
			for k := 0; b.Loop(); k++ {
				received = versions[k%2].transferTo(b, i)
			}
			b.ReportMetric(float64(received), "B/change")
		})
	}
}
