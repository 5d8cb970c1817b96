package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/reporter"
)

// latencyBuckets reach from a quick part to the longest timeout.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.6, 20)

type requestKey struct {
	route   string
	outcome scatterer.DecisionKind
	reason  scatterer.Reason
}

type requestMeter struct {
	count   tally.Counter
	latency tally.Histogram
}

type attemptKey struct {
	service string
	kind    scatterer.AttemptKind
	outcome scatterer.OutcomeKind
}

// meter is the metrics of an entry instance that forwards.
type meter struct {
	reporter *reporter.Reporter
	handler  http.Handler
	// Those that are looked up by labels are kept, since a look-up costs more than the count.
	mutex    sync.Mutex
	requests map[requestKey]*requestMeter
	attempts map[attemptKey]tally.Counter

	connections tally.Counter
	linesLost   tally.Counter
	recordsLost tally.Counter
	logDropped  tally.Gauge
	denied      tally.Counter
	inFlight    tally.Gauge
	open        tally.Gauge
	budget      tally.Gauge
	shed        tally.Gauge
	version     tally.Gauge
	versionAge  tally.Gauge
	table       tally.Gauge
	tableAge    tally.Gauge
	replicas    tally.Gauge
	control     tally.Gauge
	sharers     tally.Gauge
	carried     tally.Gauge
	pending     tally.Gauge
	full        tally.Gauge
}

func newMeter() *meter {
	r := reporter.New()
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.Handler())
	s := r.Scope
	return &meter{
		reporter:    r,
		handler:     mux,
		requests:    map[requestKey]*requestMeter{},
		attempts:    map[attemptKey]tally.Counter{},
		connections: s.Counter("connections_opened"),
		linesLost:   s.Counter("request_lines_lost"),
		recordsLost: s.Counter("outcome_records_lost"),
		logDropped:  s.Gauge("log_lines_dropped"),
		denied:      s.Counter("requests_without_route"),
		inFlight:    s.Gauge("requests_in_flight"),
		open:        s.Gauge("connections_open"),
		budget:      s.Gauge("repeat_budget_left_least"),
		shed:        s.Gauge("shed_share_least"),
		version:     s.Gauge("configuration_version"),
		versionAge:  s.Gauge("configuration_age_seconds"),
		table:       s.Gauge("replica_table_index"),
		tableAge:    s.Gauge("replica_table_heard_seconds"),
		replicas:    s.Gauge("replicas_known"),
		control:     s.Gauge("control_instances_reached"),
		sharers:     s.Gauge("entry_instances_sharing"),
		carried:     s.Gauge("peer_calls_carried"),
		pending:     s.Gauge("attempts_in_flight"),
		full:        s.Gauge("replicas_with_full_slots"),
	}
}

func (m *meter) connectionOpened() { m.connections.Inc(1) }

func (m *meter) request(route string, d *scatterer.Decision, took time.Duration) {
	key := requestKey{
		route:   route,
		outcome: d.Kind,
		reason:  d.Reason,
	}
	m.mutex.Lock()
	known, ok := m.requests[key]
	if !ok {
		tagged := m.reporter.Scope.Tagged(map[string]string{
			"route":   route,
			"outcome": d.Kind.String(),
			"reason":  string(d.Reason),
		})
		known = &requestMeter{
			count:   tagged.Counter("requests"),
			latency: tagged.Histogram("request_latency", latencyBuckets),
		}
		m.requests[key] = known
	}
	m.mutex.Unlock()
	known.count.Inc(1)
	known.latency.RecordDuration(took)
}

func (m *meter) attempt(a *scatterer.Attempt, outcome scatterer.OutcomeKind) {
	key := attemptKey{
		service: a.Service,
		kind:    a.Kind,
		outcome: outcome,
	}
	m.mutex.Lock()
	known, ok := m.attempts[key]
	if !ok {
		known = m.reporter.Scope.Tagged(map[string]string{
			"service": a.Service,
			"kind":    string(a.Kind),
			"outcome": outcome.String(),
		}).Counter("attempts")
		m.attempts[key] = known
	}
	m.mutex.Unlock()
	known.Inc(1)
}
