package scatterer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

// The simulated fleet and its ten heavy seconds, in which half of the replicas reject three fifths of their requests and the demand rises.
const (
	simShards          = 90
	simInstances       = 30
	simRelays          = 3
	simSlots           = 2
	simQueriesPerSec   = 48
	simWaveFactor      = 1.6
	simRejectedShare   = 0.6
	simHeavyFrom       = 8 * time.Second
	simHeavyUntil      = 18 * time.Second
	simWaveFrom        = 10 * time.Second
	simWaveUntil       = 15 * time.Second
	simPauseLength     = 120 * time.Millisecond
	simPauseInterval   = 3 * time.Second
	simTarget          = 150 * time.Millisecond
	simRepeatRatio     = 0.2
	simRepeatBurst     = 20
	simNoise           = 2.5
	simMinShare        = 0.9
	simRelayFlushDelay = 3 * time.Millisecond
)

var (
	simZones = []string{"a", "b", "c"}
	// simCosts differ twenty-fold; most requests are cheap.
	simCosts = []time.Duration{1500 * time.Microsecond, 1500 * time.Microsecond, 1500 * time.Microsecond, 6 * time.Millisecond, 6 * time.Millisecond, 30 * time.Millisecond}
)

// simReplica is a replica with two slots and a queue.
type simReplica struct {
	id, zone  string
	speed     float64
	rejects   bool
	pauseAt   time.Duration
	slotsFree [simSlots]time.Time
}

// skipPauses returns when work of the given length ends.
func (r *simReplica) skipPauses(from time.Time, work time.Duration) time.Time {
	for work > 0 {
		phase := (from.Sub(start) + r.pauseAt) % simPauseInterval
		if phase < simPauseLength {
			from = from.Add(simPauseLength - phase)
			continue
		}
		step := min(work, simPauseInterval-phase)
		from = from.Add(step)
		work -= step
	}
	return from
}

// finish returns when an attempt that arrives now would end, and its slot.
func (r *simReplica) finish(now time.Time, work time.Duration) (time.Time, int) {
	slot := 0
	for i := range r.slotsFree {
		if r.slotsFree[i].Before(r.slotsFree[slot]) {
			slot = i
		}
	}
	begin := now
	if r.slotsFree[slot].After(begin) {
		begin = r.slotsFree[slot]
	}
	return r.skipPauses(begin, work), slot
}

type simInstance struct {
	number   int
	zone     string
	policies *Policies
	random   *rand.Rand
	turn     int
}

// simQuery is a query in progress.
type simQuery struct {
	origin *simInstance
	job    *Job
	cost   time.Duration
	at     time.Time
	done   bool
	// told holds the zones whose relay has sent its conditions, and relayed what each relay has seen.
	told    map[string]bool
	relayed map[*simInstance][]balancer.ReplyTime
}

type simEvent struct {
	at     time.Time
	number int
	run    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].number < q[j].number
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simChooser chooses among the replicas of a shard that were not tried; nil keeps the choice of the instance's balancer.
type simChooser func(s *simulation, o *simInstance, a *Attempt, work time.Duration, candidates []*simReplica) *simReplica

type simulation struct {
	now       time.Time
	queue     simQueue
	number    int
	random    *rand.Rand
	replicas  map[string]*simReplica
	shards    [simShards][]*simReplica
	instances []*simInstance
	route     *matcher.Route
	choose    simChooser
	// rejectedShare is the share of requests that half of the replicas reject.
	rejectedShare float64
	// inFlight and latency are what the baselines observe.
	baseline map[*simInstance]map[string]*simObserved

	queries, served, firsts, extras, crossZone int
	latencies                                  []time.Duration
	reasons                                    map[string]int
}

// simObserved is what an instance has observed of a replica by the policy of the previous release.
type simObserved struct {
	latency      time.Duration
	starts       []time.Time
	failures     int
	backoffUntil time.Time
}

func newSimulation(seed uint64, choose simChooser) *simulation {
	s := &simulation{
		now:      start,
		random:   rand.New(rand.NewPCG(seed, 1)),
		replicas: map[string]*simReplica{},
		route:    shardedRoute(simShards, simMinShare),
		choose:   choose,

		rejectedShare: simRejectedShare,

		baseline: map[*simInstance]map[string]*simObserved{},
		reasons:  map[string]int{},
	}
	s.route.TargetLatency = simTarget
	for shard := range simShards {
		for _, zone := range simZones {
			r := &simReplica{
				id:      fmt.Sprintf("shard-%d-%s", shard, zone),
				zone:    zone,
				speed:   0.8 + 0.5*s.random.Float64(),
				rejects: s.random.Float64() < 0.5,
				pauseAt: time.Duration(s.random.Int64N(int64(simPauseInterval))),
			}
			s.replicas[r.id] = r
			s.shards[shard] = append(s.shards[shard], r)
		}
	}
	for i := range simInstances {
		s.instances = append(s.instances, s.newInstance(i, rand.New(rand.NewPCG(seed, uint64(i+2)))))
	}
	return s
}

func (s *simulation) newInstance(number int, random *rand.Rand) *simInstance {
	zone := simZones[number%len(simZones)]
	windows := map[string]*limiter.Window{}
	o := &simInstance{
		number: number,
		zone:   zone,
		random: random,
		policies: &Policies{
			Balancer:        balancer.New(zone, random),
			Shedder:         shedder.New(random),
			Screener:        screener.New(start),
			CallerAllowance: 5 * time.Millisecond,
			Overrun:         &Overrun{},
			RetryBudget: func(service string) *limiter.Window {
				if windows[service] == nil {
					windows[service] = limiter.NewWindow(limiter.WindowLimit{
						Ratio:  simRepeatRatio,
						Burst:  0.85 * simRepeatBurst / simInstances,
						Length: 10 * time.Second,
					})
				}
				return windows[service]
			},
		},
	}
	for shard := range simShards {
		for _, r := range s.shards[shard] {
			o.policies.Balancer.Put(balancer.Replica{
				ID:      r.id,
				Service: fmt.Sprintf("shard-%d", shard),
				Address: r.id,
				Zone:    r.zone,
				Slots:   simSlots,
			})
		}
	}
	s.baseline[o] = map[string]*simObserved{}
	return o
}

func (s *simulation) schedule(at time.Time, run func()) {
	s.number++
	heap.Push(&s.queue, simEvent{
		at:     at,
		number: s.number,
		run:    run,
	})
}

func (s *simulation) run() {
	s.schedule(start, s.arrive)
	for s.queue.Len() > 0 {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
}

func (s *simulation) isHeavy(at time.Time) bool {
	return !at.Before(start.Add(simHeavyFrom)) && at.Before(start.Add(simHeavyUntil))
}

// arrive starts a query and schedules the next one.
func (s *simulation) arrive() {
	elapsed := s.now.Sub(start)
	rate := float64(simQueriesPerSec)
	if elapsed >= simWaveFrom && elapsed < simWaveUntil {
		rate *= simWaveFactor
	}
	if elapsed < simHeavyUntil {
		s.schedule(s.now.Add(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))), s.arrive)
	}
	q := &simQuery{
		origin:  s.instances[s.random.IntN(simInstances)],
		cost:    simCosts[s.random.IntN(len(simCosts))],
		at:      s.now,
		told:    map[string]bool{},
		relayed: map[*simInstance][]balancer.ReplyTime{},
	}
	q.job = newJobAt(s.now, s.route, q.origin.policies)
	s.advance(q, q.job.Start(s.now))
}

// advance sends the attempts, notes the decision and schedules the next tick.
func (s *simulation) advance(q *simQuery, attempts []*Attempt) {
	for _, a := range attempts {
		s.send(q, a)
	}
	if q.done {
		return
	}
	if d := q.job.Decision(); d != nil {
		q.done = true
		s.note(q, d)
		return
	}
	at := q.job.NextTick()
	if least := s.now.Add(time.Millisecond); at.Before(least) {
		at = least
	}
	s.schedule(at, func() {
		if !q.done && !q.job.NextTick().After(s.now) {
			s.advance(q, q.job.Tick(s.now))
		}
	})
}

func (s *simulation) note(q *simQuery, d *Decision) {
	for relay, replies := range q.relayed {
		relay.policies.Balancer.RecordReplyTimes(s.now, s.route.Name, replies)
	}
	if !s.isHeavy(q.at) {
		return
	}
	latency := s.now.Sub(q.at)
	s.queries++
	if d.Kind == Gathered && latency <= simTarget {
		s.served++
	}
	if d.Kind == Gathered {
		s.latencies = append(s.latencies, latency)
	}
	s.reasons[d.Kind.String()+" "+string(d.Reason)]++
}

// redirect applies the choice of a baseline to an attempt.
func (s *simulation) redirect(q *simQuery, a *Attempt, work time.Duration) {
	if s.choose == nil {
		return
	}
	shard := q.job.shards[a.Shard]
	tried := shard.triedReplicas[:len(shard.triedReplicas)-1]
	var candidates []*simReplica
	for _, r := range s.shards[a.Shard] {
		if !slices.Contains(tried, r.id) {
			candidates = append(candidates, r)
		}
	}
	chosen := s.choose(s, q.origin, a, work, candidates)
	b := q.origin.policies.Balancer
	b.RecordEnd(a.Replica, a.StartedAt)
	a.Replica = b.Find(chosen.id)
	b.RecordStart(s.now, a.Replica)
	shard.triedReplicas[len(tried)] = chosen.id
}

func (s *simulation) send(q *simQuery, a *Attempt) {
	noise := math.Exp(s.random.Float64() * math.Log(simNoise))
	s.redirect(q, a, time.Duration(float64(q.cost)*noise))
	r := s.replicas[a.Replica.ID]
	if s.isHeavy(q.at) {
		if r.zone != q.origin.zone {
			s.crossZone++
		}
		if a.Kind == AttemptFirst {
			s.firsts++
		} else {
			s.extras++
		}
	}
	s.observed(q.origin, r.id).starts = append(s.observed(q.origin, r.id).starts, s.now)
	oneWay := 100 * time.Microsecond
	var relay *simInstance
	if r.zone != q.origin.zone {
		oneWay = time.Millisecond
		// The relays of a zone are its first instances.
		relay = s.instances[slices.Index(simZones, r.zone)+len(simZones)*(q.origin.number%simRelays)]
		relay.policies.Balancer.RecordRelayStart(s.now, relay.policies.Balancer.Find(r.id))
	}
	sentAt := s.now
	s.schedule(s.now.Add(oneWay), func() {
		outcome, at := replied(200), s.now
		if s.isHeavy(s.now) && r.rejects && s.random.Float64() < s.rejectedShare {
			outcome = outcomeOf(OutcomeRejected)
		} else {
			end, slot := r.finish(s.now, time.Duration(float64(q.cost)*noise*r.speed))
			if end.After(a.Deadline) {
				outcome = outcomeOf(OutcomeBroken)
				outcome.Cause = CauseCancelled
				end = a.Deadline
			}
			if end.After(r.slotsFree[slot]) {
				r.slotsFree[slot] = end
			}
			at = end
		}
		if relay != nil {
			at = at.Add(simRelayFlushDelay)
		}
		s.schedule(at.Add(oneWay), func() { s.end(q, a, relay, sentAt, outcome) })
	})
}

// end records the end of an attempt at its origin and at the relay.
func (s *simulation) end(q *simQuery, a *Attempt, relay *simInstance, sentAt time.Time, outcome Outcome) {
	if relay != nil {
		s.endRelayed(q, a, relay, sentAt, outcome)
	}
	s.observe(s.observed(q.origin, a.Replica.ID), sentAt, outcome)
	s.advance(q, q.job.HandleOutcome(s.now, a, outcome))
}

func (s *simulation) endRelayed(q *simQuery, a *Attempt, relay *simInstance, sentAt time.Time, outcome Outcome) {
	b := relay.policies.Balancer
	r := b.Find(a.Replica.ID)
	b.RecordRelayEnd(r, sentAt)
	switch {
	case outcome.Kind == OutcomeRejected:
		b.RecordRejection(s.now, r)
	case outcome.Kind == OutcomeReplied && !q.done:
		q.relayed[relay] = append(q.relayed[relay], balancer.ReplyTime{
			Replica: r,
			Elapsed: s.now.Sub(sentAt),
		})
	}
	if !q.told[r.Zone] {
		q.told[r.Zone] = true
		for _, c := range b.Conditions(s.now) {
			q.origin.policies.Balancer.MergeCondition(s.now, c)
		}
	}
}

func (s *simulation) observed(o *simInstance, id string) *simObserved {
	known := s.baseline[o][id]
	if known == nil {
		known = &simObserved{}
		s.baseline[o][id] = known
	}
	return known
}

// observe updates what the policy of the previous release knows.
func (s *simulation) observe(o *simObserved, sentAt time.Time, outcome Outcome) {
	if i := slices.IndexFunc(o.starts, sentAt.Equal); i >= 0 {
		o.starts = slices.Delete(o.starts, i, i+1)
	}
	elapsed := s.now.Sub(sentAt)
	switch {
	case outcome.Kind == OutcomeReplied:
		o.failures = 0
		o.latency += (elapsed - o.latency) / 5
	case outcome.Kind == OutcomeRejected:
		o.backoffUntil = s.now.Add(min(100*time.Millisecond<<min(o.failures, 10), 2*time.Second))
		o.failures++
	case elapsed > o.latency:
		o.latency += (elapsed - o.latency) / 5
	}
}

// choosePrevious is the choice of the previous release.
func choosePrevious(s *simulation, o *simInstance, _ *Attempt, _ time.Duration, candidates []*simReplica) *simReplica {
	explore := o.random.Float64() < 0.02
	return slices.MinFunc(candidates, func(a, b *simReplica) int {
		return int(previousCost(s, o, a, explore) - previousCost(s, o, b, explore))
	})
}

func previousCost(s *simulation, o *simInstance, r *simReplica, explore bool) time.Duration {
	known := s.observed(o, r.id)
	isBackingOff := known.failures > 0 && (s.now.Before(known.backoffUntil) || len(known.starts) > 0)
	if explore && !isBackingOff {
		return time.Duration(o.random.Int64N(int64(time.Millisecond)))
	}
	latency := known.latency
	if latency == 0 {
		latency = 10 * time.Millisecond
	}
	inFlight := time.Duration(len(known.starts))
	cost := latency + latency*inFlight/4 + latency*max(0, inFlight+1-simSlots)/simSlots
	if r.zone != o.zone {
		cost += 2 * time.Millisecond
	}
	if isBackingOff {
		cost += 2 * time.Second
	}
	if inFlight > 0 && s.now.Sub(known.starts[0]) > 3*10*time.Millisecond {
		cost += s.now.Sub(known.starts[0])
	}
	return cost + time.Duration(o.random.Int64N(int64(time.Millisecond)/4))
}

func chooseOfTwo(s *simulation, o *simInstance, _ *Attempt, _ time.Duration, candidates []*simReplica) *simReplica {
	a, b := candidates[o.random.IntN(len(candidates))], candidates[o.random.IntN(len(candidates))]
	if len(s.observed(o, b.id).starts) < len(s.observed(o, a.id).starts) {
		return b
	}
	return a
}

func chooseInTurn(_ *simulation, o *simInstance, _ *Attempt, _ time.Duration, candidates []*simReplica) *simReplica {
	o.turn++
	return candidates[o.turn%len(candidates)]
}

// chooseByAll knows the queues, the pauses, the work and the rejections.
func chooseByAll(s *simulation, _ *simInstance, _ *Attempt, work time.Duration, candidates []*simReplica) *simReplica {
	return slices.MinFunc(candidates, func(a, b *simReplica) int {
		return int(s.trueCost(a, work) - s.trueCost(b, work))
	})
}

func (s *simulation) trueCost(r *simReplica, work time.Duration) time.Duration {
	end, _ := r.finish(s.now, time.Duration(float64(work)*r.speed))
	cost := end.Sub(s.now)
	if r.rejects && s.rejectedShare > 0 && s.isHeavy(s.now) {
		cost += time.Minute
	}
	return cost
}

// simResult is what is compared.
type simResult struct {
	served, extra, crossZone float64
	p99                      time.Duration
}

func simulate(t *testing.T, name string, choose simChooser, rejectedShare float64) simResult {
	t.Helper()
	s := newSimulation(1, choose)
	s.rejectedShare = rejectedShare
	s.run()
	slices.Sort(s.latencies)
	r := simResult{
		served:    float64(s.served) / float64(s.queries),
		extra:     float64(s.extras) / float64(s.firsts),
		crossZone: float64(s.crossZone) / float64(s.firsts),
		p99:       s.latencies[len(s.latencies)*99/100],
	}
	t.Logf("%.1f rejected, %-11s: served in time %.3f, p99 of answers %s, extra attempts %.3f, across zones %.3f, %v", rejectedShare, name, r.served, r.p99.Round(time.Millisecond), r.extra, r.crossZone, s.reasons)
	return r
}

// TestHeavySeconds compares policies of choice in one simulation, with the same rules for repeats. It guards against a retry budget that is spent on replicas that reject, and against choices that cross zones for no reason on calm days.
func TestHeavySeconds(t *testing.T) {
	placement := simulate(t, "placement", nil, simRejectedShare)
	oracle := simulate(t, "oracle", chooseByAll, simRejectedShare)
	for name, choose := range map[string]simChooser{
		"previous":    choosePrevious,
		"two choices": chooseOfTwo,
		"round robin": chooseInTurn,
	} {
		if other := simulate(t, name, choose, simRejectedShare); placement.served < other.served+0.4 || placement.extra > other.extra {
			t.Errorf("served %.3f with %.3f extra attempts, by %s %.3f with %.3f", placement.served, placement.extra, name, other.served, other.extra)
		}
	}
	if placement.served < 0.85*oracle.served || placement.extra > simRepeatRatio {
		t.Errorf("served %.3f with %.3f extra attempts, by the oracle %.3f", placement.served, placement.extra, oracle.served)
	}
	calm, previous := simulate(t, "placement", nil, 0), simulate(t, "previous", choosePrevious, 0)
	if calm.served < previous.served || calm.crossZone > previous.crossZone || calm.extra > 1.25*previous.extra {
		t.Errorf("calm: %+v, by the previous policy %+v", calm, previous)
	}
}
