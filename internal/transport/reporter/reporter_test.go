package reporter

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// TestTruncatedMetricsHoldGauges checks that the first 4 KiB of a response hold the values of an instance's gauges, whatever their names, though its other metrics and those of the runtime are far longer.
func TestTruncatedMetricsHoldGauges(t *testing.T) {
	const (
		gauges   = 25
		services = 50
		fetched  = 4 << 10
	)
	r := New()
	for i := range gauges {
		r.Scope.Gauge(fmt.Sprintf("gauge_of_usual_length_%d", i)).Update(4)
	}
	for i := range services {
		tagged := r.Scope.Tagged(map[string]string{
			"service": fmt.Sprint(i),
		})
		tagged.Counter("attempts").Inc(1)
		tagged.Histogram("latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)).RecordDuration(time.Second)
	}
	r.Close()
	recorder := httptest.NewRecorder()
	r.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	body := recorder.Body.String()
	for i := range gauges {
		if !strings.Contains(body[:fetched], fmt.Sprintf("pimentogate_gauge_of_usual_length_%d 4", i)) {
			t.Errorf("gauge %d is not among the first %d bytes", i, fetched)
		}
	}
	for _, name := range []string{"pimentogate_attempts", "pimentogate_latency_bucket", "go_goroutines", "process_cpu_seconds_total"} {
		if !strings.Contains(body, "\n"+name) {
			t.Errorf("%s is missing", name)
		}
	}
}
