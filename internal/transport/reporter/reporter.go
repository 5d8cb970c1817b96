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

// reportPeriod is how often counts are handed to the page that shows them.
const reportPeriod = time.Second

// Reporter is the metrics of one instance.
type Reporter struct {
	// Scope is where an instance's parts count.
	Scope tally.Scope

	page   http.Handler
	closer io.Closer
}

// New returns metrics of the process and the Go runtime, with nothing else counted yet.
func New() *Reporter {
	// A registry of its own lets several instances run in one process.
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	page := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pimentogate",
		CachedReporter: page,
		Separator:      tallyprometheus.DefaultSeparator,
	}, reportPeriod)
	return &Reporter{
		Scope:  scope,
		page:   page.HTTPHandler(),
		closer: closer,
	}
}

// Close ends the reporting.
func (r *Reporter) Close() { _ = r.closer.Close() }

// Handler serves the metrics as text.
func (r *Reporter) Handler() http.Handler { return r.page }
