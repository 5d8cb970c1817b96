package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/admitter"
	"pimentogate.example/pimentogate/pkg/wire"
)

var errStateRefused = errors.New("too many entry instances ask for the whole state")

// admission admits Follow calls that need the whole state.
type admission struct {
	meter    *meter
	mutex    sync.Mutex
	admitter *admitter.Admitter
	// sent and refused count the calls since the last log line.
	sent    int
	refused int
}

func newAdmission(m *meter) *admission {
	return &admission{
		meter:    m,
		admitter: admitter.New(time.Now()),
	}
}

// admit returns nil if the call is admitted. The call ends with its context, which is after its response has been written.
func (a *admission) admit(ctx context.Context, call admitter.Call) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	decision := a.admitter.Ask(time.Now(), call)
	if decision.Admitted {
		a.sent++
		a.meter.statesSent.Inc(1)
		context.AfterFunc(ctx, a.finish)
		return nil
	}
	a.refused++
	a.meter.statesRefused.Inc(1)
	return refusalError(decision)
}

func (a *admission) finish() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.admitter.Finish()
}

// recordHolder records an entry instance whose call has shown that it holds the state.
func (a *admission) recordHolder(entry *wire.EntryInstance) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.admitter.RecordHolder(time.Now(), admitter.Peer{
		Instance: entry.GetInstance(),
		Zone:     entry.GetZone(),
		Address:  entry.GetAddress(),
	})
}

// takeCounts returns the numbers of calls that were admitted and refused since the last call of takeCounts.
func (a *admission) takeCounts() (int, int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sent, refused := a.sent, a.refused
	a.sent, a.refused = 0, 0
	return sent, refused
}

// refusalError returns the error with the detail that tells the caller when and whom to ask next.
func refusalError(decision admitter.Decision) error {
	refusal := &wire.FollowRefusal{
		RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
	}
	for _, peer := range decision.Peers {
		refusal.Peers = append(refusal.Peers, &wire.EntryInstance{
			Instance: peer.Instance,
			Zone:     peer.Zone,
			Address:  peer.Address,
		})
	}
	connectErr := connect.NewError(connect.CodeResourceExhausted, errStateRefused)
	detail, err := connect.NewErrorDetail(refusal)
	if err == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}
