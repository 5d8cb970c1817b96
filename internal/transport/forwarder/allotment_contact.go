package forwarder

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/allotter"
)

const (
	// contactSpan is how long after the last response that a quorum has confirmed the list of instances counts as current. It is shorter than the time after which other instances replace a keeper that control has lost.
	contactSpan = 5 * time.Second
	// contactProbes is how many instances of the zone are asked whether they respond while there is no such response, and contactProbeInterval how often.
	contactProbes        = 9
	contactProbeInterval = time.Second
)

// contactMonitor finds out whether this instance may be cut off from instances that replace it as the keeper.
type contactMonitor struct {
	allotments  *allotments
	confirmedAt atomic.Int64
	reachesZone bool
	checkedAt   time.Time
}

func newContactMonitor(a *allotments) *contactMonitor {
	return &contactMonitor{
		allotments:  a,
		reachesZone: true,
	}
}

// recordConfirmed records a response of a control instance that is in contact with a quorum.
func (m *contactMonitor) recordConfirmed() { m.confirmedAt.Store(time.Now().UnixNano()) }

// check sends the probes that are due, and reports whether this instance may earn its zone's rate.
func (m *contactMonitor) check(ctx context.Context) bool {
	now := time.Now()
	if now.Sub(time.Unix(0, m.confirmedAt.Load())) < contactSpan {
		m.reachesZone = true
		return true
	}
	if now.Sub(m.checkedAt) >= contactProbeInterval {
		m.checkedAt = now
		m.allotments.mutex.Lock()
		members := m.allotments.roster.ZoneMembers()
		m.allotments.mutex.Unlock()
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		members = members[:min(len(members), contactProbes)]
		// This instance counts as one of those that respond.
		m.reachesZone = 2*(m.probe(ctx, members)+1) > len(members)+1
	}
	return m.reachesZone
}

// probe asks all members at once for nothing, and returns how many respond.
func (m *contactMonitor) probe(ctx context.Context, members []allotter.Member) int {
	results := make(chan bool, len(members))
	for _, member := range members {
		go (&contactProbe{
			allotments: m.allotments,
			member:     member,
			result:     results,
		}).run(ctx)
	}
	responding := 0
	for range members {
		if <-results {
			responding++
		}
	}
	return responding
}

// contactProbe is one call without items.
type contactProbe struct {
	allotments *allotments
	member     allotter.Member
	result     chan<- bool
}

func (p *contactProbe) run(ctx context.Context) {
	_, err := p.allotments.call(ctx, p.member, nil)
	p.result <- err == nil || connect.CodeOf(err) == connect.CodeUnimplemented
}
