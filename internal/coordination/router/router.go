package router

import (
	"math/rand/v2"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

const (
	// latencySmoothing is the weight of a new sample in the moving average of an upstream's latency.
	latencySmoothing = 0.2
	// meanSmoothing is the weight of a new sample in a service's mean latency, which a few stragglers must not change much.
	meanSmoothing = 0.02
	// hedgeQuantile is the share of sub-requests that are answered within the hedge delay.
	hedgeQuantile = 0.95
	// stallFactor times the hedge delay is how long an attempt may take before its replica counts as stalled.
	stallFactor = 2
	// defaultHedgeDelay and defaultMeanLatency are the estimates before any latency is observed.
	defaultHedgeDelay  = 50 * time.Millisecond
	defaultMeanLatency = 5 * time.Millisecond
	// initialBackoff is how long a replica is avoided after one failure; it doubles with each consecutive failure, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

type upstreamState struct {
	inFlight            int
	latency             time.Duration
	consecutiveFailures int
	backoffUntil        time.Time
}

type latencyStats struct {
	mean       time.Duration
	hedgeDelay *QuantileEstimator
}

// Router tracks each upstream's attempts in flight and latency; it is not safe for concurrent use.
type Router struct {
	policy Policy
	pick   picker
	random *rand.Rand
	// pickCounts counts the round-robin picks by the upstream of the first candidate.
	pickCounts   map[string]int
	upstreams    map[string]*upstreamState
	serviceStats map[string]*latencyStats
	// ownerStats holds the latencies of services through owners, including the owners' queues.
	ownerStats map[string]*latencyStats
	// available is a buffer that Pick reuses.
	available []*registrar.Replica
}

// New returns a router that has sent nothing yet.
func New(policy Policy, random *rand.Rand) *Router {
	return &Router{
		policy:       policy,
		pick:         pickerFor(policy),
		random:       random,
		pickCounts:   map[string]int{},
		upstreams:    map[string]*upstreamState{},
		serviceStats: map[string]*latencyStats{},
		ownerStats:   map[string]*latencyStats{},
	}
}

// Policy returns the routing policy.
func (r *Router) Policy() Policy { return r.policy }

// Pick returns a candidate chosen by the policy, or nil if there are none. Upstreams that have just failed are avoided while there are others.
func (r *Router) Pick(now time.Time, candidates []*registrar.Replica) *registrar.Replica {
	if len(candidates) == 0 {
		return nil
	}
	r.available = r.available[:0]
	for _, candidate := range candidates {
		if !r.IsBackingOff(now, candidate.Upstream) {
			r.available = append(r.available, candidate)
		}
	}
	if len(r.available) == 0 {
		return r.pick(r, candidates)
	}
	return r.pick(r, r.available)
}

// RecordStart records the start of a sub-request to the upstream.
func (r *Router) RecordStart(upstream string) {
	r.ensureUpstream(upstream).inFlight++
}

// RecordEnd records the end of a sub-request to the upstream.
func (r *Router) RecordEnd(upstream string) {
	r.ensureUpstream(upstream).inFlight--
}

// RecordSuccess records how long the upstream took to answer for the service.
func (r *Router) RecordSuccess(upstream, service string, latency time.Duration) {
	r.updateLatency(upstream, ensureStats(r.serviceStats, service), latency)
}

// RecordOwnerSuccess records how long the upstream's owner took to answer for the service.
func (r *Router) RecordOwnerSuccess(upstream, service string, latency time.Duration) {
	r.updateLatency(upstream, ensureStats(r.ownerStats, service), latency)
}

func (r *Router) updateLatency(upstream string, s *latencyStats, latency time.Duration) {
	u := r.ensureUpstream(upstream)
	u.consecutiveFailures = 0
	u.latency += time.Duration(latencySmoothing * float64(latency-u.latency))
	s.mean += time.Duration(meanSmoothing * float64(latency-s.mean))
	s.hedgeDelay.Observe(latency)
}

// RecordFailure records a failure and starts a backoff, which doubles with each consecutive failure up to maxBackoff.
func (r *Router) RecordFailure(now time.Time, upstream string) {
	u := r.ensureUpstream(upstream)
	u.backoffUntil = now.Add(min(maxBackoff, initialBackoff<<min(u.consecutiveFailures, 10)))
	u.consecutiveFailures++
}

// RecordMinLatency records that an attempt was cancelled before its reply arrived, for example because another attempt was faster: the upstream's latency is at least the time waited.
func (r *Router) RecordMinLatency(upstream string, waited time.Duration) {
	u := r.ensureUpstream(upstream)
	if waited > u.latency {
		u.latency += time.Duration(latencySmoothing * float64(waited-u.latency))
	}
}

// IsBackingOff reports whether the upstream is avoided after a failure.
func (r *Router) IsBackingOff(now time.Time, upstream string) bool {
	u, ok := r.upstreams[upstream]
	return ok && now.Before(u.backoffUntil)
}

// ResetBackoff clears the failures and the backoff of an upstream.
func (r *Router) ResetBackoff(upstream string) {
	u := r.ensureUpstream(upstream)
	u.consecutiveFailures = 0
	u.backoffUntil = time.Time{}
}

// InFlight returns how many sub-requests this instance has in flight at the upstream.
func (r *Router) InFlight(upstream string) int {
	return r.ensureUpstream(upstream).inFlight
}

// HedgeDelay returns how long a sub-request of the service may take before it counts as a straggler.
func (r *Router) HedgeDelay(service string) time.Duration {
	return ensureStats(r.serviceStats, service).hedgeDelay.Value()
}

// OwnerHedgeDelay returns how long a sub-request that an owner handles may take before it counts as a straggler.
func (r *Router) OwnerHedgeDelay(service string) time.Duration {
	return ensureStats(r.ownerStats, service).hedgeDelay.Value()
}

// StallThreshold returns how long an attempt of the service may take before its replica counts as stalled.
func (r *Router) StallThreshold(service string) time.Duration {
	return stallFactor * r.HedgeDelay(service)
}

// MaxStallThreshold returns the longest stall threshold of all services.
func (r *Router) MaxStallThreshold() time.Duration {
	var longest time.Duration
	for service := range r.serviceStats {
		longest = max(longest, r.StallThreshold(service))
	}
	return longest
}

// MeanLatency returns the mean latency of a sub-request of the service.
func (r *Router) MeanLatency(service string) time.Duration {
	return ensureStats(r.serviceStats, service).mean
}

// RemoveIdle removes the idle upstreams for which keep returns false.
func (r *Router) RemoveIdle(keep func(upstream string) bool) {
	for upstream, u := range r.upstreams {
		if u.inFlight == 0 && !keep(upstream) {
			delete(r.upstreams, upstream)
			delete(r.pickCounts, upstream)
		}
	}
}

// UpstreamCount returns the number of upstreams that are tracked.
func (r *Router) UpstreamCount() int { return len(r.upstreams) }

func (r *Router) pickRoundRobin(candidates []*registrar.Replica) *registrar.Replica {
	first := candidates[0].Upstream
	r.pickCounts[first]++
	return candidates[r.pickCounts[first]%len(candidates)]
}

func (r *Router) pickBetterOfTwo(candidates []*registrar.Replica) *registrar.Replica {
	first := candidates[r.random.IntN(len(candidates))]
	second := candidates[r.random.IntN(len(candidates))]
	if r.cost(second) < r.cost(first) {
		return second
	}
	return first
}

func (r *Router) pickLeastLoaded(candidates []*registrar.Replica) *registrar.Replica {
	start := r.random.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if r.cost(candidate) < r.cost(best) {
			best = candidate
		}
	}
	return best
}

func (r *Router) cost(replica *registrar.Replica) float64 {
	u := r.ensureUpstream(replica.Upstream)
	return float64(u.inFlight+1) * float64(u.latency+time.Millisecond)
}

func (r *Router) ensureUpstream(upstream string) *upstreamState {
	state, ok := r.upstreams[upstream]
	if !ok {
		state = &upstreamState{}
		r.upstreams[upstream] = state
	}
	return state
}

func ensureStats(byService map[string]*latencyStats, service string) *latencyStats {
	stats, ok := byService[service]
	if !ok {
		stats = &latencyStats{
			mean:       defaultMeanLatency,
			hedgeDelay: NewQuantileEstimator(hedgeQuantile),
		}
		stats.hedgeDelay.Observe(defaultHedgeDelay)
		byService[service] = stats
	}
	return stats
}
