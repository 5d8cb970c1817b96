package assembler

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"
)

const startTimeout = 20 * time.Second

func startCluster(tb testing.TB, shards int) *Cluster {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), startTimeout)
	defer cancel()
	cluster, err := Start(ctx, Config{
		Controls: 1,
		Entries:  1,
		Services: []Service{{
			Name:         "tenants",
			Shards:       shards,
			Replicas:     2,
			Slots:        64,
			Connections:  25,
			RowsPerShard: 20,
			TimeoutMs:    5000,
		}},
		Log: logr.Discard(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	if err := cluster.WaitReady(ctx); err != nil {
		cluster.Close()
		tb.Fatal(err)
	}
	return cluster
}

func TestCloseLeavesNoGoroutines(t *testing.T) {
	before := goleak.IgnoreCurrent()
	cluster := startCluster(t, 2)
	cluster.Close()
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before,
		goleak.IgnoreAnyFunction("github.com/uber-go/tally/v4.(*scope).reportLoopRun"),
		goleak.IgnoreAnyFunction("github.com/uber-go/tally/v4.newRootScope.func1"),
		// An idle client connection ends only when it has read the GOAWAY frame of its server.
		goleak.IgnoreAnyFunction("net/http.(*http2ClientConn).readLoop"))
}

// BenchmarkQuery reports the CPU time per query, which includes the caller, the entry instance and the stand-ins.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			cluster := startCluster(b, shards)
			defer cluster.Close()
			before := cpuTime(b)
			for i := 0; b.Loop(); i++ {
				answer, err := SendRequest(b.Context(), http.DefaultClient, cluster.CallerAddresses()[0], "tenants", "query", fmt.Sprintf(`{"query":"q%d","timeout-ms":5000}`, i))
				if err != nil || !answer.CoverageMet {
					b.Fatal(answer, err)
				}
			}
			spent := cpuTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/query")
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/float64(shards), "cpu-µs/sub-request")
		})
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
