package reporter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often the scope passes its metrics to the Prometheus registry.
const reportPeriod = time.Second

// Reporter holds the metrics of one instance.
type Reporter struct {
	// Scope is the root scope, on which the components of the instance register their metrics.
	Scope tally.Scope

	handler http.Handler
	closer  io.Closer
}

// New returns a reporter with the metrics of the process and the Go runtime.
func New() *Reporter {
	// A separate registry allows several instances in one process.
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	metricsReporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pimentogate",
		CachedReporter: metricsReporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, reportPeriod)
	return &Reporter{
		Scope:   scope,
		handler: metricsReporter.HTTPHandler(),
		closer:  closer,
	}
}

// Close stops the reporting.
func (r *Reporter) Close() { _ = r.closer.Close() }

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (r *Reporter) Handler() http.Handler { return r.handler }
