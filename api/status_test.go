package api

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/gullhaven/gullhaven/api/gen/http/operators/server"
	"github.com/gullhaven/gullhaven/api/gen/operators"
	"github.com/gullhaven/gullhaven/metrics/served"
	"github.com/gullhaven/gullhaven/operate"
)

func fullStatus() *operators.InstanceReport {
	lease := &operators.LeaseStatus{Instance: "malang-1", Term: 4, LeftMs: 900}
	return &operators.InstanceReport{
		Instance: "malang-1", Region: "jatim", Zone: "malang-hall", Roles: []string{"entry"}, Version: 3, Digest: "d",
		Leader: "malang-1", InFlight: 1, UptimeMs: 5, Lease: lease,
		Regions: []*operators.RegionStatus{{
			Region: "jatim", Version: 3, Digest: "d", Reachable: true, Behind: true, AgeMs: 7, Lease: lease,
			Lagging: []*operators.LaggingInstance{{Instance: "malang-2", Version: 2, ForMs: 60}},
		}},
		Targets:   []*operators.TargetStatus{{ID: "r1", Service: "s", State: "warm", Running: 2, Waiting: 1, AgeMs: 200}},
		Instances: []*operators.InstanceStatus{{ID: "malang-1", Region: "jatim", Zone: "malang-hall", State: "alive"}},
		Voters:    []*operators.VoterStatus{{Instance: "malang-1", Region: "jatim", State: "leader", Disk: "ok", Index: 9}},
		Services: ServiceStatuses("jatim", []served.Figures{{
			Service: "s", Window: 5 * time.Minute, Requests: 10, Refused: 1, Failed: 2, SentAway: 0.25, TargetSeconds: 3, Cost: 4,
			P50: time.Millisecond, P90: 2 * time.Millisecond, P99: 3 * time.Millisecond, P999: 4500 * time.Microsecond,
		}}),
	}
}

// Guards against a column of `gullhaven status` that stays empty because the field's
// name in api/design differs from that in package operate.
func TestStatusMatchesPackageOperate(t *testing.T) {
	w := httptest.NewRecorder()
	if err := server.EncodeStatusResponse(goahttp.ResponseEncoder)(context.Background(), w, fullStatus()); err != nil {
		t.Fatal(err)
	}
	sent := w.Body.Bytes()
	decoder := json.NewDecoder(bytes.NewReader(sent))
	decoder.DisallowUnknownFields()
	var read operate.Status
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	want := operate.ServiceStatus{
		Service: "s", Region: "jatim", WindowSeconds: 300, Requests: 10, Refused: 1, Failed: 2, SpillShare: 0.25, TargetSeconds: 3, Cost: 4,
		FirstByte: operate.Quantiles{P50: 1, P90: 2, P99: 3, P999: 4.5},
	}
	if read.Services[0] != want {
		t.Fatalf("%+v", read.Services[0])
	}
	again, err := json.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	var x, y any
	if err := json.Unmarshal(sent, &x); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(again, &y); err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(x)
	b, _ := json.Marshal(y)
	if !bytes.Equal(a, b) {
		t.Fatalf("sent %s\nread %s", a, b)
	}
}
