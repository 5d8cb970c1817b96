package operator

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// fakeControl is a control instance that holds some records of one incarnation of an entry instance.
type fakeControl struct {
	wireconnect.UnimplementedControlServiceHandler

	sequences []uint64
}

// Report returns the records.
func (f *fakeControl) Report(context.Context, *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	response := &wire.ReportResponse{}
	for _, sequence := range f.sequences {
		response.Records = append(response.Records, &wire.OutcomeRecord{
			Instance: "entry-1",
			Sequence: sequence,
			Tenant:   "bakery",
			Outcome:  "answered",
		})
		response.Ranges = append(response.Ranges, &wire.SequenceRange{
			Instance: "entry-1",
			First:    sequence,
			Last:     sequence,
		})
	}
	return connect.NewResponse(response), nil
}

func startFakeControl(t *testing.T, sequences ...uint64) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(&fakeControl{
		sequences: sequences,
	}))
	server, err := listener.New("127.0.0.1:0", mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

func TestReportMergesControlInstances(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	cases := []struct {
		name      string
		addresses []string
		records   int
		missing   uint64
		unreached int
	}{
		{"disjoint records", []string{startFakeControl(t, 1, 2), startFakeControl(t, 3)}, 3, 0, 0},
		{"batch stored twice because its acknowledgement was lost", []string{startFakeControl(t, 1, 2, 3), startFakeControl(t, 2, 3, 4)}, 4, 0, 0},
		{"records that no instance holds", []string{startFakeControl(t, 1, 2), startFakeControl(t, 6)}, 3, 3, 0},
		{"one instance does not answer", []string{startFakeControl(t, 1, 2), unreachable}, 2, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			merged, err := collectReport(c.addresses, &wire.ReportRequest{})
			if err != nil || merged.RecordCount != c.records || merged.MissingCount != c.missing || len(merged.Unreached) != c.unreached {
				t.Errorf("got report %+v, error %v", merged, err)
			}
			if len(merged.Groups) != 1 || merged.Groups[0].Count != int64(c.records) {
				t.Errorf("groups %+v, want one with count %d", merged.Groups, c.records)
			}
		})
	}
	status, stdout, stderr := runCommand("report", "-control", strings.Join([]string{unreachable, unreachable}, ","))
	if status != ExitFailure || stdout != "" || !strings.Contains(stderr, "no control instance answered") {
		t.Errorf("all instances unreachable: exit status %d, stdout %q, stderr %q", status, stdout, stderr)
	}
}
