package gateway

import (
	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
)

const decisionQueueSize = 8192

// decision is one routing decision: the destination of an attempt, or the restart of a query.
type decision struct {
	send    *gatherer.Send
	restart *gatherer.Restart
}

// decisionLog logs each routing decision outside the event loop. It drops and counts the lines that exceed its queue.
type decisionLog struct {
	log     logr.Logger
	dropped tally.Counter
	queue   chan decision
	stop    chan struct{}
	done    chan struct{}
}

func newDecisionLog(log logr.Logger, dropped tally.Counter) *decisionLog {
	return &decisionLog{
		log:     log,
		dropped: dropped,
		queue:   make(chan decision, decisionQueueSize),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

func (l *decisionLog) enqueue(d decision) {
	select {
	case l.queue <- d:
	default:
		l.dropped.Inc(1)
	}
}

// close writes the queued lines and stops.
func (l *decisionLog) close() {
	close(l.stop)
	<-l.done
}

func (l *decisionLog) run() {
	defer close(l.done)
	for {
		select {
		case d := <-l.queue:
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
		case d := <-l.queue:
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
