package reporter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often the scope passes its metrics to the Prometheus registry.
const reportPeriod = time.Second

// Reporter holds the metrics of one instance.
type Reporter struct {
	// Scope is the root scope, on which the components of the instance register their metrics.
	Scope tally.Scope

	// handlers serve the metrics of the scope, then those of the process and the Go runtime.
	handlers []http.Handler
	closer   io.Closer
}

// New returns a reporter with the metrics of the process and the Go runtime.
func New() *Reporter {
	// Separate registries allow several instances in one process.
	registry := prometheus.NewRegistry()
	runtimeRegistry := prometheus.NewRegistry()
	runtimeRegistry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
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
		Scope: scope,
		handlers: []http.Handler{
			newHandler(registry),
			newHandler(runtimeRegistry),
		},
		closer: closer,
	}
}

// Close stops the reporting.
func (r *Reporter) Close() { _ = r.closer.Close() }

// newHandler returns a handler that does not compress, so that its output can follow that of another.
func newHandler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		DisableCompression: true,
	})
}

// Handler returns the handler that serves the metrics in the Prometheus text format. Those of the scope come first, since a monitoring system may truncate the response.
func (r *Reporter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		for _, handler := range r.handlers {
			handler.ServeHTTP(w, request)
		}
	})
}
