package balancer

import (
	"math/rand/v2"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/estimator"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

const (
	// latencySmoothing is the weight of a new sample in a moving average.
	latencySmoothing = 0.2
	// defaultLatency is assumed until a service has answered once.
	defaultLatency = 10 * time.Millisecond
	// A replica counts as stalled if its oldest attempt in flight has taken longer than stallFactor times the service's typical latency.
	stallFactor = 3
	// initialBackoff is how long a replica is avoided after one failure; it doubles with each consecutive failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// crossZonePenalty is the round-trip time that another availability zone adds to an attempt.
	crossZonePenalty = 2 * time.Millisecond
	// exploreProbability is the share of picks that go to a random replica, other than lost and recently failed ones, so that one that was slow is tried again.
	exploreProbability = 0.02
)

// Replica is one incarnation of a replica that attempts may be sent to.
type Replica struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// BornMs is when the replica started, in milliseconds since the Unix epoch; it differs between incarnations of one ID.
	BornMs int64
	// Lost is set if no control instance is in contact with the replica; it is a last resort.
	Lost bool
	// ColdUntil is when the replica is warm by its heartbeats; the zero time if they do not say that it was cold.
	ColdUntil time.Time
}

// ReplicaState is a replica with the state that this instance has observed.
type ReplicaState struct {
	Replica

	latency  time.Duration
	estimate estimator.Replica
	load     loadReport
	// hash names the replica in conditions.
	hash uint64
	// service is the state of the replica's service.
	service    *serviceState
	startTimes []time.Time
	// relayedTimes holds the start times of the attempts that this instance relays for peers.
	relayedTimes []time.Time
	// isDeviating is set while the replica is in the balancer's list of those that deviate.
	isDeviating         bool
	consecutiveFailures int
	backoffUntil        time.Time
	// pacer is nil unless the replica states a rate limit.
	pacer *limiter.Pacer
	// leavingSince is when the replica first stated that it is leaving; zero if it has not.
	leavingSince time.Time
	// pausedUntil is when the pause ends that the replica has asked for.
	pausedUntil time.Time
	// coldUntil is when the replica is warm by its responses, and coldPacer is nil unless it is cold or was until recently.
	coldUntil time.Time
	coldPacer *limiter.AlignedPacer
}

// Latency returns the moving average of the replica's latency, 0 before the first sample.
func (r *ReplicaState) Latency() time.Duration { return r.latency }

// HasFreeSlot reports whether this instance's attempts, including those that it relays, leave a slot of the replica free; without a number of slots there is no limit.
func (r *ReplicaState) HasFreeSlot() bool {
	return r.Slots == 0 || r.InFlight()+len(r.relayedTimes) < r.Slots
}

// InFlight returns how many attempts are in flight.
func (r *ReplicaState) InFlight() int { return len(r.startTimes) }

type serviceState struct {
	replicas    []*ReplicaState
	meanLatency time.Duration
	estimate    estimator.Service
}

// Balancer tracks the state of all replicas; it is not safe for concurrent use.
type Balancer struct {
	zone         string
	random       *rand.Rand
	services     map[string]*serviceState
	replicasByID map[string]*ReplicaState
	latencies    map[string]*latencyWindow
	estimator    *estimator.Estimator
	// replicasByHash holds the replicas by the hashes that conditions name.
	replicasByHash map[uint64]*ReplicaState
	// deviating holds replicas of the own availability zone whose conditions may have to be told to peers.
	deviating []*ReplicaState
	// fleet is the share of failed attempts at all replicas at fleetFailuresAt.
	fleet           estimator.Failures
	fleetFailuresAt time.Time
	// sortSpace is reused to find medians.
	sortSpace []time.Duration
	// instances is the number of entry instances that share the rate limits of replicas.
	instances int
	// drainedZones holds the availability zones to whose replicas nothing is sent.
	drainedZones map[string]bool
	// drainEnds is when the drains of availability zones ended.
	drainEnds  map[string]time.Time
	coldPolicy ColdPolicy
	coldShare  coldShare
}

// New returns a balancer without replicas for an instance in the availability zone.
func New(zone string, random *rand.Rand) *Balancer {
	return &Balancer{
		zone:         zone,
		random:       random,
		services:     map[string]*serviceState{},
		replicasByID: map[string]*ReplicaState{},
		latencies:    map[string]*latencyWindow{},
		estimator:    estimator.New(),
		instances:    1,

		replicasByHash: map[uint64]*ReplicaState{},
		drainEnds:      map[string]time.Time{},
		coldShare: coldShare{
			instances: 1,
		},
	}
}

// SetInstances sets the number of entry instances that share the rate limits of replicas. It applies to each limit stated from now on.
func (b *Balancer) SetInstances(count int) { b.instances = count }

// Put adds a replica or updates its announced properties. Its observed state is kept unless its incarnation, service or address has changed.
func (b *Balancer) Put(replica Replica) {
	existing, ok := b.replicasByID[replica.ID]
	if ok && existing.BornMs == replica.BornMs && existing.Service == replica.Service && existing.Address == replica.Address {
		existing.Replica = replica
		return
	}
	b.Remove(replica.ID)
	added := &ReplicaState{
		Replica: replica,
		hash:    hashReplica(replica.ID),
	}
	b.replicasByID[replica.ID] = added
	b.replicasByHash[added.hash] = added
	s := b.ensureService(replica.Service)
	added.service = s
	s.replicas = append(s.replicas, added)
}

// Remove deletes a replica; its attempts in flight continue.
func (b *Balancer) Remove(id string) {
	existing, ok := b.replicasByID[id]
	if !ok {
		return
	}
	delete(b.replicasByID, id)
	delete(b.replicasByHash, existing.hash)
	s := b.services[existing.Service]
	for i, other := range s.replicas {
		if other == existing {
			s.replicas = append(s.replicas[:i:i], s.replicas[i+1:]...)
			break
		}
	}
	if len(s.replicas) == 0 {
		delete(b.services, existing.Service)
	}
}

// Find returns the replica with the ID, or nil.
func (b *Balancer) Find(id string) *ReplicaState { return b.replicasByID[id] }

// Replicas returns all replicas that are not lost, except those in drained availability zones.
func (b *Balancer) Replicas() []Replica {
	var replicas []Replica
	for _, r := range b.replicasByID {
		if !r.Lost && !b.drainedZones[r.Zone] {
			replicas = append(replicas, r.Replica)
		}
	}
	return replicas
}

// Load is the load that this instance puts on all replicas.
type Load struct {
	// AttemptsInFlight is the number of attempts in flight, and SaturatedReplicas is the number of replicas on which they occupy every slot.
	AttemptsInFlight  int
	SaturatedReplicas int
	// LimitedReplicas is the number of replicas that state a rate limit.
	LimitedReplicas int
}

// Load returns the current load.
func (b *Balancer) Load() Load {
	var l Load
	for _, r := range b.replicasByID {
		l.AttemptsInFlight += r.InFlight()
		if !r.HasFreeSlot() {
			l.SaturatedReplicas++
		}
		if r.pacer != nil {
			l.LimitedReplicas++
		}
	}
	return l
}

// Pick is PickFor for a request of typical work.
func (b *Balancer) Pick(now time.Time, service string, accept func(*ReplicaState) bool) *ReplicaState {
	return b.PickFor(now, Demand{
		Service: service,
	}, accept)
}

// PickFor returns the replica with the lowest cost, or sometimes a random one, among those that accept an attempt now and for which accept returns true, or nil if there is none.
func (b *Balancer) PickFor(now time.Time, demand Demand, accept func(*ReplicaState) bool) *ReplicaState {
	s := b.services[demand.Service]
	if s == nil {
		return nil
	}
	if demand.Work == 0 {
		demand.Work = s.typicalLatency()
	}
	var best *ReplicaState
	var bestCost time.Duration
	explore := b.random.Float64() < exploreProbability
	for _, candidate := range s.replicas {
		if !b.isEligible(now, candidate) || b.nextSend(now, candidate).After(now) || !accept(candidate) {
			continue
		}
		cost := b.cost(now, s, candidate, demand.Work)
		if explore && !candidate.IsBackingOff(now) && !candidate.isLastResort() {
			cost = time.Duration(b.random.Int64N(int64(time.Millisecond)))
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// cost returns the expected time to a useful reply of an attempt at the replica, plus penalties. Random jitter breaks ties, so that instances do not all pick the same replica.
func (b *Balancer) cost(now time.Time, s *serviceState, r *ReplicaState, work time.Duration) time.Duration {
	var cost Cost
	b.setCost(&cost, now, s, r, work)
	return cost.Total() + time.Duration(b.random.Int64N(int64(time.Millisecond)/4))
}

// isLastResort reports whether the replica may stop at any moment or has stopped already.
func (r *ReplicaState) isLastResort() bool { return r.Lost || !r.leavingSince.IsZero() }

func (r *ReplicaState) oldestAttemptAge(now time.Time) time.Duration {
	if len(r.startTimes) == 0 {
		return 0
	}
	return now.Sub(r.startTimes[0])
}

// IsBackingOff reports whether the replica is avoided after a failure. Once the backoff has ended, one attempt at a time probes the replica.
func (r *ReplicaState) IsBackingOff(now time.Time) bool {
	return r.consecutiveFailures > 0 && (now.Before(r.backoffUntil) || r.InFlight() > 0)
}

func (s *serviceState) typicalLatency() time.Duration {
	if s.meanLatency == 0 {
		return defaultLatency
	}
	return s.meanLatency
}

// RecordStart records the start of an attempt.
func (b *Balancer) RecordStart(now time.Time, r *ReplicaState) {
	if r.pacer != nil {
		r.pacer.Take(now)
	}
	b.takeColdPermit(now, r)
	r.startTimes = append(r.startTimes, now)
}

// RecordEnd records the end of the attempt that started at the given time.
func (b *Balancer) RecordEnd(r *ReplicaState, startedAt time.Time) {
	r.startTimes = removeTime(r.startTimes, startedAt)
}

// removeTime removes the time from the list once.
func removeTime(times []time.Time, removed time.Time) []time.Time {
	for i, t := range times {
		if t.Equal(removed) {
			return append(times[:i], times[i+1:]...)
		}
	}
	return times
}

// RecordSuccess records the latency of a successful answer to a request of the class. The reply times of a request at many services are recorded with RecordAnswer and RecordReplyTimes instead.
func (b *Balancer) RecordSuccess(now time.Time, r *ReplicaState, class string, latency time.Duration) {
	b.RecordAnswer(r, class, latency)
	work := b.estimator.Work(class).Mean
	if work == 0 {
		work = latency
	}
	b.RecordLateReplyTime(now, ReplyTime{
		Replica: r,
		Elapsed: latency,
	}, work)
	b.estimator.RecordWork(now, class, time.Duration(float64(latency)/r.slowness(now)))
}

// RecordAnswer records the latency of a successful answer without comparing it with those of other replicas.
func (b *Balancer) RecordAnswer(r *ReplicaState, class string, latency time.Duration) {
	r.consecutiveFailures = 0
	r.latency = updateAverage(r.latency, latency)
	r.service.meanLatency = updateAverage(r.service.meanLatency, latency)
	b.latenciesOf(class).observe(latency)
}

// RecordMinLatency records that the replica has not answered a request of the given work, 0 if unknown, within the time waited, which is only a lower bound of its latency.
func (b *Balancer) RecordMinLatency(now time.Time, r *ReplicaState, work, waited time.Duration) {
	if waited > r.latency {
		r.latency = updateAverage(r.latency, waited)
	}
	b.estimator.RecordSlowReply(now, &r.service.estimate, &r.estimate, work, waited)
	b.noteDeviation(now, r)
}

// RecordFailure records a failed attempt and starts a backoff.
func (b *Balancer) RecordFailure(now time.Time, r *ReplicaState) {
	backoff := min(initialBackoff<<min(r.consecutiveFailures, 10), maxBackoff)
	r.consecutiveFailures++
	r.backoffUntil = now.Add(backoff)
	b.estimator.RecordLoss(now, &r.estimate)
	b.noteDeviation(now, r)
}

// HedgeDelay returns how long an attempt of the class may take before it counts as a straggler, 0 if no latency was observed.
func (b *Balancer) HedgeDelay(class string) time.Duration {
	latencies := b.latenciesOf(class)
	return min(latencies.quantile(hedgeQuantile), maxHedgeMedians*latencies.quantile(0.5))
}

// MedianLatency returns the median latency of attempts of the class, 0 if none was observed.
func (b *Balancer) MedianLatency(class string) time.Duration {
	return b.latenciesOf(class).quantile(0.5)
}

func (b *Balancer) ensureService(name string) *serviceState {
	state, ok := b.services[name]
	if !ok {
		state = &serviceState{}
		b.services[name] = state
	}
	return state
}

const (
	// hedgeQuantile is the share of attempts that are answered within the hedge delay. The remaining tenth, which may be hedged, fits twice into a usual retry ratio of 0.2.
	hedgeQuantile = 0.9
	// maxHedgeMedians is the longest hedge delay, in median latencies. While many replicas are slow, the quantile is the latency of a slow one.
	maxHedgeMedians = 2
)

// latenciesOf returns the latencies of the class, and adds them if there are none.
func (b *Balancer) latenciesOf(class string) *latencyWindow {
	l, ok := b.latencies[class]
	if !ok {
		l = &latencyWindow{}
		b.latencies[class] = l
	}
	return l
}

func updateAverage(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(latencySmoothing*float64(sample-average))
}
