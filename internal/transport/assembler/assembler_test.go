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

const startLimit = 20 * time.Second

func startFor(tb testing.TB, shards int) *Assembly {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), startLimit)
	defer cancel()
	a, err := Start(ctx, Plan{
		Controls: 1,
		Entries:  1,
		Services: []Service{{
			Name:        "tenants",
			Shards:      shards,
			Replicas:    2,
			Slots:       64,
			Connections: 25,
			Rows:        20,
			TimeoutMs:   5000,
		}},
		Log: logr.Discard(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	if err := a.WaitWhole(ctx); err != nil {
		a.Close()
		tb.Fatal(err)
	}
	return a
}

func TestCloseLeavesNothing(t *testing.T) {
	before := goleak.IgnoreCurrent()
	a := startFor(t, 2)
	a.Close()
	http.DefaultClient.CloseIdleConnections()
	goleak.VerifyNone(t, before,
		goleak.IgnoreAnyFunction("github.com/uber-go/tally/v4.(*scope).reportLoopRun"),
		goleak.IgnoreAnyFunction("github.com/uber-go/tally/v4.newRootScope.func1"),
		// Clients' idle connections end when their servers' goodbye is read.
		goleak.IgnoreAnyFunction("net/http.(*http2ClientConn).readLoop"))
}

// BenchmarkQuery gives the processor time of a whole query in all its processes: caller, entry instance and stand-ins.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			a := startFor(b, shards)
			defer a.Close()
			before := cpu(b)
			for i := 0; b.Loop(); i++ {
				answer, err := Ask(b.Context(), http.DefaultClient, a.Callers()[0], "tenants", "query", fmt.Sprintf(`{"query":"q%d","timeout-ms":5000}`, i))
				if err != nil || !answer.CoverageMet {
					b.Fatal(answer, err)
				}
			}
			spent := cpu(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/query")
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/float64(shards), "cpu-µs/sub-request")
		})
	}
}

func cpu(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
