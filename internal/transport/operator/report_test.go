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

// holder is a control instance that holds some records of one life of an entry instance.
type holder struct {
	wireconnect.UnimplementedControlServiceHandler

	sequences []uint64
}

// Report returns the records.
func (h *holder) Report(context.Context, *connect.Request[wire.ReportRequest]) (*connect.Response[wire.ReportResponse], error) {
	response := &wire.ReportResponse{}
	for _, sequence := range h.sequences {
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

func serveHolder(t *testing.T, sequences ...uint64) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewControlServiceHandler(&holder{
		sequences: sequences,
	}))
	server, err := listener.New("127.0.0.1:0", mux)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Address()
}

func TestReportJoinsControlInstances(t *testing.T) {
	const nobody = "127.0.0.1:1"
	cases := []struct {
		name      string
		addresses []string
		records   int
		missing   uint64
		unreached int
	}{
		{"each holds a part", []string{serveHolder(t, 1, 2), serveHolder(t, 3)}, 3, 0, 0},
		{"both hold a batch whose answer was lost", []string{serveHolder(t, 1, 2, 3), serveHolder(t, 2, 3, 4)}, 4, 0, 0},
		{"records that neither holds", []string{serveHolder(t, 1, 2), serveHolder(t, 6)}, 3, 3, 0},
		{"one does not answer", []string{serveHolder(t, 1, 2), nobody}, 2, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found, err := gatherReport(c.addresses, &wire.ReportRequest{})
			if err != nil || found.Records != c.records || found.Missing != c.missing || len(found.Unreached) != c.unreached {
				t.Errorf("%+v, %v", found, err)
			}
			if len(found.Lines) != 1 || found.Lines[0].Count != int64(c.records) {
				t.Errorf("lines %+v, want one of %d", found.Lines, c.records)
			}
		})
	}
	status, out, errOut := call("report", "-control", strings.Join([]string{nobody, nobody}, ","))
	if status != ExitFailure || out != "" || !strings.Contains(errOut, "no control instance answered") {
		t.Errorf("status %d, %q, %q", status, out, errOut)
	}
}
