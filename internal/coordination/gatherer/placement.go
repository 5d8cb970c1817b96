package gatherer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/queuer"
	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const (
	// admissionShare of the time left may be spent waiting at the fullest shard.
	admissionShare = 0.8
	// hedgeAgain is when a straggler that could not be hedged is looked at again.
	hedgeAgain = 5 * time.Millisecond
)

// hedge is when an attempt counts as a straggler.
type hedge struct {
	at      time.Time
	attempt uint64
}

// candidates returns the replicas that the shard was not yet asked from.
func (m *Machine) candidates(now time.Time, s *shardState) []*registrar.Replica {
	g := s.gather
	version := g.manifest.GetVersion()
	known := m.Registrar.Replicas(g.query.Service, version, s.name)
	if g.forwarded != nil {
		known = m.owned(known, g.forwarded.Upstreams)
	}
	if len(s.tried) == 0 && len(m.withdrawn) == 0 {
		return known
	}
	var list []*registrar.Replica
	for _, replica := range known {
		if !slices.Contains(s.tried, replica.Upstream) && m.holds(now, replica, g.query.Service, version, s.name) {
			list = append(list, replica)
		}
	}
	return list
}

// admit reports whether the query can be answered in time at its fullest shard, and if not, when to come back.
func (m *Machine) admit(now time.Time, g *gather) (bool, time.Duration) {
	if !m.Router.Policy().Queues() {
		return true, 0
	}
	each := m.Router.Service(g.query.Service)
	var longest time.Duration
	for _, s := range g.shards {
		longest = max(longest, m.waitFor(now, s, each))
	}
	left := time.Duration(admissionShare * float64(g.deadline().Sub(now)))
	if longest == 0 || longest+each <= left {
		return true, 0
	}
	return false, max(longest, retryAfterBusy)
}

// place gives a sub-request to a replica, or queues it until one has a free slot; where there is none the shard is lost.
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
	local := m.localPart(now, s, candidates)
	if free := m.pickFree(now, s, local); free != nil {
		m.send(now, s, free, kind, 0)
		return
	}
	chosen := m.Router.Pick(now, candidates)
	if m.isLocal(now, s, chosen) {
		m.enqueue(now, s, local, kind)
		return
	}
	m.forward(now, s, chosen, candidates, kind)
}

func (m *Machine) enqueue(now time.Time, s *shardState, candidates []*registrar.Replica, kind AttemptKind) {
	s.waiting = &queuer.Item[*task]{
		Value: &task{
			shard: s,
			kind:  kind,
			since: now,
		},
		Deadline: s.gather.query.Deadline,
	}
	m.queue.Push(s.waiting, candidates)
}

// placeAgain retries a lost shard where the budget allows it.
func (m *Machine) placeAgain(now time.Time, s *shardState) {
	if len(s.tried) == 0 {
		m.place(now, s, AttemptFirst)
		return
	}
	m.incomplete[s.gather.query.ID] = s.gather
	if len(m.candidates(now, s)) > 0 && m.Budget.TryWithdraw(now) {
		m.place(now, s, AttemptRetry)
	}
}

// pickFree returns a replica with a slot that is known to be free, or nil.
func (m *Machine) pickFree(now time.Time, s *shardState, candidates []*registrar.Replica) *registrar.Replica {
	var free []*registrar.Replica
	for _, replica := range candidates {
		if m.isFree(now, s, replica) && !m.isShunned(now, replica, candidates) {
			free = append(free, replica)
		}
	}
	return m.Router.Pick(now, free)
}

// isShunned reports whether a replica that has failed is passed over, which it is only while another one that a sub-request may go to has not: where all have failed, waiting would help nobody.
func (m *Machine) isShunned(now time.Time, replica *registrar.Replica, candidates []*registrar.Replica) bool {
	return m.Router.Rests(now, replica.Upstream) &&
		slices.ContainsFunc(candidates, func(c *registrar.Replica) bool { return !m.Router.Rests(now, c.Upstream) })
}

func (m *Machine) isFree(now time.Time, s *shardState, replica *registrar.Replica) bool {
	if !m.Router.Policy().Queues() {
		return m.Router.InFlight(replica.Upstream) < int(replica.Slots)
	}
	return m.queue.IsFree(now, replica, m.Router.Stall(s.gather.query.Service))
}

func (m *Machine) send(now time.Time, s *shardState, replica *registrar.Replica, kind AttemptKind, waited time.Duration) {
	if kind == AttemptFirst {
		m.Budget.Deposit()
	}
	a := m.newAttempt(now, s, replica)
	s.tried = append(s.tried, replica.Upstream)
	m.start(now, a, kind, waited)
}

func (m *Machine) newAttempt(now time.Time, s *shardState, replica *registrar.Replica) *attempt {
	m.lastAttempt++
	return &attempt{
		id:      m.lastAttempt,
		shard:   s,
		version: s.gather.manifest.GetVersion(),
		replica: replica,
		sentAt:  now,
	}
}

func (m *Machine) start(now time.Time, a *attempt, kind AttemptKind, waited time.Duration) {
	s := a.shard
	g := s.gather
	replica := a.replica
	m.attempts[a.id] = a
	s.attempts = append(s.attempts, a)
	m.Router.Sent(replica.Upstream)
	m.noteStart(now, a, kind)
	m.actions.Sends = append(m.actions.Sends, Send{
		Via:       a.via,
		Upstreams: a.upstreams,
		Query:     g.query.ID,
		RequestID: g.query.RequestID,
		Upstream:  replica.Upstream,
		Address:   replica.Address,
		Request:   g.request(a),
		Deadline:  g.deadline(),
		Kind:      kind,
		Waited:    waited,
	})
}

func (m *Machine) noteStart(now time.Time, a *attempt, kind AttemptKind) {
	policy := m.Router.Policy()
	if policy.Queues() && a.via == nil {
		m.queue.StartAttempt(now, a.replica, a.id)
	}
	if policy.Hedges() && kind != AttemptHedge {
		m.hedges.Push(hedge{
			at:      now.Add(m.hedgeDelay(a)),
			attempt: a.id,
		})
	}
}

// endAttempt frees the attempt's slot and gives it to what waits.
func (m *Machine) endAttempt(now time.Time, a *attempt) {
	delete(m.attempts, a.id)
	a.shard.remove(a)
	m.Router.Done(a.replica.Upstream)
	if a.via != nil {
		delete(m.handed[a.via.Name].attempts, a.id)
		return
	}
	if m.Router.Policy().Queues() {
		m.queue.EndAttempt(a.replica.Upstream, a.id)
		m.pull(now, a.replica)
	}
}

func (m *Machine) cancelRivals(now time.Time, s *shardState) {
	m.unqueue(s)
	for len(s.attempts) > 0 {
		rival := s.attempts[0]
		m.observe(now, rival)
		m.cancel(rival.id)
		m.endAttempt(now, rival)
	}
}

// cancel takes an attempt back; one that the driver has not yet been given is never sent.
func (m *Machine) cancel(id uint64) {
	unsent := func(send Send) bool { return send.Request.GetAttempt() == id }
	if slices.ContainsFunc(m.actions.Sends, unsent) {
		m.actions.Sends = slices.DeleteFunc(m.actions.Sends, unsent)
		return
	}
	m.actions.Cancels = append(m.actions.Cancels, id)
}

// observe keeps how long an attempt was waited for in vain.
func (m *Machine) observe(now time.Time, a *attempt) {
	waited := now.Sub(a.sentAt)
	if a.via != nil {
		return
	}
	stall := m.Router.Stall(a.shard.gather.query.Service)
	m.Router.Outrun(a.replica.Upstream, waited)
	if waited > stall {
		m.queue.Observe(now, a.replica.Upstream, waited, stall)
	}
}

func (m *Machine) unqueue(s *shardState) {
	if s.waiting == nil {
		return
	}
	m.queue.Remove(s.waiting)
	s.waiting = nil
}

// pull gives the replica's free slots to the most urgent sub-requests that wait for it.
func (m *Machine) pull(now time.Time, replica *registrar.Replica) {
	for !m.isShunned(now, replica, m.queue.Candidates(replica)) {
		item, ok := m.queue.Next(now, replica, m.Router.LongestStall())
		if !ok {
			return
		}
		s := item.Value.shard
		s.waiting = nil
		if !slices.ContainsFunc(m.candidates(now, s), func(c *registrar.Replica) bool { return c.Upstream == replica.Upstream }) {
			m.placeElsewhere(now, s)
			continue
		}
		m.send(now, s, replica, item.Value.kind, now.Sub(item.Value.since))
	}
}

// placeElsewhere goes on with a shard whose queued sub-request has lost its replica.
func (m *Machine) placeElsewhere(now time.Time, s *shardState) {
	if !s.isLost() {
		return
	}
	m.reconsider(now, s)
	m.finishIfOver(now, s.gather)
}

func (m *Machine) pullAll(now time.Time) {
	for _, replica := range m.queue.WaitingReplicas() {
		m.pull(now, replica)
	}
}

// hedgeStragglers sends a second attempt for those that are overdue, where a slot is known to be free.
func (m *Machine) hedgeStragglers(now time.Time) {
	var again []hedge
	for {
		next, ok := m.hedges.Peek()
		if !ok || now.Before(next.at) {
			break
		}
		m.hedges.Pop()
		a, ok := m.attempts[next.attempt]
		if !ok || len(a.shard.attempts) > 1 || a.shard.waiting != nil || m.sendHedge(now, a.shard) {
			continue
		}
		again = append(again, hedge{
			at:      now.Add(hedgeAgain),
			attempt: next.attempt,
		})
	}
	for _, h := range again {
		m.hedges.Push(h)
	}
}

func (m *Machine) sendHedge(now time.Time, s *shardState) bool {
	candidates := m.candidates(now, s)
	if len(candidates) == 0 {
		return true
	}
	if !m.Router.Policy().Queues() {
		return m.sendBlindHedge(now, s, candidates)
	}
	if !m.Budget.TryWithdraw(now) {
		return false
	}
	m.place(now, s, AttemptHedge)
	return true
}

// sendBlindHedge hedges only where this instance has left a slot free, since nothing here would queue.
func (m *Machine) sendBlindHedge(now time.Time, s *shardState, candidates []*registrar.Replica) bool {
	replica := m.pickFree(now, s, candidates)
	if replica == nil || !m.Budget.TryWithdraw(now) {
		return false
	}
	m.send(now, s, replica, AttemptHedge, 0)
	return true
}
