package gatherer

import (
	"maps"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// An owner with attempts in flight counts as lost if it has not responded for minOwnerTimeout, or for ownerTimeoutFactor times the hedge delay if that is longer.
	minOwnerTimeout    = 150 * time.Millisecond
	ownerTimeoutFactor = 3
	// ownerWaitTTL is how long a queue wait reported by an owner is used.
	ownerWaitTTL = 200 * time.Millisecond
	// fallbackSlots is how many slots of each replica this instance uses directly while the replica's owner is lost.
	fallbackSlots = 1

	// ownerKeyPrefix distinguishes owners from upstreams in the failure state of the router.
	ownerKeyPrefix = "owner "
)

// ForwardedRequest is a sub-request that a peer forwards to this instance as the owner of its replicas.
type ForwardedRequest struct {
	// ID is unique among the IDs of queries and forwarded requests.
	ID        uint64
	RequestID string
	Upstreams []string
	Request   *wire.SearchRequest
	Deadline  time.Time
}

// ForwardResult is the result of a forwarded sub-request: a reply, or the reason why there is none.
type ForwardResult struct {
	ID           uint64
	Reply        *wire.SearchResponse
	Failure      Failure
	ExpectedWait time.Duration
}

// ownerAttempts holds the attempts in flight that this instance has forwarded to one owner.
type ownerAttempts struct {
	attempts map[uint64]*attempt
	// lastResponseAt is when the owner last responded, or when it got its first attempt after having none.
	lastResponseAt time.Time
}

// ownerWait is the queue wait that an owner has reported.
type ownerWait struct {
	wait      time.Duration
	expiresAt time.Time
}

// AcceptForwarded runs a sub-request forwarded by a peer; its result is returned as a ForwardResult.
func (m *Machine) AcceptForwarded(now time.Time, f ForwardedRequest) {
	g := newGather(Query{
		ID:        f.ID,
		RequestID: f.RequestID,
		Service:   f.Request.GetService(),
		Text:      f.Request.GetQuery(),
		Limit:     int(f.Request.GetLimit()),
		ArrivedAt: now,
		Deadline:  f.Deadline,
	}, &wire.Manifest{
		Service: f.Request.GetService(),
		Version: f.Request.GetVersion(),
		Shards: []*wire.ShardWeight{
			{
				Shard:  f.Request.GetShard(),
				Weight: 1,
			},
		},
	})
	g.forwarded = &f
	if len(m.candidates(now, g.shards[0])) == 0 {
		m.rejectForwarded(g)
		return
	}
	if ok, wait := m.admit(now, g); !ok {
		m.actions.ForwardResults = append(m.actions.ForwardResults, ForwardResult{
			ID: f.ID,
			Failure: Failure{
				OwnerOverloaded: true,
				ExpectedWait:    wait,
			},
		})
		return
	}
	m.gathers[f.ID] = g
	m.deadlines.Push(queryDeadline{
		at:      g.deadline(),
		queryID: f.ID,
	})
	m.fanOut(now, g)
}

// returnForwarded adds the result of a forwarded sub-request to the actions.
func (m *Machine) returnForwarded(now time.Time, g *gather) {
	f := g.forwarded
	s := g.shards[0]
	r := ForwardResult{
		ID:           f.ID,
		ExpectedWait: m.queue.EstimateWait(m.candidates(now, s), m.Router.MeanLatency(g.query.Service)),
	}
	switch {
	case s.isAnswered:
		r.Reply = &wire.SearchResponse{
			Attempt:  f.Request.GetAttempt(),
			Shard:    f.Request.GetShard(),
			Version:  f.Request.GetVersion(),
			Rows:     s.rows,
			RowCount: uint32(len(s.rows)),
			Complete: true,
		}
	default:
		r.Failure.TriedUpstreams = s.tried
		r.Failure.NotHeld = !m.isAvailable(now, g.query.Service, g.manifest.GetVersion(), s.name)
	}
	m.actions.ForwardResults = append(m.actions.ForwardResults, r)
}

// rejectForwarded rejects a forwarded sub-request that has no replica here: either this instance owns none that announces the version, or those that it owns have denied holding it.
func (m *Machine) rejectForwarded(g *gather) {
	f := g.forwarded
	replicas := m.Registrar.Replicas(f.Request.GetService(), f.Request.GetVersion(), f.Request.GetShard())
	isOwner := len(m.ownedReplicas(replicas, f.Upstreams)) > 0
	m.actions.ForwardResults = append(m.actions.ForwardResults, ForwardResult{
		ID: f.ID,
		Failure: Failure{
			OwnerLost: !isOwner,
			NotHeld:   isOwner,
		},
	})
}

// ownedReplicas returns the replicas of the given upstreams that this instance owns.
func (m *Machine) ownedReplicas(replicas []*registrar.Replica, upstreams []string) []*registrar.Replica {
	var owned []*registrar.Replica
	for _, replica := range replicas {
		if slices.Contains(upstreams, replica.Upstream) && m.Owners.IsOwnedHere(replica) {
			owned = append(owned, replica)
		}
	}
	return owned
}

// canQueueLocally reports whether this instance may queue the shard's sub-request for the replica: as its owner, or because the owner is lost.
func (m *Machine) canQueueLocally(now time.Time, s *shardState, replica *registrar.Replica) bool {
	if s.gather.forwarded != nil || m.Owners.IsOwnedHere(replica) {
		return true
	}
	return m.Router.IsBackingOff(now, ownerKeyPrefix+m.Owners.OwnerOf(replica).Name)
}

// localCandidates returns the candidates that this instance may send to directly; replicas of a lost owner are limited to fallbackSlots slots.
func (m *Machine) localCandidates(now time.Time, s *shardState, candidates []*registrar.Replica) []*registrar.Replica {
	local := make([]*registrar.Replica, 0, len(candidates))
	for _, replica := range candidates {
		switch {
		case s.gather.forwarded != nil || m.Owners.IsOwnedHere(replica):
			local = append(local, replica)
		case m.canQueueLocally(now, s, replica):
			limited := *replica
			limited.Slots = min(limited.Slots, fallbackSlots)
			local = append(local, &limited)
		}
	}
	return local
}

// forward sends the sub-request to the owner of the chosen replica, along with all candidates of the same owner.
func (m *Machine) forward(now time.Time, s *shardState, chosen *registrar.Replica, candidates []*registrar.Replica, kind AttemptKind) {
	owner := m.Owners.OwnerOf(chosen)
	a := m.newAttempt(now, s, chosen)
	a.owner = &owner
	for _, replica := range candidates {
		if m.Owners.OwnerOf(replica).Name == owner.Name {
			a.upstreams = append(a.upstreams, replica.Upstream)
		}
	}
	s.tried = append(s.tried, a.upstreams...)
	pending := m.attemptsAt(owner.Name)
	if len(pending.attempts) == 0 {
		pending.lastResponseAt = now
	}
	pending.attempts[a.id] = a
	m.startAttempt(now, a, kind, 0)
}

// attemptsAt returns the attempts forwarded to the owner, adding an empty entry for a new owner.
func (m *Machine) attemptsAt(owner string) *ownerAttempts {
	pending, ok := m.forwardedTo[owner]
	if !ok {
		pending = &ownerAttempts{
			attempts: map[uint64]*attempt{},
		}
		m.forwardedTo[owner] = pending
	}
	return pending
}

// markOwnerResponsive records that the attempt's owner has responded.
func (m *Machine) markOwnerResponsive(now time.Time, a *attempt) {
	m.forwardedTo[a.owner.Name].lastResponseAt = now
	m.Router.ResetBackoff(ownerKeyPrefix + a.owner.Name)
}

// RecordOwnerWait records the queue wait that an owner has reported.
func (m *Machine) RecordOwnerWait(now time.Time, attemptID uint64, wait time.Duration) {
	a, ok := m.attempts[attemptID]
	if !ok || a.owner == nil {
		return
	}
	m.ownerWaits[a.replica.Group] = ownerWait{
		wait:      wait,
		expiresAt: now.Add(ownerWaitTTL),
	}
}

// estimateWait estimates how long a new sub-request for the shard would be queued, here or at its owner.
func (m *Machine) estimateWait(now time.Time, s *shardState, meanLatency time.Duration) time.Duration {
	candidates := m.candidates(now, s)
	local := m.localCandidates(now, s, candidates)
	if len(local) > 0 || len(candidates) == 0 {
		return m.queue.EstimateWait(local, meanLatency)
	}
	shortestWait := time.Duration(-1)
	for _, replica := range candidates {
		var wait time.Duration
		if reported, ok := m.ownerWaits[replica.Group]; ok && now.Before(reported.expiresAt) {
			wait = reported.wait
		}
		if shortestWait < 0 || wait < shortestWait {
			shortestWait = wait
		}
	}
	return shortestWait
}

// recordForwardFailure processes the failure of a forwarded sub-request. The upstreams that the owner has not tried may be tried again, unless it was overloaded or the version is no longer held.
func (m *Machine) recordForwardFailure(now time.Time, a *attempt, failure Failure) {
	if failure.OwnerLost {
		if !m.Router.IsBackingOff(now, ownerKeyPrefix+a.owner.Name) {
			m.Router.RecordFailure(now, ownerKeyPrefix+a.owner.Name)
		}
		a.clearTriedExcept(nil)
		return
	}
	m.markOwnerResponsive(now, a)
	if !failure.OwnerOverloaded && !failure.NotHeld {
		a.clearTriedExcept(failure.TriedUpstreams)
	}
	if failure.OwnerOverloaded {
		m.RecordOwnerWait(now, a.id, failure.ExpectedWait)
	}
	if failure.NotHeld {
		m.markWithdrawn(now, a)
	}
}

// clearTriedExcept allows the attempt's upstreams to be tried again for the shard, except for those in tried.
func (a *attempt) clearTriedExcept(tried []string) {
	s := a.shard
	s.tried = slices.DeleteFunc(s.tried, func(name string) bool {
		return slices.Contains(a.upstreams, name) && !slices.Contains(tried, name)
	})
}

// failUnresponsiveOwners cancels and fails the attempts at owners that have not responded within their timeout.
func (m *Machine) failUnresponsiveOwners(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(m.forwardedTo)) {
		pending := m.forwardedTo[name]
		if len(pending.attempts) == 0 || now.Sub(pending.lastResponseAt) < m.ownerTimeout(pending) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(pending.attempts)) {
			if _, ok := m.attempts[id]; !ok {
				continue
			}
			m.cancel(id)
			m.HandleFailure(now, id, Failure{
				OwnerLost: true,
			})
		}
	}
}

// ownerTimeout returns how long the owner may go without a response, based on the hedge delay of an arbitrary one of its attempts.
func (m *Machine) ownerTimeout(pending *ownerAttempts) time.Duration {
	timeout := minOwnerTimeout
	for _, a := range pending.attempts {
		return max(timeout, ownerTimeoutFactor*m.hedgeDelay(a))
	}
	return timeout
}

// hedgeDelay returns how long the attempt may run before it counts as a straggler; for a forwarded attempt this includes the owner's queue.
func (m *Machine) hedgeDelay(a *attempt) time.Duration {
	if a.owner != nil {
		return m.Router.OwnerHedgeDelay(a.shard.gather.query.Service)
	}
	return m.Router.HedgeDelay(a.shard.gather.query.Service)
}

// possibleUpstreams returns the upstreams that the attempt may have reached.
func (a *attempt) possibleUpstreams() []string {
	if a.owner != nil {
		return a.upstreams
	}
	return []string{a.replica.Upstream}
}
