package router

import (
	"math/rand/v2"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
)

// latencyShare is the weight of a new observation in the moving average.
const latencyShare = 0.2

type load struct {
	inFlight int
	latency  time.Duration
}

// Router keeps each upstream's work in flight and observed latency; it is not safe for concurrent use.
type Router struct {
	random *rand.Rand
	loads  map[string]*load
}

// New returns a router that has sent nothing yet.
func New(random *rand.Rand) *Router {
	return &Router{
		random: random,
		loads:  map[string]*load{},
	}
}

// Pick returns the better of two candidates drawn at random, passing over those already tried while others are left; nil where there are none.
func (r *Router) Pick(candidates []*registrar.Replica, tried []string) *registrar.Replica {
	fresh := untried(candidates, tried)
	if len(fresh) == 0 {
		fresh = candidates
	}
	if len(fresh) == 0 {
		return nil
	}
	first := fresh[r.random.IntN(len(fresh))]
	second := fresh[r.random.IntN(len(fresh))]
	if r.cost(second) < r.cost(first) {
		return second
	}
	return first
}

// Sent notes that a sub-request went to the upstream.
func (r *Router) Sent(upstream string) {
	r.load(upstream).inFlight++
}

// Done notes that a sub-request has ended, and how long it took where it was answered; 0 otherwise.
func (r *Router) Done(upstream string, took time.Duration) {
	l := r.load(upstream)
	l.inFlight--
	if took > 0 {
		l.latency += time.Duration(latencyShare * float64(took-l.latency))
	}
}

// InFlight returns how many sub-requests the upstream has from this instance.
func (r *Router) InFlight(upstream string) int {
	return r.load(upstream).inFlight
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

func untried(candidates []*registrar.Replica, tried []string) []*registrar.Replica {
	var fresh []*registrar.Replica
	for _, candidate := range candidates {
		if !contains(tried, candidate.Upstream) {
			fresh = append(fresh, candidate)
		}
	}
	return fresh
}

func contains(names []string, name string) bool {
	for _, known := range names {
		if known == name {
			return true
		}
	}
	return false
}
