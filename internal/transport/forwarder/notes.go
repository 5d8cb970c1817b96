package forwarder

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

const (
	// sampleOf is how many requests that went well one is written of in full; it is chosen by its id, so that all instances choose alike.
	sampleOf = 64
	// noteRing is how many requests may wait to be written of.
	noteRing = 512
)

// attemptNote is what is written of one attempt.
type attemptNote struct {
	attempt *scatterer.Attempt
	// expected and inFlight are what the replica was chosen by.
	expected time.Duration
	inFlight int
	outcome  string
	cause    string
	took     time.Duration
}

// requestNote is what is written of one request.
type requestNote struct {
	call     *exchanger.Call
	request  scatterer.Request
	decision scatterer.Decision
	version  uint64
	index    uint64
	shed     float64
	budget   float64
	took     time.Duration
	attempts []attemptNote
}

// notes writes the lines of requests away from their answers; what does not fit its ring is counted as lost.
type notes struct {
	log   logr.Logger
	meter *meter
	ring  chan requestNote
	stop  chan struct{}
	done  chan struct{}
}

func newNotes(log logr.Logger, meter *meter) *notes {
	n := &notes{
		log:   log,
		meter: meter,
		ring:  make(chan requestNote, noteRing),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go n.run()
	return n
}

// isWanted reports whether a request is written of: one without a whole answer always, else by its id.
func isWanted(call *exchanger.Call, d *scatterer.Decision) bool {
	return d.Reason != scatterer.ReasonNone || xxhash.Sum64String(call.ID)%sampleOf == 0
}

func (n *notes) add(note requestNote) {
	select {
	case n.ring <- note:
	default:
		n.meter.linesLost.Inc(1)
	}
}

func (n *notes) run() {
	defer close(n.done)
	for {
		select {
		case note := <-n.ring:
			n.write(&note)
		case <-n.stop:
			return
		}
	}
}

func (n *notes) close() {
	close(n.stop)
	<-n.done
}

func (n *notes) write(note *requestNote) {
	whole := note.decision.Reason == scatterer.ReasonNone
	log := n.log
	if whole {
		log = log.V(1)
	}
	d := note.decision
	log.Info("request", "request", note.call.ID, "route", note.request.Route.Name, "outcome", d.Kind.String(), "reason", d.Reason,
		"parts", len(d.Replies), "missing", d.MissingShards, "took-ms", milliseconds(note.took), "target-ms", note.request.Route.TargetLatency.Milliseconds(),
		"waits-ms", note.waits(), "retry-after-ms", d.RetryAfter.Milliseconds(), "attempts", len(note.attempts),
		"version", note.version, "table", note.index, "least-shed-share", note.shed, "least-budget-left", note.budget)
	for i := range note.attempts {
		a := &note.attempts[i]
		// Parts that came as they should say nothing about those that did not.
		if whole || !note.request.Route.IsSharded() || a.outcome != scatterer.OutcomeReplied.String() {
			n.writeAttempt(log, note, a)
		}
	}
}

// waits returns how long the caller said that it waits, in milliseconds; 0 where it did not say.
func (n *requestNote) waits() int64 {
	if n.request.Deadline.IsZero() {
		return 0
	}
	return n.request.Deadline.Sub(n.request.ArrivedAt).Milliseconds()
}

func (n *notes) writeAttempt(log logr.Logger, note *requestNote, a *attemptNote) {
	log.Info("attempt", "request", note.call.ID, "service", a.attempt.Service, "replica", a.attempt.Replica.ID, "address", a.attempt.Replica.Address,
		"kind", a.attempt.Kind, "at-ms", milliseconds(a.attempt.StartedAt.Sub(note.request.ArrivedAt)), "expected-ms", milliseconds(a.expected),
		"in-flight", a.inFlight, "outcome", a.outcome, "cause", a.cause, "took-ms", milliseconds(a.took))
}

// milliseconds keeps a tenth.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Millisecond/10)) / float64(time.Millisecond)
}
