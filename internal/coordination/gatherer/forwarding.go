package gatherer

import (
	"maps"
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// ownerSilence and ownerSilenceFactor times the hedging delay are how long an owner that has work may give no word.
	ownerSilence       = 150 * time.Millisecond
	ownerSilenceFactor = 3
	// waitAge is how long an owner's word of its queue stands.
	waitAge = 200 * time.Millisecond
	// fallbackSlots is how many attempts go past an owner that is lost, for each replica.
	fallbackSlots = 1

	ownerPrefix = "owner "
)

// Forwarded is one sub-request that a peer hands to this instance as the owner of its replicas.
type Forwarded struct {
	// ID is one of the ids of queries.
	ID        uint64
	RequestID string
	Upstreams []string
	Request   *wire.SearchRequest
	Deadline  time.Time
}

// Return is the end of a forwarded sub-request: a reply, or why there is none.
type Return struct {
	ID      uint64
	Reply   *wire.SearchResponse
	Failure Failure
	Wait    time.Duration
}

// handedTo is what one other owner has of this instance.
type handedTo struct {
	attempts map[uint64]*attempt
	// heardAt is when it last gave a word, or was handed something while it had nothing.
	heardAt time.Time
}

// ownerWait is what an owner has said of its queue.
type ownerWait struct {
	wait  time.Duration
	until time.Time
}

// Accept takes a peer's sub-request, which ends in a Return.
func (m *Machine) Accept(now time.Time, f Forwarded) {
	g := newGather(Query{
		ID:        f.ID,
		RequestID: f.RequestID,
		Service:   f.Request.GetService(),
		Text:      f.Request.GetQuery(),
		Limit:     int(f.Request.GetLimit()),
		Arrived:   now,
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
		m.giveBackAtOnce(g)
		return
	}
	if ok, wait := m.admit(now, g); !ok {
		m.actions.Returns = append(m.actions.Returns, Return{
			ID: f.ID,
			Failure: Failure{
				Overload: true,
				Wait:     wait,
			},
		})
		return
	}
	m.gathers[f.ID] = g
	m.deadlines.Push(deadline{
		at:    g.deadline(),
		query: f.ID,
	})
	m.fanOut(now, g)
}

// giveBack ends a forwarded sub-request with what there is.
func (m *Machine) giveBack(now time.Time, g *gather) {
	f := g.forwarded
	s := g.shards[0]
	r := Return{
		ID:   f.ID,
		Wait: m.queue.EstimateWait(m.candidates(now, s), m.Router.Service(g.query.Service)),
	}
	switch {
	case s.done:
		r.Reply = &wire.SearchResponse{
			Attempt:  f.Request.GetAttempt(),
			Shard:    f.Request.GetShard(),
			Version:  f.Request.GetVersion(),
			Rows:     s.rows,
			RowCount: uint32(len(s.rows)),
			Complete: true,
		}
	default:
		r.Failure.Tried = s.tried
		r.Failure.NotHeld = !m.isLive(now, g.query.Service, g.manifest.GetVersion(), s.name)
	}
	m.actions.Returns = append(m.actions.Returns, r)
}

// giveBackAtOnce ends a forwarded sub-request for which there is no replica here: not owned, or no longer holding the version.
func (m *Machine) giveBackAtOnce(g *gather) {
	f := g.forwarded
	known := m.Registrar.Replicas(f.Request.GetService(), f.Request.GetVersion(), f.Request.GetShard())
	owned := len(m.owned(known, f.Upstreams)) > 0
	m.actions.Returns = append(m.actions.Returns, Return{
		ID: f.ID,
		Failure: Failure{
			OwnerLost: !owned,
			NotHeld:   owned,
		},
	})
}

// owned returns the replicas among the upstreams that this instance owns.
func (m *Machine) owned(replicas []*registrar.Replica, upstreams []string) []*registrar.Replica {
	var list []*registrar.Replica
	for _, replica := range replicas {
		if slices.Contains(upstreams, replica.Upstream) && m.Owners.IsMine(replica) {
			list = append(list, replica)
		}
	}
	return list
}

// isLocal reports whether the shard's sub-request may be queued for the replica here: as its owner, or past one that is lost.
func (m *Machine) isLocal(now time.Time, s *shardState, replica *registrar.Replica) bool {
	if s.gather.forwarded != nil || m.Owners.IsMine(replica) {
		return true
	}
	return m.Router.Rests(now, ownerPrefix+m.Owners.Of(replica).Name)
}

// localPart returns the candidates whose slots are counted here; past a lost owner only a share of the slots.
func (m *Machine) localPart(now time.Time, s *shardState, candidates []*registrar.Replica) []*registrar.Replica {
	local := make([]*registrar.Replica, 0, len(candidates))
	for _, replica := range candidates {
		switch {
		case s.gather.forwarded != nil || m.Owners.IsMine(replica):
			local = append(local, replica)
		case m.isLocal(now, s, replica):
			shared := *replica
			shared.Slots = min(shared.Slots, fallbackSlots)
			local = append(local, &shared)
		}
	}
	return local
}

// forward hands the sub-request to the owner of the chosen replica, with all candidates of the same owner.
func (m *Machine) forward(now time.Time, s *shardState, chosen *registrar.Replica, candidates []*registrar.Replica, kind AttemptKind) {
	owner := m.Owners.Of(chosen)
	a := m.newAttempt(now, s, chosen)
	a.via = &owner
	for _, replica := range candidates {
		if m.Owners.Of(replica).Name == owner.Name {
			a.upstreams = append(a.upstreams, replica.Upstream)
		}
	}
	s.tried = append(s.tried, a.upstreams...)
	to := m.handedTo(owner.Name)
	if len(to.attempts) == 0 {
		to.heardAt = now
	}
	to.attempts[a.id] = a
	m.start(now, a, kind, 0)
}

func (m *Machine) handedTo(owner string) *handedTo {
	known, ok := m.handed[owner]
	if !ok {
		known = &handedTo{
			attempts: map[uint64]*attempt{},
		}
		m.handed[owner] = known
	}
	return known
}

func (m *Machine) hearOwner(now time.Time, a *attempt) {
	m.handed[a.via.Name].heardAt = now
	m.Router.Recovered(ownerPrefix + a.via.Name)
}

// NoteWait keeps what an owner says of its queue.
func (m *Machine) NoteWait(now time.Time, attempt uint64, wait time.Duration) {
	a, ok := m.attempts[attempt]
	if !ok || a.via == nil {
		return
	}
	m.waits[a.replica.Group] = ownerWait{
		wait:  wait,
		until: now.Add(waitAge),
	}
}

// waitFor estimates how long a new sub-request for the shard would be queued, here or at its owners.
func (m *Machine) waitFor(now time.Time, s *shardState, each time.Duration) time.Duration {
	candidates := m.candidates(now, s)
	local := m.localPart(now, s, candidates)
	if len(local) > 0 || len(candidates) == 0 {
		return m.queue.EstimateWait(local, each)
	}
	shortest := time.Duration(-1)
	for _, replica := range candidates {
		var wait time.Duration
		if known, ok := m.waits[replica.Group]; ok && now.Before(known.until) {
			wait = known.wait
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// learnFromOwner keeps what the end of a forwarded sub-request says; where the owner is at fault its replicas stay untried.
func (m *Machine) learnFromOwner(now time.Time, a *attempt, failure Failure) {
	if failure.OwnerLost {
		if !m.Router.Rests(now, ownerPrefix+a.via.Name) {
			m.Router.Failed(now, ownerPrefix+a.via.Name)
		}
		a.forgive(nil)
		return
	}
	m.hearOwner(now, a)
	if !failure.Overload && !failure.NotHeld {
		a.forgive(failure.Tried)
	}
	if failure.Overload {
		m.NoteWait(now, a.id, failure.Wait)
	}
	if failure.NotHeld {
		m.markWithdrawn(now, a)
	}
}

// forgive lets the shard ask the attempt's upstreams again, but for those that were tried.
func (a *attempt) forgive(tried []string) {
	s := a.shard
	s.tried = slices.DeleteFunc(s.tried, func(name string) bool {
		return slices.Contains(a.upstreams, name) && !slices.Contains(tried, name)
	})
}

// giveUpOwners takes back what is with owners that have given no word for too long.
func (m *Machine) giveUpOwners(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(m.handed)) {
		to := m.handed[name]
		if len(to.attempts) == 0 || now.Sub(to.heardAt) < m.silenceAllowed(to) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(to.attempts)) {
			if _, ok := m.attempts[id]; !ok {
				continue
			}
			m.cancel(id)
			m.Fail(now, id, Failure{
				OwnerLost: true,
			})
		}
	}
}

func (m *Machine) silenceAllowed(to *handedTo) time.Duration {
	allowed := ownerSilence
	for _, a := range to.attempts {
		return max(allowed, ownerSilenceFactor*m.hedgeDelay(a))
	}
	return allowed
}

// hedgeDelay is after how long the attempt counts as a straggler; with an owner that includes its queue.
func (m *Machine) hedgeDelay(a *attempt) time.Duration {
	if a.via != nil {
		return m.Router.OwnerHedgeDelay(a.shard.gather.query.Service)
	}
	return m.Router.HedgeDelay(a.shard.gather.query.Service)
}

// upstreamsOf returns the upstreams that an attempt may have reached.
func (a *attempt) upstreamsOf() []string {
	if a.via != nil {
		return a.upstreams
	}
	return []string{a.replica.Upstream}
}
