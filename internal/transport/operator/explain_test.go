package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sebdah/goldie/v2"

	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// fakeEntry explains every request alike.
type fakeEntry struct {
	wireconnect.UnimplementedRelayServiceHandler

	request *wire.ExplainRequest
}

func (e *fakeEntry) Explain(_ context.Context, request *connect.Request[wire.ExplainRequest]) (*connect.Response[wire.ExplainResponse], error) {
	e.request = request.Msg
	return connect.NewResponse(&wire.ExplainResponse{
		Route:          "search",
		Version:        7,
		Refusal:        "replicas-rejecting",
		RetryAfterUs:   2_000_000,
		ExpectedWorkUs: 11_200,
		Shards: []*wire.ExplainedShard{{
			Service:         "shard-0",
			RetryBudgetLeft: 0.25,
			Replicas: []*wire.ExplainedReplica{{
				Replica:         "i-1",
				Zone:            "a",
				ExpectedUs:      13_000,
				WorkUs:          10_000,
				WaitUs:          1_000,
				ZoneUs:          2_000,
				SlownessPercent: 89,
				InFlight:        1,
				Chosen:          true,
			}, {
				Replica:         "i-2",
				Zone:            "b",
				ExpectedUs:      101_500,
				WorkUs:          11_500,
				RejectionUs:     90_000,
				SlownessPercent: 103,
				Excluded:        "paused",
			}},
		}, {
			Service:         "shard-1",
			RetryBudgetLeft: 1,
		}},
	}), nil
}

// TestExplain compares the table and the JSON with golden files; run with -update to rewrite them.
func TestExplain(t *testing.T) {
	entry := &fakeEntry{}
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewRelayServiceHandler(entry))
	server := httptest.NewServer(mux)
	defer server.Close()
	arguments := []string{"explain", "-entry", server.Listener.Addr().String(), "-method", "POST", "-host", "a.example", "-path", "/q", "-organisation", "bakery"}
	for name, arguments := range map[string][]string{
		"explain":      arguments,
		"explain-json": append(arguments, "-json"),
	} {
		status, stdout, stderr := runCommand(arguments...)
		if status != ExitSuccess || stderr != "" {
			t.Fatalf("exit status %d: %s", status, stderr)
		}
		goldie.New(t).Assert(t, name, []byte(stdout))
	}
	if r := entry.request; r.GetMethod() != "POST" || r.GetHost() != "a.example" || r.GetPath() != "/q" || r.GetOrganisation() != "bakery" {
		t.Errorf("asked for %v", r)
	}
	if status, _, stderr := runCommand("explain", "-entry", "127.0.0.1:1"); status != ExitFailure || !strings.Contains(stderr, "refused") {
		t.Errorf("no entry instance: exit status %d: %s", status, stderr)
	}
}
