package forwarder

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/transport/reporter"
)

// meter is the metrics of an entry instance that forwards.
type meter struct {
	reporter    *reporter.Reporter
	connections tally.Counter
	handler     http.Handler
}

func newMeter() *meter {
	r := reporter.New()
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.Handler())
	return &meter{
		reporter:    r,
		connections: r.Scope.Counter("connections_opened"),
		handler:     mux,
	}
}

func (m *meter) connectionOpened() { m.connections.Inc(1) }
