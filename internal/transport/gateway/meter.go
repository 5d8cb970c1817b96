package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/protocol/parser"
)

const reportPeriod = time.Second

// meter is the entry instance's metrics.
type meter struct {
	scope    tally.Scope
	reporter tallyprometheus.Reporter
	closer   io.Closer
}

func newMeter() *meter {
	// A registry of its own lets several entry instances run in one process.
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pimentogate",
		CachedReporter: reporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, reportPeriod)
	return &meter{
		scope:    scope,
		reporter: reporter,
		closer:   closer,
	}
}

func (m *meter) close() { _ = m.closer.Close() }

func (m *meter) handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *meter) attempt(kind gatherer.AttemptKind) {
	m.scope.Tagged(map[string]string{
		"kind": string(kind),
	}).Counter("sub_requests").Inc(1)
}

func (m *meter) answer(answer gatherer.Answer) {
	tagged := m.scope.Tagged(map[string]string{
		"outcome": parser.OutcomeName(answer.Outcome),
		"reason":  string(answer.Reason),
	})
	tagged.Counter("queries").Inc(1)
	tagged.Timer("query_latency").Record(answer.Finished.Sub(answer.Query.Arrived))
}
