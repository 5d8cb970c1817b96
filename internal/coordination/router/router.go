package router

import (
	"math/rand/v2"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const (
	// latencyShare is the weight of a new observation in the moving average.
	latencyShare = 0.2
	// meanShare is the weight of a new observation in a service's mean, which a few stragglers must not move.
	meanShare = 0.02
	// hedgeShare of sub-requests are answered before one is hedged.
	hedgeShare = 0.95
	// stallFactor times the hedging delay is when a slot counts as stalled.
	stallFactor = 2
	// defaultHedgeDelay and defaultService stand until something was observed.
	defaultHedgeDelay = 50 * time.Millisecond
	defaultService    = 5 * time.Millisecond
	// firstRest is how long a replica is passed over after one failure; it doubles with each further one.
	firstRest = 100 * time.Millisecond
	mostRest  = 2 * time.Second
)

type load struct {
	inFlight int
	latency  time.Duration
	failures int
	rests    time.Time
}

type speed struct {
	mean  time.Duration
	hedge *Quantile
}

// Router keeps each upstream's work in flight and observed latency; it is not safe for concurrent use.
type Router struct {
	policy Policy
	pick   picker
	random *rand.Rand
	// turns counts the picks among the candidates that begin with an upstream.
	turns  map[string]int
	loads  map[string]*load
	speeds map[string]*speed
	// vias are the speeds of services through owners, their queues included.
	vias  map[string]*speed
	fresh []*registrar.Replica
}

// New returns a router that has sent nothing yet.
func New(policy Policy, random *rand.Rand) *Router {
	return &Router{
		policy: policy,
		pick:   pickerOf(policy),
		random: random,
		turns:  map[string]int{},
		loads:  map[string]*load{},
		speeds: map[string]*speed{},
		vias:   map[string]*speed{},
	}
}

// Policy returns the way of routing.
func (r *Router) Policy() Policy { return r.policy }

// Pick returns a candidate by the policy, passing over those that have just failed while others are left; nil where there are none.
func (r *Router) Pick(now time.Time, candidates []*registrar.Replica) *registrar.Replica {
	if len(candidates) == 0 {
		return nil
	}
	r.fresh = r.fresh[:0]
	for _, candidate := range candidates {
		if !r.Rests(now, candidate.Upstream) {
			r.fresh = append(r.fresh, candidate)
		}
	}
	if len(r.fresh) == 0 {
		return r.pick(r, candidates)
	}
	return r.pick(r, r.fresh)
}

// Sent notes that a sub-request went to the upstream.
func (r *Router) Sent(upstream string) {
	r.load(upstream).inFlight++
}

// Done notes that a sub-request has ended.
func (r *Router) Done(upstream string) {
	r.load(upstream).inFlight--
}

// Answered notes how long the upstream took to answer for the service.
func (r *Router) Answered(upstream, service string, took time.Duration) {
	r.answered(upstream, speedOf(r.speeds, service), took)
}

// AnsweredByOwner notes how long the upstream's owner took to answer for the service.
func (r *Router) AnsweredByOwner(upstream, service string, took time.Duration) {
	r.answered(upstream, speedOf(r.vias, service), took)
}

func (r *Router) answered(upstream string, s *speed, took time.Duration) {
	l := r.load(upstream)
	l.failures = 0
	l.latency += time.Duration(latencyShare * float64(took-l.latency))
	s.mean += time.Duration(meanShare * float64(took-s.mean))
	s.hedge.Observe(took)
}

// Failed lets the upstream rest, the longer the more often it has failed in a row.
func (r *Router) Failed(now time.Time, upstream string) {
	l := r.load(upstream)
	l.rests = now.Add(min(mostRest, firstRest<<min(l.failures, 10)))
	l.failures++
}

// Outrun notes that a rival was faster, or that the caller stopped waiting: the upstream takes at least this long.
func (r *Router) Outrun(upstream string, waited time.Duration) {
	l := r.load(upstream)
	if waited > l.latency {
		l.latency += time.Duration(latencyShare * float64(waited-l.latency))
	}
}

// Rests reports whether the upstream is passed over because it has just failed.
func (r *Router) Rests(now time.Time, upstream string) bool {
	l, ok := r.loads[upstream]
	return ok && now.Before(l.rests)
}

// Recovered ends the rest of one that has failed.
func (r *Router) Recovered(upstream string) {
	l := r.load(upstream)
	l.failures = 0
	l.rests = time.Time{}
}

// InFlight returns how many sub-requests the upstream has from this instance.
func (r *Router) InFlight(upstream string) int {
	return r.load(upstream).inFlight
}

// HedgeDelay returns after how long a sub-request of the service counts as a straggler.
func (r *Router) HedgeDelay(service string) time.Duration {
	return speedOf(r.speeds, service).hedge.Value()
}

// OwnerHedgeDelay returns after how long a sub-request that an owner has counts as a straggler.
func (r *Router) OwnerHedgeDelay(service string) time.Duration {
	return speedOf(r.vias, service).hedge.Value()
}

// Stall returns after how long an attempt of the service makes its replica suspect.
func (r *Router) Stall(service string) time.Duration {
	return stallFactor * r.HedgeDelay(service)
}

// LongestStall returns the longest of the services' stalls.
func (r *Router) LongestStall() time.Duration {
	var longest time.Duration
	for service := range r.speeds {
		longest = max(longest, r.Stall(service))
	}
	return longest
}

// Service returns how long a sub-request of the service takes on average.
func (r *Router) Service(service string) time.Duration { return speedOf(r.speeds, service).mean }

// Forget drops what is known of idle upstreams that are not kept.
func (r *Router) Forget(keep func(upstream string) bool) {
	for upstream, l := range r.loads {
		if l.inFlight == 0 && !keep(upstream) {
			delete(r.loads, upstream)
			delete(r.turns, upstream)
		}
	}
}

// Known returns of how many upstreams something is kept.
func (r *Router) Known() int { return len(r.loads) }

func (r *Router) pickNext(candidates []*registrar.Replica) *registrar.Replica {
	first := candidates[0].Upstream
	r.turns[first]++
	return candidates[r.turns[first]%len(candidates)]
}

func (r *Router) pickOfTwo(candidates []*registrar.Replica) *registrar.Replica {
	first := candidates[r.random.IntN(len(candidates))]
	second := candidates[r.random.IntN(len(candidates))]
	if r.cost(second) < r.cost(first) {
		return second
	}
	return first
}

func (r *Router) pickLeast(candidates []*registrar.Replica) *registrar.Replica {
	start := r.random.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		next := candidates[(start+i)%len(candidates)]
		if r.cost(next) < r.cost(best) {
			best = next
		}
	}
	return best
}

func (r *Router) cost(replica *registrar.Replica) float64 {
	l := r.load(replica.Upstream)
	return float64(l.inFlight+1) * float64(l.latency+time.Millisecond)
}

func (r *Router) load(upstream string) *load {
	known, ok := r.loads[upstream]
	if !ok {
		known = &load{}
		r.loads[upstream] = known
	}
	return known
}

func speedOf(speeds map[string]*speed, service string) *speed {
	known, ok := speeds[service]
	if !ok {
		known = &speed{
			mean:  defaultService,
			hedge: NewQuantile(hedgeShare),
		}
		known.hedge.Observe(defaultHedgeDelay)
		speeds[service] = known
	}
	return known
}
