package gatherer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/internal/coordination/versioner"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// answerMargin is kept between the end of gathering and the caller's deadline.
	answerMargin = 10 * time.Millisecond
	// retryAfterBusy is when a refused caller may come back.
	retryAfterBusy = time.Second
	// budgetTokens is the most retries and hedges in one burst.
	budgetTokens = 20
)

// Machine is one entry instance's queries in flight and what they are routed by.
type Machine struct {
	Registrar *registrar.Registrar
	Router    *router.Router
	Tenants   *limiter.TenantLimiter
	Budget    *limiter.Budget

	config      *wire.Config
	gathers     map[uint64]*gather
	attempts    map[uint64]*attempt
	lastAttempt uint64
	actions     Actions
}

// New returns a machine without configuration, which refuses every query; attempt ids go on from firstAttempt.
func New(r *registrar.Registrar, ro *router.Router, firstAttempt uint64) *Machine {
	return &Machine{
		Registrar:   r,
		Router:      ro,
		Tenants:     limiter.NewTenantLimiter(),
		Budget:      limiter.NewBudget(budgetTokens),
		config:      &wire.Config{},
		gathers:     map[uint64]*gather{},
		attempts:    map[uint64]*attempt{},
		lastAttempt: firstAttempt,
	}
}

// Config returns the configuration in force here.
func (m *Machine) Config() *wire.Config { return m.config }

// Configure puts a newer revision in force, and reports false for an older or equal one.
func (m *Machine) Configure(now time.Time, config *wire.Config) bool {
	if config.GetRevision() <= m.config.GetRevision() {
		return false
	}
	m.config = config
	m.Registrar.Configure(config)
	m.Tenants.Configure(now, config.GetTenants())
	return true
}

// Take returns the actions gathered since the last call.
func (m *Machine) Take() Actions {
	taken := m.actions
	m.actions = Actions{}
	return taken
}

// InFlight returns how many queries have no answer yet.
func (m *Machine) InFlight() int { return len(m.gathers) }

// Start takes a query and answers it at once where it can't be served.
func (m *Machine) Start(now time.Time, query Query) {
	service := cataloger.FindService(m.config, query.Service)
	if service == nil {
		m.refuse(now, query, ReasonUnknownService, 0)
		return
	}
	if ok, wait := m.Tenants.Admit(now, query.Tenant); !ok {
		m.refuse(now, query, ReasonTenantLimit, wait)
		return
	}
	choice, ok := m.chooseVersion(query)
	if !ok {
		m.refuse(now, query, ReasonNoUpstream, retryAfterBusy)
		return
	}
	g := newGather(query, choice.Manifest)
	m.gathers[query.ID] = g
	for _, s := range g.shards {
		m.sendFirst(now, g, s)
	}
	m.finishIfDone(now, g)
}

// Reply takes an upstream's reply to an attempt; one that does not fit its attempt counts as a failure.
func (m *Machine) Reply(now time.Time, id uint64, reply *wire.SearchResponse) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	if reply.GetLeaving() {
		m.Registrar.MarkLeaving(a.upstream, a.incarnation)
	}
	if !a.fits(reply) {
		m.Fail(now, id, Failure{})
		return
	}
	m.endAttempt(a, now.Sub(a.sentAt))
	a.shard.rows = reply.GetRows()
	a.shard.done = true
	m.cancelRivals(a.shard)
	m.finishIfDone(now, a.gather)
}

// Fail takes the end of an attempt without a usable reply.
func (m *Machine) Fail(now time.Time, id uint64, failure Failure) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	m.endAttempt(a, 0)
	if failure.Leaving {
		m.Registrar.MarkLeaving(a.upstream, a.incarnation)
	}
	if failure.Shed {
		m.Budget.Drain()
	}
	if len(a.shard.attempts) == 0 {
		m.sendRetry(now, a.gather, a.shard)
	}
	m.finishIfDone(now, a.gather)
}

// Abandon drops a query whose caller has gone.
func (m *Machine) Abandon(id uint64) {
	g, ok := m.gathers[id]
	if !ok {
		return
	}
	m.dropGather(g)
}

// Tick answers the queries whose time is up, and ends leases.
func (m *Machine) Tick(now time.Time) {
	m.Registrar.Expire(now)
	for _, g := range m.gathers {
		if !now.Before(g.query.Deadline.Add(-answerMargin)) {
			m.finish(now, g, ReasonDeadline)
		}
	}
}

func (m *Machine) chooseVersion(query Query) (versioner.Choice, bool) {
	manifests := m.Registrar.Manifests(query.Service)
	return versioner.Choose(manifests, query.Required, func(version uint64, shard string) bool {
		return len(m.Registrar.Replicas(query.Service, version, shard)) > 0
	})
}

func (m *Machine) refuse(now time.Time, query Query, reason Reason, retryAfter time.Duration) {
	m.actions.Answers = append(m.actions.Answers, Answer{
		Query:      query,
		Outcome:    wire.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		Revision:   m.config.GetRevision(),
		RetryAfter: retryAfter,
		Finished:   now,
	})
}

func (m *Machine) sendFirst(now time.Time, g *gather, s *shardState) {
	m.Budget.Earn()
	m.send(now, g, s, AttemptFirst)
}

func (m *Machine) sendRetry(now time.Time, g *gather, s *shardState) {
	if !m.Budget.Spend() {
		s.failed = true
		return
	}
	m.send(now, g, s, AttemptRetry)
}

func (m *Machine) send(now time.Time, g *gather, s *shardState, kind AttemptKind) {
	candidates := m.Registrar.Replicas(g.query.Service, g.manifest.GetVersion(), s.name)
	replica := m.Router.Pick(candidates, s.tried)
	if replica == nil {
		s.failed = true
		return
	}
	m.lastAttempt++
	a := &attempt{
		id:          m.lastAttempt,
		gather:      g,
		shard:       s,
		upstream:    replica.Upstream,
		incarnation: replica.Incarnation,
		sentAt:      now,
	}
	m.attempts[a.id] = a
	s.attempts = append(s.attempts, a)
	s.tried = append(s.tried, replica.Upstream)
	m.Router.Sent(replica.Upstream)
	m.actions.Sends = append(m.actions.Sends, Send{
		Query:    g.query.ID,
		Upstream: replica.Upstream,
		Address:  replica.Address,
		Request:  g.request(a),
		Deadline: g.query.Deadline.Add(-answerMargin),
		Kind:     kind,
	})
}

func (m *Machine) endAttempt(a *attempt, took time.Duration) {
	delete(m.attempts, a.id)
	a.shard.remove(a)
	m.Router.Done(a.upstream, took)
}

func (m *Machine) cancelRivals(s *shardState) {
	for len(s.attempts) > 0 {
		rival := s.attempts[0]
		m.endAttempt(rival, 0)
		m.actions.Cancels = append(m.actions.Cancels, rival.id)
	}
}

func (m *Machine) finishIfDone(now time.Time, g *gather) {
	if !g.isOver() {
		return
	}
	m.finish(now, g, ReasonUpstreams)
}

// finish answers with what has come in; reason is used where that is not everything.
func (m *Machine) finish(now time.Time, g *gather, reason Reason) {
	answer := g.answer(now, m.config.GetRevision(), reason)
	m.dropGather(g)
	m.actions.Answers = append(m.actions.Answers, answer)
}

func (m *Machine) dropGather(g *gather) {
	delete(m.gathers, g.query.ID)
	for _, s := range g.shards {
		m.cancelRivals(s)
	}
}
