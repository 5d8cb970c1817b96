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
	// answerMargin separates the end of gathering from the caller's deadline.
	answerMargin = 10 * time.Millisecond
	// retryAfterBusy is the retry delay reported to a caller whose query cannot be answered; on overload, the expected queue wait is reported if that is longer.
	retryAfterBusy = time.Second
	// maxBudgetTokens limits the retries and hedges in one burst.
	maxBudgetTokens = 100
	// maxRestarts limits how often one query is restarted on a newer version.
	maxRestarts = 2
)

// Machine is the state machine of one entry instance: its queries in flight and the state used to route them.
type Machine struct {
	Registrar     *registrar.Registrar
	Router        *router.Router
	TenantLimiter *limiter.TenantLimiter
	RetryBudget   *limiter.Budget
	Owners        *router.Owners

	config        *wire.Config
	gathers       map[uint64]*gather
	attempts      map[uint64]*attempt
	lastAttemptID uint64
	queue         *queuer.Queuer[*task]
	deadlines     *queuer.Heap[queryDeadline]
	hedges        *queuer.Heap[hedgeTimer]
	// incomplete are the queries that may have an unplaced shard, by query ID.
	incomplete map[uint64]*gather
	// withdrawnUntil is the time until which each denied holding is ignored.
	withdrawnUntil map[withdrawnKey]time.Time
	nextCleanup    time.Time
	// forwardedTo are the attempts forwarded to other owners, by instance name.
	forwardedTo map[string]*ownerAttempts
	// ownerWaits are the queue waits that other owners have reported, by replica group.
	ownerWaits map[string]ownerWait
	actions    Actions
}

// queryDeadline schedules the expiry of a query.
type queryDeadline struct {
	at      time.Time
	queryID uint64
}

// New returns a machine without a configuration, which refuses every query; attempt IDs continue after lastAttemptID.
func New(r *registrar.Registrar, ro *router.Router, lastAttemptID uint64) *Machine {
	return &Machine{
		Registrar:      r,
		Router:         ro,
		TenantLimiter:  limiter.NewTenantLimiter(),
		RetryBudget:    limiter.NewBudget(maxBudgetTokens),
		config:         &wire.Config{},
		gathers:        map[uint64]*gather{},
		attempts:       map[uint64]*attempt{},
		lastAttemptID:  lastAttemptID,
		queue:          queuer.New[*task](),
		deadlines:      queuer.NewHeap(func(a, b queryDeadline) bool { return a.at.Before(b.at) }),
		hedges:         queuer.NewHeap(func(a, b hedgeTimer) bool { return a.at.Before(b.at) }),
		incomplete:     map[uint64]*gather{},
		withdrawnUntil: map[withdrawnKey]time.Time{},
		Owners:         router.NewOwners(router.Instance{}),
		forwardedTo:    map[string]*ownerAttempts{},
		ownerWaits:     map[string]ownerWait{},
	}
}

// Config returns the current configuration.
func (m *Machine) Config() *wire.Config { return m.config }

// Configure applies the configuration and returns true, or returns false if its revision is not newer than the current one.
func (m *Machine) Configure(now time.Time, config *wire.Config) bool {
	if config.GetRevision() <= m.config.GetRevision() {
		return false
	}
	m.config = config
	m.Registrar.Configure(config)
	m.TenantLimiter.Configure(now, config.GetTenants())
	return true
}

// TakeActions returns the actions accumulated since the last call and clears them.
func (m *Machine) TakeActions() Actions {
	actions := m.actions
	m.actions = Actions{}
	return actions
}

// InFlight returns the number of unanswered queries, including sub-requests forwarded by peers.
func (m *Machine) InFlight() int { return len(m.gathers) }

// StartQuery fans the query out to its shards, or refuses it immediately if it cannot be served.
func (m *Machine) StartQuery(now time.Time, query Query) {
	service := cataloger.FindService(m.config, query.Service)
	if service == nil {
		m.refuse(now, query, ReasonUnknownService, 0)
		return
	}
	if ok, wait := m.TenantLimiter.Admit(now, query.Tenant); !ok {
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
	m.deadlines.Push(queryDeadline{
		at:      g.deadline(),
		queryID: query.ID,
	})
	m.fanOut(now, g)
}

// HandleReply processes an upstream's reply; a reply that does not match its attempt counts as a failure.
func (m *Machine) HandleReply(now time.Time, id uint64, reply *wire.SearchResponse) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	if reply.GetLeaving() {
		m.Registrar.MarkLeaving(a.replica.Upstream, a.replica.Incarnation)
	}
	if !a.matches(reply) {
		m.HandleFailure(now, id, Failure{
			NotHeld: reply.GetVersion() != a.version,
		})
		return
	}
	s := a.shard
	m.recordReply(now, a)
	s.rows = reply.GetRows()
	s.isAnswered = true
	m.endAttempt(now, a)
	m.cancelAttempts(now, s)
	m.finishIfSettled(now, s.gather)
}

// HandleFailure processes the end of an attempt that got no usable reply.
func (m *Machine) HandleFailure(now time.Time, id uint64, failure Failure) {
	a, ok := m.attempts[id]
	if !ok {
		return
	}
	m.recordFailure(now, a, failure)
	m.endAttempt(now, a)
	s := a.shard
	if s.isUnplaced() {
		m.recoverShard(now, s)
	}
	m.finishIfSettled(now, s.gather)
}

// recordReply updates the latency statistics with the reply to an attempt.
func (m *Machine) recordReply(now time.Time, a *attempt) {
	service := a.shard.gather.query.Service
	latency := now.Sub(a.sentAt)
	if a.owner != nil {
		m.Router.RecordOwnerSuccess(a.replica.Upstream, service, latency)
		m.markOwnerResponsive(now, a)
		return
	}
	m.Router.RecordSuccess(a.replica.Upstream, service, latency)
	m.queue.Observe(now, a.replica.Upstream, latency, m.Router.StallThreshold(service))
}

// recordFailure updates the replica's routing state with the failure of an attempt.
func (m *Machine) recordFailure(now time.Time, a *attempt, failure Failure) {
	if a.owner != nil {
		m.recordForwardFailure(now, a, failure)
		return
	}
	switch {
	case failure.Leaving:
		m.Registrar.MarkLeaving(a.replica.Upstream, a.replica.Incarnation)
	case failure.NotHeld:
		m.markWithdrawn(now, a)
	default:
		m.Router.RecordFailure(now, a.replica.Upstream)
	}
	if failure.Shed {
		m.RetryBudget.Suspend(now)
	}
}

// CancelQuery cancels a query, for example because its caller has disconnected.
func (m *Machine) CancelQuery(now time.Time, id uint64) {
	g, ok := m.gathers[id]
	if !ok {
		return
	}
	m.removeGather(now, g)
}

// Tick runs the periodic work: it expires leases and queries, fails the attempts at unresponsive owners, hedges stragglers, retries unplaced shards and sends queued sub-requests.
func (m *Machine) Tick(now time.Time) {
	m.Registrar.Expire(now)
	m.removeExpired(now)
	m.expireQueries(now)
	m.failUnresponsiveOwners(now)
	m.hedgeStragglers(now)
	m.recoverIncomplete(now)
	m.sendAllQueued(now)
}

// expireQueries finishes the queries that have reached their deadline.
func (m *Machine) expireQueries(now time.Time) {
	for {
		timer, ok := m.deadlines.Peek()
		if !ok || now.Before(timer.at) {
			return
		}
		m.deadlines.Pop()
		if g, ok := m.gathers[timer.queryID]; ok {
			m.finish(now, g, ReasonDeadline)
		}
	}
}

func (m *Machine) refuse(now time.Time, query Query, reason Reason, retryAfter time.Duration) {
	m.actions.Answers = append(m.actions.Answers, Answer{
		Query:          query,
		Outcome:        wire.Outcome_OUTCOME_NOT_RUN,
		Reason:         reason,
		ConfigRevision: m.config.GetRevision(),
		RetryAfter:     retryAfter,
		FinishedAt:     now,
	})
}

// fanOut places the first attempt of every shard.
func (m *Machine) fanOut(now time.Time, g *gather) {
	for _, s := range g.shards {
		m.place(now, s, AttemptFirst)
	}
	m.finishIfSettled(now, g)
}

func (m *Machine) finishIfSettled(now time.Time, g *gather) {
	if g.isFinished || !g.isSettled() {
		return
	}
	m.finish(now, g, ReasonUpstreamsFailed)
}

// finish answers the query with the rows received so far; reason applies only if shards are missing.
func (m *Machine) finish(now time.Time, g *gather, reason Reason) {
	if g.forwarded != nil {
		m.returnForwarded(now, g)
		m.removeGather(now, g)
		return
	}
	answer := g.buildAnswer(now, m.config.GetRevision(), reason)
	m.removeGather(now, g)
	m.actions.Answers = append(m.actions.Answers, answer)
}

func (m *Machine) removeGather(now time.Time, g *gather) {
	g.isFinished = true
	delete(m.gathers, g.query.ID)
	delete(m.incomplete, g.query.ID)
	m.cancelShards(now, g)
}

// cancelShards cancels all queued and in-flight sub-requests of the query.
func (m *Machine) cancelShards(now time.Time, g *gather) {
	for _, s := range g.shards {
		m.dequeue(s)
	}
	for _, s := range g.shards {
		m.cancelAttempts(now, s)
	}
}

// chooseVersion selects the version to search among those announced for the query's service.
func (m *Machine) chooseVersion(now time.Time, query Query) (versioner.Choice, bool) {
	manifests := m.Registrar.Manifests(query.Service)
	return versioner.Choose(manifests, query.RequiredCoverage, func(version uint64, shard string) bool {
		return m.isAvailable(now, query.Service, version, shard)
	})
}
