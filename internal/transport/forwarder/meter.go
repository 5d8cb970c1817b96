package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/reporter"
)

// latencyBuckets range from the latency of a fast shard to the longest timeout.
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

// meter holds the metrics of a forwarding entry instance.
type meter struct {
	reporter *reporter.Reporter
	handler  http.Handler
	// Metrics with labels are cached, because looking one up costs more than updating it. mutex guards the maps.
	mutex    sync.Mutex
	requests map[requestKey]*requestMeter
	attempts map[attemptKey]tally.Counter

	diversions map[scatterer.DecisionKind]tally.Counter
	// states counts the first states by their source, and stateRefusals the refusals before; statesSent counts those sent to peers.
	states               map[stateSource]tally.Counter
	stateRefusals        tally.Counter
	statesSent           tally.Counter
	connectionsOpened    tally.Counter
	requestLinesLost     tally.Counter
	recordsLost          tally.Counter
	logLinesDropped      tally.Gauge
	requestsWithoutRoute tally.Counter
	requestsUnauthorized tally.Counter
	requestsInFlight     tally.Gauge
	clientRequestBytes   tally.Gauge
	openConnections      tally.Gauge
	minRetryBudget       tally.Gauge
	minAdmittedShare     tally.Gauge
	shareLevel           tally.Gauge
	configVersion        tally.Gauge
	configAge            tally.Gauge
	tableIndex           tally.Gauge
	tableAge             tally.Gauge
	replicas             tally.Gauge
	controlReached       tally.Gauge
	confirmedAge         tally.Gauge
	entryInstances       tally.Gauge
	incomingRelays       tally.Gauge
	attemptsInFlight     tally.Gauge
	saturatedReplicas    tally.Gauge
	limitedReplicas      tally.Gauge
	quarantinedRequests  tally.Gauge
	failedShare          tally.Gauge
	deviatingReplicas    tally.Gauge
	drainedZones         tally.Gauge
	coldReplicas         tally.Gauge
}

func newMeter() *meter {
	r := reporter.New()
	mux := http.NewServeMux()
	mux.Handle("/metrics", r.Handler())
	s := r.Scope
	return &meter{
		reporter:             r,
		handler:              mux,
		requests:             map[requestKey]*requestMeter{},
		attempts:             map[attemptKey]tally.Counter{},
		diversions:           map[scatterer.DecisionKind]tally.Counter{},
		states:               stateCounters(s),
		stateRefusals:        s.Counter("state_refusals"),
		statesSent:           s.Counter("peer_states_sent"),
		connectionsOpened:    s.Counter("connections_opened"),
		requestLinesLost:     s.Counter("request_lines_lost"),
		recordsLost:          s.Counter("outcome_records_lost"),
		logLinesDropped:      s.Gauge("log_lines_dropped"),
		requestsWithoutRoute: s.Counter("requests_without_route"),
		requestsUnauthorized: s.Counter("requests_unauthorized"),
		requestsInFlight:     s.Gauge("requests_in_flight"),
		clientRequestBytes:   s.Gauge("client_request_bytes"),
		openConnections:      s.Gauge("connections_open"),
		minRetryBudget:       s.Gauge("repeat_budget_left_least"),
		minAdmittedShare:     s.Gauge("shed_share_least"),
		shareLevel:           s.Gauge("fair_share_level"),
		configVersion:        s.Gauge("configuration_version"),
		configAge:            s.Gauge("configuration_age_seconds"),
		tableIndex:           s.Gauge("replica_table_index"),
		tableAge:             s.Gauge("replica_table_heard_seconds"),
		replicas:             s.Gauge("replicas_known"),
		controlReached:       s.Gauge("control_instances_reached"),
		confirmedAge:         s.Gauge("control_confirmed_seconds"),
		entryInstances:       s.Gauge("entry_instances_sharing"),
		incomingRelays:       s.Gauge("peer_calls_carried"),
		attemptsInFlight:     s.Gauge("attempts_in_flight"),
		saturatedReplicas:    s.Gauge("replicas_with_full_slots"),
		limitedReplicas:      s.Gauge("replicas_limited"),
		quarantinedRequests:  s.Gauge("requests_quarantined"),
		failedShare:          s.Gauge("attempts_failed_share"),
		deviatingReplicas:    s.Gauge("replicas_deviating"),
		drainedZones:         s.Gauge("zones_drained"),
		coldReplicas:         s.Gauge("replicas_cold"),
	}
}

// stateCounters returns the counters of received states by source.
func stateCounters(scope tally.Scope) map[stateSource]tally.Counter {
	counters := map[stateSource]tally.Counter{}
	for _, source := range []stateSource{stateFromControl, stateFromPeer} {
		counters[source] = scope.Tagged(map[string]string{
			"source": string(source),
		}).Counter("states_received")
	}
	return counters
}

func (m *meter) recordState(source stateSource) { m.states[source].Inc(1) }

func (m *meter) recordConnection() { m.connectionsOpened.Inc(1) }

func (m *meter) recordRequest(route string, d *scatterer.Decision, latency time.Duration) {
	key := requestKey{
		route:   route,
		outcome: d.Kind,
		reason:  d.Reason,
	}
	m.mutex.Lock()
	metrics, ok := m.requests[key]
	if !ok {
		scope := m.reporter.Scope.Tagged(map[string]string{
			"route":   route,
			"outcome": d.Kind.String(),
			"reason":  string(d.Reason),
		})
		metrics = &requestMeter{
			count:   scope.Counter("requests"),
			latency: scope.Histogram("request_latency", latencyBuckets),
		}
		m.requests[key] = metrics
	}
	m.mutex.Unlock()
	metrics.count.Inc(1)
	metrics.latency.RecordDuration(latency)
}

// recordDiversion counts a request that a peer was asked to answer.
func (m *meter) recordDiversion(outcome scatterer.DecisionKind) {
	m.mutex.Lock()
	counter, ok := m.diversions[outcome]
	if !ok {
		counter = m.reporter.Scope.Tagged(map[string]string{
			"outcome": outcome.String(),
		}).Counter("requests_diverted")
		m.diversions[outcome] = counter
	}
	m.mutex.Unlock()
	counter.Inc(1)
}

func (m *meter) recordAttempt(a *scatterer.Attempt, outcome scatterer.OutcomeKind) {
	key := attemptKey{
		service: a.Service,
		kind:    a.Kind,
		outcome: outcome,
	}
	m.mutex.Lock()
	counter, ok := m.attempts[key]
	if !ok {
		counter = m.reporter.Scope.Tagged(map[string]string{
			"service": a.Service,
			"kind":    string(a.Kind),
			"outcome": outcome.String(),
		}).Counter("attempts")
		m.attempts[key] = counter
	}
	m.mutex.Unlock()
	counter.Inc(1)
}
