package integration

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/transport/responder"
	"pimentogate.example/pimentogate/pkg/wire"
)

// expectedRows computes the rows of a full answer directly from the stand-in upstreams' data.
func expectedRows(shards []string, version uint64, query string) []parser.Row {
	var parts [][]*wire.Row
	for _, shard := range shards {
		parts = append(parts, responder.GenerateRows(service, shard, version, query, 10, rowsPerShard))
	}
	return parser.ConvertRows(merger.Merge(parts, 10))
}

func TestWholePath(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   8,
		replicas: 2,
		workMs:   1,
	})
	for _, e := range f.entries {
		answer, status := e.query("bakery", 1000)
		if status != http.StatusOK || answer.Outcome != "answered" || answer.Coverage != 1 || answer.IndexVersion != 1 {
			t.Fatalf("%s: status %d, answer %+v", e.name, status, answer)
		}
		if !slices.Equal(answer.Rows, expectedRows(shardNames(8), 1, "bakery")) {
			t.Errorf("%s: rows differ from the stand-in upstreams' data: %+v", e.name, answer.Rows)
		}
	}
	t.Run("run once", func(t *testing.T) { checkRunOnce(t, f) })
	t.Run("latency", func(t *testing.T) { logLatency(t, f) })
}

func checkRunOnce(t *testing.T, f *fleet) {
	keyTime := time.Now()
	for i, e := range f.entries {
		answer, status := e.run("restore-1", keyTime)
		if status != http.StatusOK || answer.Outcome != "answered" || answer.Repeated != (i > 0) {
			t.Errorf("%s: status %d, answer %+v", e.name, status, answer)
		}
	}
	if runs := f.countStarts("restore-1"); runs != 1 {
		t.Errorf("the key was started %d times, want 1", runs)
	}
}

func logLatency(t *testing.T, f *fleet) {
	histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range 1000 {
		started := time.Now()
		answer, status := f.entries[i%len(f.entries)].query(fmt.Sprintf("q%d", i), 1000)
		if status != http.StatusOK || answer.Coverage != 1 {
			t.Fatalf("query %d: status %d, answer %+v", i, status, answer)
		}
		must(t, histogram.RecordValue(time.Since(started).Microseconds()))
	}
	t.Logf("1,000 sequential queries over 8 shards with 1 ms of work: p50 %d µs, p99 %d µs",
		histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99))
}
