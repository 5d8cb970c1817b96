package balancer

import (
	"math/rand/v2"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
)

const (
	// latencyShare is the weight of a new observation in a replica's moving average.
	latencyShare = 0.2
	// defaultLatency stands until a service has answered once.
	defaultLatency = 10 * time.Millisecond
	// stallFactor times the usual latency is when the oldest attempt in flight says that the replica stands still.
	stallFactor = 3
	// firstRest is how long a replica is passed over after one failure; it doubles with each further one.
	firstRest = 100 * time.Millisecond
	mostRest  = 2 * time.Second
	// remoteCost is what a way between availability zones adds to an attempt, there and back.
	remoteCost = 2 * time.Millisecond
	// exploreShare of the picks go to a replica at random, so that one that was slow is looked at again.
	exploreShare = 0.02
)

// Replica is one incarnation of a replica that may be sent to.
type Replica struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Lost says that no control instance hears it; it is used where nothing else is left.
	Lost bool
}

// State is what is known of one replica.
type State struct {
	Replica

	latency  time.Duration
	starts   []time.Time
	failures int
	restEnds time.Time
}

// Latency returns the moving average of the replica's answers, 0 before the first.
func (s *State) Latency() time.Duration { return s.latency }

// HasFreeSlot reports whether this instance has left a slot of the replica free.
func (s *State) HasFreeSlot() bool { return s.Slots == 0 || s.InFlight() < s.Slots }

// InFlight returns how many attempts have no answer yet.
func (s *State) InFlight() int { return len(s.starts) }

type service struct {
	replicas []*State
	mean     time.Duration
}

// Balancer keeps what this instance has seen of all replicas; it is not safe for concurrent use.
type Balancer struct {
	zone     string
	random   *rand.Rand
	services map[string]*service
	byID     map[string]*State
	speeds   map[string]*router.Quantile
}

// New returns a balancer of an instance in the availability zone that knows no replica.
func New(zone string, random *rand.Rand) *Balancer {
	return &Balancer{
		zone:     zone,
		random:   random,
		services: map[string]*service{},
		byID:     map[string]*State{},
		speeds:   map[string]*router.Quantile{},
	}
}

// Put adds a replica, or changes what was announced of it; what was seen of it stays.
func (b *Balancer) Put(replica Replica) {
	known, ok := b.byID[replica.ID]
	if ok && known.Service == replica.Service && known.Address == replica.Address {
		known.Replica = replica
		return
	}
	b.Remove(replica.ID)
	added := &State{
		Replica: replica,
	}
	b.byID[replica.ID] = added
	s := b.service(replica.Service)
	s.replicas = append(s.replicas, added)
}

// Remove forgets a replica; attempts in flight end as they will.
func (b *Balancer) Remove(id string) {
	known, ok := b.byID[id]
	if !ok {
		return
	}
	delete(b.byID, id)
	s := b.services[known.Service]
	for i, other := range s.replicas {
		if other == known {
			s.replicas = append(s.replicas[:i:i], s.replicas[i+1:]...)
			break
		}
	}
	if len(s.replicas) == 0 {
		delete(b.services, known.Service)
	}
}

// Find returns the replica of the id, or nil.
func (b *Balancer) Find(id string) *State { return b.byID[id] }

// Count returns how many replicas the service has.
func (b *Balancer) Count(name string) int {
	s := b.services[name]
	if s == nil {
		return 0
	}
	return len(s.replicas)
}

// Load is what this instance's attempts take of all replicas.
type Load struct {
	// Attempts are in flight, and Full is how many replicas have all of their slots taken by them.
	Attempts int
	Full     int
}

// Load returns what is in flight.
func (b *Balancer) Load() Load {
	var l Load
	for _, r := range b.byID {
		l.Attempts += r.InFlight()
		if !r.HasFreeSlot() {
			l.Full++
		}
	}
	return l
}

// Pick returns the replica that is expected to answer first of those that accept holds for, or nil.
func (b *Balancer) Pick(now time.Time, name string, accept func(*State) bool) *State {
	s := b.services[name]
	if s == nil {
		return nil
	}
	var best *State
	var bestCost time.Duration
	explore := b.random.Float64() < exploreShare
	for _, candidate := range s.replicas {
		if !accept(candidate) {
			continue
		}
		cost := b.cost(now, s, candidate)
		if explore && !candidate.rests(now) && !candidate.Lost {
			cost = time.Duration(b.random.Int64N(int64(time.Millisecond)))
		}
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return best
}

// cost is the time in which the replica is expected to answer, with what speaks against it added.
func (b *Balancer) cost(now time.Time, s *service, r *State) time.Duration {
	each := r.latency
	if each == 0 {
		each = s.usual()
	}
	cost := each
	if queued := r.InFlight() + 1 - r.Slots; queued > 0 && r.Slots > 0 {
		cost += each * time.Duration(queued) / time.Duration(r.Slots)
	}
	cost += each * time.Duration(r.InFlight()) / 4
	if r.Zone != b.zone {
		cost += remoteCost
	}
	if age := r.oldest(now); age > stallFactor*s.usual() {
		cost += age
	}
	if r.rests(now) {
		cost += mostRest
	}
	if r.Lost {
		cost += 2 * mostRest
	}
	// Equal costs are told apart by chance, so that instances do not all choose alike.
	return cost + time.Duration(b.random.Int64N(int64(time.Millisecond)/4))
}

func (s *State) oldest(now time.Time) time.Duration {
	if len(s.starts) == 0 {
		return 0
	}
	return now.Sub(s.starts[0])
}

// rests reports whether the replica is passed over; when the rest has ended one attempt at a time finds out whether it is well.
func (s *State) rests(now time.Time) bool {
	return s.failures > 0 && (now.Before(s.restEnds) || s.InFlight() > 0)
}

func (s *service) usual() time.Duration {
	if s.mean == 0 {
		return defaultLatency
	}
	return s.mean
}

// Sent notes that an attempt has begun.
func (b *Balancer) Sent(now time.Time, r *State) { r.starts = append(r.starts, now) }

// Ended notes that the attempt that began at the time is over.
func (b *Balancer) Ended(r *State, began time.Time) {
	for i, start := range r.starts {
		if start.Equal(began) {
			r.starts = append(r.starts[:i], r.starts[i+1:]...)
			return
		}
	}
}

// Answered notes how long the replica took for a request of the class.
func (b *Balancer) Answered(r *State, class string, took time.Duration) {
	r.failures = 0
	r.latency = moved(r.latency, took)
	if s := b.services[r.Service]; s != nil {
		s.mean = moved(s.mean, took)
	}
	b.speed(class).Observe(took)
}

// Outrun notes that the replica had not answered after the time, which says no more than that it takes longer.
func (b *Balancer) Outrun(r *State, waited time.Duration) {
	if waited > r.latency {
		r.latency = moved(r.latency, waited)
	}
}

// Failed notes that the replica has answered wrongly or not at all.
func (b *Balancer) Failed(now time.Time, r *State) {
	rest := min(firstRest<<min(r.failures, 10), mostRest)
	r.failures++
	r.restEnds = now.Add(rest)
}

// HedgeDelay returns how long an attempt of the class may take before it counts as a straggler.
func (b *Balancer) HedgeDelay(class string) time.Duration {
	return b.speed(class).Value()
}

func (b *Balancer) service(name string) *service {
	known, ok := b.services[name]
	if !ok {
		known = &service{}
		b.services[name] = known
	}
	return known
}

// hedgeShare of the attempts are answered before one counts as a straggler: what is left fits the usual ratio of repeats twice over.
const hedgeShare = 0.9

// speed follows the time within which hedgeShare of the class's attempts are answered.
func (b *Balancer) speed(class string) *router.Quantile {
	known, ok := b.speeds[class]
	if !ok {
		known = router.NewQuantile(hedgeShare)
		b.speeds[class] = known
	}
	return known
}

func moved(average, seen time.Duration) time.Duration {
	if average == 0 {
		return seen
	}
	return average + time.Duration(latencyShare*float64(seen-average))
}
