package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

// finalAnswerTime is how long before a stopping instance closes its connections it answers the requests that are still in flight.
const finalAnswerTime = 200 * time.Millisecond

// ending is the time at which an instance that is stopping answers the requests in flight.
type ending struct {
	at atomic.Pointer[time.Time]
	// ctx is done from that time on.
	ctx    context.Context
	cancel context.CancelFunc
}

func newEnding() *ending {
	e := &ending{}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// canFinish reports whether the request can be expected to be answered before the instance ends.
func (e *ending) canFinish(now time.Time, request *scatterer.Request, expectedWork time.Duration) bool {
	at := e.at.Load()
	return at == nil || scatterer.CanFinish(request, expectedWork, now, *at)
}

// start sets the time by that at which the connections are closed. It returns a function that releases the timer.
func (e *ending) start(closedAt time.Time) func() bool {
	at := closedAt.Add(-finalAnswerTime)
	e.at.Store(&at)
	return time.AfterFunc(time.Until(at), e.reach).Stop
}

// reach ends the waiting for the requests in flight.
func (e *ending) reach() { e.cancel() }
