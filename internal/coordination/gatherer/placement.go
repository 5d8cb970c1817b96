package gatherer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/queuer"
	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const (
	// admissionShare is the share of the remaining time that the shard with the longest queue may need for waiting and searching, so that the answer is in time.
	admissionShare = 0.8
	// hedgeRetryDelay is the delay before another try to hedge a straggler that could not be hedged.
	hedgeRetryDelay = 5 * time.Millisecond
)

// hedgeTimer schedules the time from which an attempt counts as a straggler.
type hedgeTimer struct {
	at        time.Time
	attemptID uint64
}

// candidates returns the replicas that may still be tried for the shard.
func (m *Machine) candidates(now time.Time, s *shardState) []*registrar.Replica {
	g := s.gather
	version := g.manifest.GetVersion()
	replicas := m.Registrar.Replicas(g.query.Service, version, s.name)
	if g.forwarded != nil {
		replicas = m.ownedReplicas(replicas, g.forwarded.Upstreams)
	}
	if len(s.tried) == 0 && len(m.withdrawnUntil) == 0 {
		return replicas
	}
	var remaining []*registrar.Replica
	for _, replica := range replicas {
		if !slices.Contains(s.tried, replica.Upstream) && m.stillHolds(now, replica, g.query.Service, version, s.name) {
			remaining = append(remaining, replica)
		}
	}
	return remaining
}

// admit reports whether the query can be answered in time at the shard with the longest queue, and otherwise how long to wait before a retry. A query that would not be queued is always admitted.
func (m *Machine) admit(now time.Time, g *gather) (bool, time.Duration) {
	if !m.Router.Policy().Queues() {
		return true, 0
	}
	meanLatency := m.Router.MeanLatency(g.query.Service)
	var longestWait time.Duration
	for _, s := range g.shards {
		longestWait = max(longestWait, m.estimateWait(now, s, meanLatency))
	}
	maxWait := time.Duration(admissionShare * float64(g.deadline().Sub(now)))
	if longestWait == 0 || longestWait+meanLatency <= maxWait {
		return true, 0
	}
	return false, max(longestWait, retryAfterBusy)
}

// place sends a sub-request to a replica. A policy that queues requires a free slot, and otherwise queues the sub-request here or forwards it to the replica's owner. A shard without candidates stays unplaced.
func (m *Machine) place(now time.Time, s *shardState, kind AttemptKind) {
	candidates := m.candidates(now, s)
	if len(candidates) == 0 {
		m.incomplete[s.gather.query.ID] = s.gather
		return
	}
	if !m.Router.Policy().Queues() {
		m.send(now, s, m.Router.Pick(now, candidates), kind, 0)
		return
	}
	local := m.localCandidates(now, s, candidates)
	if free := m.pickFreeReplica(now, s, local); free != nil {
		m.send(now, s, free, kind, 0)
		return
	}
	chosen := m.Router.Pick(now, candidates)
	if m.canQueueLocally(now, s, chosen) {
		m.enqueue(now, s, local, kind)
		return
	}
	m.forward(now, s, chosen, candidates, kind)
}

func (m *Machine) enqueue(now time.Time, s *shardState, candidates []*registrar.Replica, kind AttemptKind) {
	s.queued = &queuer.Item[*task]{
		Value: &task{
			shard:    s,
			kind:     kind,
			queuedAt: now,
		},
		Deadline: s.gather.query.Deadline,
	}
	m.queue.Push(s.queued, candidates)
}

// retryShard places an unplaced shard again; if upstreams have been tried before, this needs a token of the retry budget.
func (m *Machine) retryShard(now time.Time, s *shardState) {
	if len(s.tried) == 0 {
		m.place(now, s, AttemptFirst)
		return
	}
	m.incomplete[s.gather.query.ID] = s.gather
	if len(m.candidates(now, s)) > 0 && m.RetryBudget.TryWithdraw(now) {
		m.place(now, s, AttemptRetry)
	}
}

// pickFreeReplica picks a replica that is known to have a free slot, or returns nil.
func (m *Machine) pickFreeReplica(now time.Time, s *shardState, candidates []*registrar.Replica) *registrar.Replica {
	var free []*registrar.Replica
	for _, replica := range candidates {
		if m.hasFreeSlot(now, s, replica) && !m.shouldSkip(now, replica, candidates) {
			free = append(free, replica)
		}
	}
	return m.Router.Pick(now, free)
}

// shouldSkip reports whether a replica that has failed recently is skipped because another candidate has not; if all candidates have failed, waiting would not help.
func (m *Machine) shouldSkip(now time.Time, replica *registrar.Replica, candidates []*registrar.Replica) bool {
	return m.Router.IsBackingOff(now, replica.Upstream) &&
		slices.ContainsFunc(candidates, func(c *registrar.Replica) bool { return !m.Router.IsBackingOff(now, c.Upstream) })
}

func (m *Machine) hasFreeSlot(now time.Time, s *shardState, replica *registrar.Replica) bool {
	if !m.Router.Policy().Queues() {
		return m.Router.InFlight(replica.Upstream) < int(replica.Slots)
	}
	return m.queue.IsFree(now, replica, m.Router.StallThreshold(s.gather.query.Service))
}

func (m *Machine) send(now time.Time, s *shardState, replica *registrar.Replica, kind AttemptKind, queueTime time.Duration) {
	if kind == AttemptFirst {
		m.RetryBudget.Deposit()
	}
	a := m.newAttempt(now, s, replica)
	s.tried = append(s.tried, replica.Upstream)
	m.startAttempt(now, a, kind, queueTime)
}

func (m *Machine) newAttempt(now time.Time, s *shardState, replica *registrar.Replica) *attempt {
	m.lastAttemptID++
	return &attempt{
		id:      m.lastAttemptID,
		shard:   s,
		version: s.gather.manifest.GetVersion(),
		replica: replica,
		sentAt:  now,
	}
}

func (m *Machine) startAttempt(now time.Time, a *attempt, kind AttemptKind, queueTime time.Duration) {
	s := a.shard
	g := s.gather
	replica := a.replica
	m.attempts[a.id] = a
	s.attempts = append(s.attempts, a)
	m.Router.RecordStart(replica.Upstream)
	m.recordStart(now, a, kind)
	m.actions.Sends = append(m.actions.Sends, Send{
		Owner:     a.owner,
		Upstreams: a.upstreams,
		QueryID:   g.query.ID,
		RequestID: g.query.RequestID,
		Upstream:  replica.Upstream,
		Address:   replica.Address,
		Request:   g.searchRequest(a),
		Deadline:  g.deadline(),
		Kind:      kind,
		QueueTime: queueTime,
	})
}

// recordStart registers the attempt in its replica's queue and schedules its hedge.
func (m *Machine) recordStart(now time.Time, a *attempt, kind AttemptKind) {
	policy := m.Router.Policy()
	if policy.Queues() && a.owner == nil {
		m.queue.StartAttempt(now, a.replica, a.id)
	}
	if policy.Hedges() && kind != AttemptHedge {
		m.hedges.Push(hedgeTimer{
			at:        now.Add(m.hedgeDelay(a)),
			attemptID: a.id,
		})
	}
}

// endAttempt releases the attempt's slot and sends the next queued sub-requests of its replica.
func (m *Machine) endAttempt(now time.Time, a *attempt) {
	delete(m.attempts, a.id)
	a.shard.removeAttempt(a)
	m.Router.RecordEnd(a.replica.Upstream)
	if a.owner != nil {
		delete(m.forwardedTo[a.owner.Name].attempts, a.id)
		return
	}
	if m.Router.Policy().Queues() {
		m.queue.EndAttempt(a.replica.Upstream, a.id)
		m.sendQueued(now, a.replica)
	}
}

// cancelAttempts cancels the shard's queued sub-request and all of its attempts.
func (m *Machine) cancelAttempts(now time.Time, s *shardState) {
	m.dequeue(s)
	for len(s.attempts) > 0 {
		a := s.attempts[0]
		m.recordCancelled(now, a)
		m.cancel(a.id)
		m.endAttempt(now, a)
	}
}

// cancel cancels an attempt; one that was not yet returned to the driver is never sent.
func (m *Machine) cancel(id uint64) {
	unsent := func(send Send) bool { return send.Request.GetAttempt() == id }
	if slices.ContainsFunc(m.actions.Sends, unsent) {
		m.actions.Sends = slices.DeleteFunc(m.actions.Sends, unsent)
		return
	}
	m.actions.Cancels = append(m.actions.Cancels, id)
}

// recordCancelled records how long a cancelled attempt went without a reply, as a lower bound of its replica's latency.
func (m *Machine) recordCancelled(now time.Time, a *attempt) {
	waited := now.Sub(a.sentAt)
	if a.owner != nil {
		return
	}
	stall := m.Router.StallThreshold(a.shard.gather.query.Service)
	m.Router.RecordMinLatency(a.replica.Upstream, waited)
	if waited > stall {
		m.queue.Observe(now, a.replica.Upstream, waited, stall)
	}
}

func (m *Machine) dequeue(s *shardState) {
	if s.queued == nil {
		return
	}
	m.queue.Remove(s.queued)
	s.queued = nil
}

// sendQueued sends the most urgent queued sub-requests to the replica while it has free slots.
func (m *Machine) sendQueued(now time.Time, replica *registrar.Replica) {
	for !m.shouldSkip(now, replica, m.queue.Candidates(replica)) {
		item, ok := m.queue.Next(now, replica, m.Router.MaxStallThreshold())
		if !ok {
			return
		}
		s := item.Value.shard
		s.queued = nil
		if !slices.ContainsFunc(m.candidates(now, s), func(c *registrar.Replica) bool { return c.Upstream == replica.Upstream }) {
			m.reassign(now, s)
			continue
		}
		m.send(now, s, replica, item.Value.kind, now.Sub(item.Value.queuedAt))
	}
}

// reassign recovers a shard whose queued sub-request can no longer go to the replica that became free.
func (m *Machine) reassign(now time.Time, s *shardState) {
	if !s.isUnplaced() {
		return
	}
	m.recoverShard(now, s)
	m.finishIfSettled(now, s.gather)
}

func (m *Machine) sendAllQueued(now time.Time) {
	for _, replica := range m.queue.WaitingReplicas() {
		m.sendQueued(now, replica)
	}
}

// hedgeStragglers hedges the attempts whose hedge delay has passed; those that cannot be hedged yet are checked again after hedgeRetryDelay.
func (m *Machine) hedgeStragglers(now time.Time) {
	var postponed []hedgeTimer
	for {
		timer, ok := m.hedges.Peek()
		if !ok || now.Before(timer.at) {
			break
		}
		m.hedges.Pop()
		a, ok := m.attempts[timer.attemptID]
		if !ok || len(a.shard.attempts) > 1 || a.shard.queued != nil || m.sendHedge(now, a.shard) {
			continue
		}
		postponed = append(postponed, hedgeTimer{
			at:        now.Add(hedgeRetryDelay),
			attemptID: timer.attemptID,
		})
	}
	for _, h := range postponed {
		m.hedges.Push(h)
	}
}

// sendHedge hedges the shard's straggler if possible. It reports whether no further check is needed, because the hedge was sent or no candidate is left.
func (m *Machine) sendHedge(now time.Time, s *shardState) bool {
	candidates := m.candidates(now, s)
	if len(candidates) == 0 {
		return true
	}
	if !m.Router.Policy().Queues() {
		return m.sendUnqueuedHedge(now, s, candidates)
	}
	if !m.RetryBudget.TryWithdraw(now) {
		return false
	}
	m.place(now, s, AttemptHedge)
	return true
}

// sendUnqueuedHedge hedges only if this instance leaves a slot free at a replica, because under these policies an excess attempt would queue at the upstream.
func (m *Machine) sendUnqueuedHedge(now time.Time, s *shardState, candidates []*registrar.Replica) bool {
	replica := m.pickFreeReplica(now, s, candidates)
	if replica == nil || !m.RetryBudget.TryWithdraw(now) {
		return false
	}
	m.send(now, s, replica, AttemptHedge, 0)
	return true
}
