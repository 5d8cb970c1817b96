package reporter

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
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
			newHandler(shortFirst(registry)),
			newHandler(runtimeRegistry),
		},
		closer: closer,
	}
}

// Close stops the reporting.
func (r *Reporter) Close() { _ = r.closer.Close() }

// newHandler returns a handler that does not compress, so that its output can follow that of another.
func newHandler(gatherer prometheus.Gatherer) http.Handler {
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{
		DisableCompression: true,
	})
}

// shortFirst returns the metrics of the scope in the order of their lengths, without help texts, which only repeat their names.
func shortFirst(registry *prometheus.Registry) prometheus.Gatherer {
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		families, err := registry.Gather()
		for _, family := range families {
			family.Help = nil
		}
		slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return lineCount(a) - lineCount(b) })
		return families, err
	})
}

// lineCount returns how many lines of text the values of a metric take.
func lineCount(family *dto.MetricFamily) int {
	count := 0
	for _, metric := range family.GetMetric() {
		count += 1 + len(metric.GetHistogram().GetBucket()) + len(metric.GetSummary().GetQuantile())
	}
	return count
}

// Handler returns the handler that serves the metrics in the Prometheus text format. Those of the scope come before those of the runtime, and short ones before long ones, since a monitoring system may truncate the response.
func (r *Reporter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		for _, handler := range r.handlers {
			handler.ServeHTTP(w, request)
		}
	})
}
