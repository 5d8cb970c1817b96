package gatherer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/queuer"
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
	budgetTokens = 100
	// mostRestarts bounds how often one query is begun anew.
	mostRestarts = 2
)

// Machine is one entry instance's queries in flight and what they are routed by.
type Machine struct {
	Registrar *registrar.Registrar
	Router    *router.Router
	Tenants   *limiter.TenantLimiter
	Budget    *limiter.Budget
	Owners    *router.Owners

	config      *wire.Config
	gathers     map[uint64]*gather
	attempts    map[uint64]*attempt
	lastAttempt uint64
	queue       *queuer.Queuer[*task]
	deadlines   *queuer.Heap[deadline]
	hedges      *queuer.Heap[hedge]
	// incomplete are the queries with a shard that is neither answered nor asked.
	incomplete map[uint64]*gather
	withdrawn  map[withdrawnKey]time.Time
	cleanAt    time.Time
	// handed are the sub-requests that other owners have, by owner.
	handed map[string]*handedTo
	// waits are what other owners have said of their queues, by group.
	waits   map[string]ownerWait
	actions Actions
}

type deadline struct {
	at    time.Time
	query uint64
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
		queue:       queuer.New[*task](),
		deadlines:   queuer.NewHeap(func(a, b deadline) bool { return a.at.Before(b.at) }),
		hedges:      queuer.NewHeap(func(a, b hedge) bool { return a.at.Before(b.at) }),
		incomplete:  map[uint64]*gather{},
		withdrawn:   map[withdrawnKey]time.Time{},
		Owners:      router.NewOwners(router.Instance{}),
		handed:      map[string]*handedTo{},
		waits:       map[string]ownerWait{},
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
	choice, ok := m.chooseVersion(now, query)
	if !ok {
		m.refuse(now, query, ReasonNoUpstream, retryAfterBusy)
		return
	}
	g := newGather(query, choice.Manifest)
	if ok, wait := m.admit(now, g); !ok {
		m.refuse(now, query, ReasonOverload, wait)
		return
	}
	m.gathers[query.ID] = g
	m.deadlines.Push(deadline{
		at:    g.deadline(),
		query: query.ID,
	})
	m.fanOut(now, g)
}

// Reply takes an upstream's reply to an attempt; one that does not fit its attempt counts as a failure.
func (m *Machine) Reply(now time.Time, id uint64, reply *wire.SearchResponse) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	if reply.GetLeaving() {
		m.Registrar.MarkLeaving(a.replica.Upstream, a.replica.Incarnation)
	}
	if !a.fits(reply) {
		m.Fail(now, id, Failure{
			NotHeld: reply.GetVersion() != a.version,
		})
		return
	}
	s := a.shard
	m.learnAnswer(now, a)
	s.rows = reply.GetRows()
	s.done = true
	m.endAttempt(now, a)
	m.cancelRivals(now, s)
	m.finishIfOver(now, s.gather)
}

// Fail takes the end of an attempt without a usable reply.
func (m *Machine) Fail(now time.Time, id uint64, failure Failure) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	m.learn(now, a, failure)
	m.endAttempt(now, a)
	s := a.shard
	if s.isLost() {
		m.reconsider(now, s)
	}
	m.finishIfOver(now, s.gather)
}

// learnAnswer keeps what a reply says about its replica.
func (m *Machine) learnAnswer(now time.Time, a *attempt) {
	service := a.shard.gather.query.Service
	took := now.Sub(a.sentAt)
	if a.via != nil {
		m.Router.AnsweredByOwner(a.replica.Upstream, service, took)
		m.hearOwner(now, a)
		return
	}
	m.Router.Answered(a.replica.Upstream, service, took)
	m.queue.Observe(now, a.replica.Upstream, took, m.Router.Stall(service))
}

// learn keeps what a failure says about its replica.
func (m *Machine) learn(now time.Time, a *attempt, failure Failure) {
	if a.via != nil {
		m.learnFromOwner(now, a, failure)
		return
	}
	switch {
	case failure.Leaving:
		m.Registrar.MarkLeaving(a.replica.Upstream, a.replica.Incarnation)
	case failure.NotHeld:
		m.markWithdrawn(now, a)
	default:
		m.Router.Failed(now, a.replica.Upstream)
	}
	if failure.Shed {
		m.Budget.Suspend(now)
	}
}

// Abandon drops a query whose caller has gone.
func (m *Machine) Abandon(now time.Time, id uint64) {
	g, ok := m.gathers[id]
	if !ok {
		return
	}
	m.dropGather(now, g)
}

// Tick answers the queries whose time is up, hedges stragglers, asks again where a replica has appeared, and ends leases.
func (m *Machine) Tick(now time.Time) {
	m.Registrar.Expire(now)
	m.clean(now)
	m.endOverdue(now)
	m.giveUpOwners(now)
	m.hedgeStragglers(now)
	m.reconsiderAll(now)
	m.pullAll(now)
}

func (m *Machine) endOverdue(now time.Time) {
	for {
		next, ok := m.deadlines.Peek()
		if !ok || now.Before(next.at) {
			return
		}
		m.deadlines.Pop()
		if g, ok := m.gathers[next.query]; ok {
			m.finish(now, g, ReasonDeadline)
		}
	}
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

// fanOut asks every shard for the first time.
func (m *Machine) fanOut(now time.Time, g *gather) {
	for _, s := range g.shards {
		m.place(now, s, AttemptFirst)
	}
	m.finishIfOver(now, g)
}

func (m *Machine) finishIfOver(now time.Time, g *gather) {
	if g.over || !g.isOver() {
		return
	}
	m.finish(now, g, ReasonUpstreams)
}

// finish answers with what has come in; reason is used where that is not everything.
func (m *Machine) finish(now time.Time, g *gather, reason Reason) {
	if g.forwarded != nil {
		m.giveBack(now, g)
		m.dropGather(now, g)
		return
	}
	answer := g.answer(now, m.config.GetRevision(), reason)
	m.dropGather(now, g)
	m.actions.Answers = append(m.actions.Answers, answer)
}

func (m *Machine) dropGather(now time.Time, g *gather) {
	g.over = true
	delete(m.gathers, g.query.ID)
	delete(m.incomplete, g.query.ID)
	m.dropShards(now, g)
}

// dropShards takes back everything that a query has asked for.
func (m *Machine) dropShards(now time.Time, g *gather) {
	for _, s := range g.shards {
		m.unqueue(s)
	}
	for _, s := range g.shards {
		m.cancelRivals(now, s)
	}
}

func (m *Machine) chooseVersion(now time.Time, query Query) (versioner.Choice, bool) {
	manifests := m.Registrar.Manifests(query.Service)
	return versioner.Choose(manifests, query.Required, func(version uint64, shard string) bool {
		return m.isLive(now, query.Service, version, shard)
	})
}
