package responder

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

func newStandin(t *testing.T) *Responder {
	t.Helper()
	r, err := New(&checker.StandinSettings{
		Upstream: "s1",
		Zone:     "z1",
		Listen:   "127.0.0.1:0",
		Entries:  []string{"127.0.0.1:1"},
		Service:  "tenants",
		Version:  1,
		Manifest: []checker.Shard{{
			Shard:  "a",
			Weight: 1,
		}},
		Shards:       []string{"a"},
		Slots:        1,
		RowsPerShard: 4,
	}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Shutdown(t.Context()) })
	return r
}

func postSwitches(t *testing.T, r *Responder, switches string) (int, string) {
	t.Helper()
	response, err := http.Post("http://"+r.Address()+"/switches", "application/json", bytes.NewBufferString(switches))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func search(t *testing.T, client *http.Client, r *Responder, version uint64) (*wire.SearchResponse, error) {
	t.Helper()
	response, err := wireconnect.NewUpstreamServiceClient(client, "http://"+r.Address()).Search(t.Context(), connect.NewRequest(&wire.SearchRequest{
		Attempt: 7,
		Service: "tenants",
		Shard:   "a",
		Version: version,
		Limit:   4,
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func TestSwitches(t *testing.T) {
	cases := []struct {
		name       string
		switches   string
		version    uint64
		isExpected func(reply *wire.SearchResponse, err error) bool
	}{
		{"initial version", `{}`, 1, func(m *wire.SearchResponse, err error) bool { return err == nil && len(m.GetRows()) == 4 }},
		{"version replaced", `{"versions": [{"version": 2, "manifest": [{"shard": "a", "weight": 3}], "shards": ["a"]}]}`, 2, func(m *wire.SearchResponse, err error) bool { return err == nil && m.GetVersion() == 2 }},
		{"old version no longer held", `{}`, 1, func(_ *wire.SearchResponse, err error) bool { return connect.CodeOf(err) == connect.CodeUnavailable }},
		{"shedding", `{"shed-share": 1}`, 2, func(_ *wire.SearchResponse, err error) bool { return connect.CodeOf(err) == connect.CodeUnavailable }},
		{"wrong version", `{"shed-share": 0, "wrong-version-share": 1}`, 2, func(m *wire.SearchResponse, err error) bool { return err == nil && m.GetVersion() == 3 }},
		{"rows dropped", `{"wrong-version-share": 0, "drop-rows-share": 1}`, 2, func(m *wire.SearchResponse, err error) bool {
			return err == nil && len(m.GetRows()) == 2 && m.GetRowCount() == 4
		}},
		{"rows repeated", `{"drop-rows-share": 0, "repeat-rows-share": 1}`, 2, func(m *wire.SearchResponse, err error) bool { return err == nil && len(m.GetRows()) == 8 }},
		{"fixed load report", `{"repeat-rows-share": 0, "report-fixed": true, "report-queued": 9}`, 2, func(m *wire.SearchResponse, err error) bool { return err == nil && m.GetQueued() == 9 }},
		{"truncated reply", `{"cut-reply-share": 1}`, 2, func(_ *wire.SearchResponse, err error) bool { return err != nil }},
		{"aborted before start", `{"cut-reply-share": 0, "abort-before-start-share": 1}`, 2, func(_ *wire.SearchResponse, err error) bool { return err != nil }},
		{"failed after start", `{"abort-before-start-share": 0, "fail-after-start-share": 1}`, 2, func(_ *wire.SearchResponse, err error) bool { return connect.CodeOf(err) == connect.CodeInternal }},
		{"leaving mark", `{"fail-after-start-share": 0, "leaving-marked": true}`, 2, func(m *wire.SearchResponse, err error) bool { return err == nil && m.GetLeaving() }},
	}
	r := newStandin(t)
	client := listener.NewClient()
	for _, c := range cases {
		if status, body := postSwitches(t, r, c.switches); status != http.StatusOK {
			t.Fatalf("%s: status %d: %s", c.name, status, body)
		}
		reply, err := search(t, client, r, c.version)
		if !c.isExpected(reply, err) {
			t.Errorf("%s: unexpected reply %v, error %v", c.name, reply, err)
		}
	}
	record := r.Record()
	if record.SearchesRefused != 2 || record.SearchesStarted == 0 || len(record.SearchCounts) == 0 {
		t.Errorf("unexpected record: %+v", record)
	}
}

func TestSwitchesRejectInvalidValues(t *testing.T) {
	r := newStandin(t)
	before, _ := json.Marshal(r.simulator.switches())
	for _, c := range []struct {
		switches string
		want     string
	}{
		{`{"shed-share": 2}`, "shed-share: 2 is not allowed; allowed: from 0 to 1"},
		{`{"shed": 1}`, `shed: 1 is not allowed; allowed: one of versions, work-ms`},
		{`{"work-ms": "ten"}`, `work-ms: "ten" is not allowed; allowed: a number`},
		{`{"versions": [{"version": 0}]}`, "versions[0].version: 0 is not allowed; allowed: above 0"},
	} {
		status, body := postSwitches(t, r, c.switches)
		if status != http.StatusBadRequest || !strings.Contains(body, c.want) {
			t.Errorf("%s: status %d: %s", c.switches, status, body)
		}
	}
	if after, _ := json.Marshal(r.simulator.switches()); !bytes.Equal(before, after) {
		t.Errorf("rejected input changed the switches: %s", after)
	}
}

func TestConnectionLimit(t *testing.T) {
	r := newStandin(t)
	postSwitches(t, r, `{"connection-limit": 1, "connection-opening-ms": 20}`)
	started := time.Now()
	if _, err := search(t, listener.NewClient(), r, 1); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(started); elapsed < 20*time.Millisecond {
		t.Errorf("a connection opened after %s, want at least 20 ms", elapsed)
	}
	if _, err := search(t, listener.NewClient(), r, 1); err == nil {
		t.Error("a second connection was admitted above the limit of 1")
	}
	if record := r.Record(); record.PeakConnections != 1 || record.ConnectionsRefused == 0 {
		t.Errorf("unexpected record: %+v", record)
	}
}

func TestWorkTime(t *testing.T) {
	now := time.UnixMilli(10_100)
	cases := []struct {
		name     string
		switches checker.Switches
		want     time.Duration
	}{
		{"normal", checker.Switches{WorkMs: 5}, 5 * time.Millisecond},
		{"straggling", checker.Switches{WorkMs: 5, StragglerFactor: 10, StragglerPeriodMs: 1000, StragglerDurationMs: 300}, 50 * time.Millisecond},
		{"not straggling", checker.Switches{WorkMs: 5, StragglerFactor: 10, StragglerPeriodMs: 1000, StragglerDurationMs: 300, StragglerOffsetMs: 500}, 5 * time.Millisecond},
		{"cold", checker.Switches{WorkMs: 5, ColdStartFactor: 3, ColdStartMs: 1000}, 10 * time.Millisecond},
	}
	for _, c := range cases {
		sim := newSimulator(&checker.StandinSettings{Switches: &c.switches})
		sim.coldStartedAt = now.Add(-500 * time.Millisecond)
		if got := sim.drawWorkTime(now); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
