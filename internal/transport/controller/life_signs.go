package controller

import (
	"context"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/refuter"
	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxLifeSigns bounds the life signs that wait to be committed; a replica repeats its own.
	maxLifeSigns = 256
	// lifeSignTimeout limits one commit.
	lifeSignTimeout = time.Second
)

// lifeSigns commits that replicas have run on after supposed crashes, as their heartbeats at this instance show.
type lifeSigns struct {
	controller *Controller
	// refuter belongs to the event loop of the controller.
	refuter *refuter.Refuter
	found   chan *wire.AttemptEnd
	done    chan struct{}
}

func newLifeSigns(c *Controller) *lifeSigns {
	return &lifeSigns{
		controller: c,
		refuter:    refuter.New(),
		found:      make(chan *wire.AttemptEnd, maxLifeSigns),
		done:       make(chan struct{}),
	}
}

// observe notes the heartbeat of a replica under which a request is suspected of a crash. It is called in the event loop.
func (l *lifeSigns) observe(replica *wire.Replica) {
	now := time.Now()
	c := l.controller
	sinceCrash, isSuspected := c.state.Quarantiner.SinceCrash(c.journalTime(now), replica.GetId(), replica.GetBornMs())
	if !isSuspected {
		return
	}
	isRefuted := l.refuter.Observe(now, refuter.Heartbeat{
		Incarnation: refuter.Incarnation{
			Replica: replica.GetId(),
			BornMs:  replica.GetBornMs(),
		},
		Sequence:   replica.GetSequence(),
		SinceCrash: sinceCrash,
	})
	if !isRefuted {
		return
	}
	select {
	case l.found <- quarantiner.NewLifeSign(replica.GetId(), replica.GetBornMs()):
	default:
	}
}

func (l *lifeSigns) run() {
	defer close(l.done)
	for {
		select {
		case <-l.controller.done:
			return
		case sign := <-l.found:
			l.commit(l.takeMore(sign))
		}
	}
}

// takeMore returns the life signs that wait.
func (l *lifeSigns) takeMore(first *wire.AttemptEnd) []*wire.AttemptEnd {
	signs := []*wire.AttemptEnd{first}
	for {
		select {
		case sign := <-l.found:
			signs = append(signs, sign)
		default:
			return signs
		}
	}
}

func (l *lifeSigns) commit(signs []*wire.AttemptEnd) {
	ctx, cancel := context.WithTimeout(context.Background(), lifeSignTimeout)
	defer cancel()
	err := l.controller.reportAttempts(ctx, &wire.ReportAttemptsRequest{
		Attempts: signs,
	})
	for _, sign := range signs {
		l.controller.log.Info("supposed crash refuted by heartbeats", "replica", sign.GetReplica(), "born-ms", sign.GetBornMs(), "acknowledged", err == nil)
	}
}
