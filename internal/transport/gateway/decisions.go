package gateway

import (
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
)

const decisionRing = 8192

// decision is one routing decision: where an attempt goes, or that its query was begun anew.
type decision struct {
	send    *gatherer.Send
	restart *gatherer.Restart
}

// decisionLog writes a line for each routing decision, away from the loop; lines that don't fit its ring are counted.
type decisionLog struct {
	log  logr.Logger
	lost tally.Counter
	ring chan decision
	stop chan struct{}
	done chan struct{}
}

func newDecisionLog(log logr.Logger, lost tally.Counter) *decisionLog {
	return &decisionLog{
		log:  log,
		lost: lost,
		ring: make(chan decision, decisionRing),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
}

func (l *decisionLog) note(d decision) {
	select {
	case l.ring <- d:
	default:
		l.lost.Inc(1)
	}
}

// close writes what is in the ring, and ends.
func (l *decisionLog) close() {
	close(l.stop)
	<-l.done
}

func (l *decisionLog) run() {
	defer close(l.done)
	for {
		select {
		case d := <-l.ring:
			l.write(d)
		case <-l.stop:
			l.drain()
			return
		}
	}
}

func (l *decisionLog) drain() {
	for {
		select {
		case d := <-l.ring:
			l.write(d)
		default:
			return
		}
	}
}

func (l *decisionLog) write(d decision) {
	if d.restart != nil {
		l.log.Info("restarted", "request-id", d.restart.RequestID, "query", d.restart.QueryID, "from-version", d.restart.FromVersion, "to-version", d.restart.ToVersion)
		return
	}
	request := d.send.Request
	owner := ""
	if d.send.Owner != nil {
		owner = d.send.Owner.Name
	}
	l.log.Info("routed", "request-id", d.send.RequestID, "query", d.send.QueryID, "attempt", request.GetAttempt(), "kind", d.send.Kind,
		"service", request.GetService(), "shard", request.GetShard(), "version", request.GetVersion(),
		"upstream", d.send.Upstream, "owner", owner, "waited-us", d.send.QueueTime.Microseconds())
}
