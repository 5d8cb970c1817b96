package gateway

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/transport/reporter"
)

// meter records the metrics of the entry instance.
type meter struct {
	scope    tally.Scope
	reporter *reporter.Reporter
}

func newMeter() *meter {
	r := reporter.New()
	return &meter{
		scope:    r.Scope,
		reporter: r,
	}
}

func (m *meter) close() { m.reporter.Close() }

func (m *meter) handler() http.Handler { return m.reporter.Handler() }

func (m *meter) countAttempt(kind gatherer.AttemptKind) {
	m.scope.Tagged(map[string]string{
		"kind": string(kind),
	}).Counter("sub_requests").Inc(1)
}

func (m *meter) recordAnswer(answer gatherer.Answer) {
	scope := m.scope.Tagged(map[string]string{
		"outcome": parser.OutcomeName(answer.Outcome),
		"reason":  string(answer.Reason),
	})
	scope.Counter("queries").Inc(1)
	scope.Timer("query_latency").Record(answer.FinishedAt.Sub(answer.Query.ArrivedAt))
}
