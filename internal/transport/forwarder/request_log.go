package forwarder

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// logSampleInterval is the sampling rate of the log: one in logSampleInterval complete requests is logged. Sampling hashes the request ID, so that all instances log the same requests.
	logSampleInterval = 64
	// requestLogCapacity is how many requests may wait to be logged.
	requestLogCapacity = 512
)

// attemptEntry is the log entry of one attempt.
type attemptEntry struct {
	attempt *scatterer.Attempt
	// expectedLatency and inFlight are the replica's latency and attempts in flight when the attempt was sent.
	expectedLatency time.Duration
	inFlight        int
	outcome         string
	cause           string
	duration        time.Duration
}

// maxLoggedID limits the part of a request's ID that is logged and recorded, in bytes.
const maxLoggedID = 128

// loggedID returns the start of a request's ID. It is a copy, so that the entry does not keep the rest of the header.
func loggedID(id string) string { return strings.Clone(id[:min(len(id), maxLoggedID)]) }

// requestEntry is the log entry of one request. It keeps neither the header nor the body, since many may wait to be logged.
type requestEntry struct {
	// id is the start of the request's ID.
	id       string
	request  scatterer.Request
	decision scatterer.Decision
	// parts is the number of replies in the answer.
	parts            int
	configVersion    uint64
	tableIndex       uint64
	minAdmittedShare float64
	minRetryBudget   float64
	latency          time.Duration
	attempts         []attemptEntry
	// divertedTo is the peer that was asked last, empty if none was.
	divertedTo string
}

// newRequestEntry returns the entry of a request, without what a caller or a replica may have made large.
func newRequestEntry(call *exchanger.Call, request scatterer.Request, d *scatterer.Decision) requestEntry {
	entry := requestEntry{
		id:       loggedID(call.ID),
		request:  request,
		decision: *d,
		parts:    len(d.Replies),
	}
	entry.request.ID = ""
	entry.decision.Replies = nil
	return entry
}

// requestLogger logs requests in the background, so that logging does not delay answers. It drops and counts entries that do not fit into its queue.
type requestLogger struct {
	log   logr.Logger
	meter *meter
	queue chan requestEntry
	stop  chan struct{}
	done  chan struct{}
}

func newRequestLogger(log logr.Logger, meter *meter) *requestLogger {
	l := &requestLogger{
		log:   log,
		meter: meter,
		queue: make(chan requestEntry, requestLogCapacity),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go l.run()
	return l
}

// shouldLog reports whether a request is logged. Requests without a complete answer are always logged, others are sampled, and so are those over their organisation's allotment, of which an organisation may send any number.
func shouldLog(call *exchanger.Call, d *scatterer.Decision) bool {
	return d.Reason != scatterer.ReasonNone && d.Reason != scatterer.ReasonOverAllotment || xxhash.Sum64String(call.ID)%logSampleInterval == 0
}

func (l *requestLogger) add(entry requestEntry) {
	select {
	case l.queue <- entry:
	default:
		l.meter.requestLinesLost.Inc(1)
	}
}

func (l *requestLogger) run() {
	defer close(l.done)
	for {
		select {
		case entry := <-l.queue:
			l.write(&entry)
		case <-l.stop:
			return
		}
	}
}

func (l *requestLogger) close() {
	close(l.stop)
	<-l.done
}

func (l *requestLogger) write(entry *requestEntry) {
	isComplete := entry.decision.Reason == scatterer.ReasonNone
	log := l.log
	if isComplete {
		log = log.V(1)
	}
	d := entry.decision
	if entry.divertedTo != "" {
		log.Info("request diverted", "request", entry.id, "fingerprint", formatFingerprint(entry.request.Fingerprint), "route", entry.request.Route.Name, "peer", entry.divertedTo,
			"outcome", d.Kind.String(), "reason", d.Reason, "missing", d.MissingShards, "took-ms", milliseconds(entry.latency), "version", entry.configVersion)
		return
	}
	log.Info("request", "request", entry.id, "fingerprint", formatFingerprint(entry.request.Fingerprint), "route", entry.request.Route.Name, "outcome", d.Kind.String(), "reason", d.Reason,
		"parts", entry.parts, "missing", d.MissingShards, "took-ms", milliseconds(entry.latency), "target-ms", entry.request.Route.TargetLatency.Milliseconds(),
		"waits-ms", entry.callerTimeoutMs(), "retry-after-ms", d.RetryAfter.Milliseconds(), "attempts", len(entry.attempts),
		"version", entry.configVersion, "table", entry.tableIndex, "least-shed-share", entry.minAdmittedShare, "least-budget-left", entry.minRetryBudget)
	for i := range entry.attempts {
		a := &entry.attempts[i]
		// For an incomplete answer from shards only the failed attempts are logged; the others don't explain the failure.
		if isComplete || !entry.request.Route.IsSharded() || a.outcome != scatterer.OutcomeReplied.String() {
			l.writeAttempt(log, entry, a)
		}
	}
}

// callerTimeoutMs returns how long the caller waits for the answer, or 0 if the request has no deadline.
func (e *requestEntry) callerTimeoutMs() int64 {
	if e.request.Deadline.IsZero() {
		return 0
	}
	return e.request.Deadline.Sub(e.request.ArrivedAt).Milliseconds()
}

func (l *requestLogger) writeAttempt(log logr.Logger, entry *requestEntry, a *attemptEntry) {
	log.Info("attempt", "request", entry.id, "service", a.attempt.Service, "replica", a.attempt.Replica.ID, "address", a.attempt.Replica.Address,
		"kind", a.attempt.Kind, "at-ms", milliseconds(a.attempt.StartedAt.Sub(entry.request.ArrivedAt)), "expected-ms", milliseconds(a.expectedLatency),
		"in-flight", a.inFlight, "outcome", a.outcome, "cause", a.cause, "took-ms", milliseconds(a.duration))
}

// formatFingerprint returns the fingerprint of a request as it appears in the log.
func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// milliseconds returns the duration in milliseconds, rounded to a tenth.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Millisecond/10)) / float64(time.Millisecond)
}
