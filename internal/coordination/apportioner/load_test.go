package apportioner

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

const (
	simInstances, simOrganisations, simShards, simSlots = 20, 24, 24, 6
	// simRate is the usual number of queries per second, of simWork on each shard on average: two thirds of the capacity.
	simRate      = 80.0
	simWork      = 50 * time.Millisecond
	simTarget    = 300 * time.Millisecond
	simRequired  = 0.9
	simStart     = 10 * time.Second
	simEnd       = 50 * time.Second
	hot          = 1
	leastUrgent  = 2
	useWindow    = 2 * time.Second
	lateDeadline = simTarget * 6 / 5
)

// scenario is a load that exceeds the capacity from simStart on.
type scenario struct {
	name string
	// factor multiplies the load of an organisation.
	factor func(organisation int) float64
	slots  int
}

// simObservation is the end of an attempt of which an instance learns.
type simObservation struct {
	at          time.Time
	instance    int
	traffic     shedder.Traffic
	isCongested bool
}

type observations []simObservation

func (o observations) Len() int           { return len(o) }
func (o observations) Less(i, j int) bool { return o[i].at.Before(o[j].at) }
func (o observations) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *observations) Push(x any)        { *o = append(*o, x.(simObservation)) }
func (o *observations) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}

// simulation is a fleet of entry instances and shards with a queue before each shard's slots.
type simulation struct {
	scenario
	isApportioned bool
	random        *rand.Rand
	now           time.Time
	shedders      []*shedder.Shedder
	apportioners  []*Apportioner
	freeAt        [simShards][]time.Time
	pending       observations
	used          [simOrganisations]float64
	usedAt        [simOrganisations]time.Time
	results       [simOrganisations]result
}

// result is what an organisation gets from simStart on.
type result struct {
	sent      int
	latencies []time.Duration
}

func (r *result) served() float64 { return float64(len(r.latencies)) / float64(max(1, r.sent)) }

func p99(latencies []time.Duration) time.Duration {
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

func usualRate(organisation int) float64 {
	const skew = 0.5
	sum := 0.0
	for i := range simOrganisations {
		sum += math.Pow(float64(i+1), -skew)
	}
	return simRate * math.Pow(float64(organisation+1), -skew) / sum
}

func simulate(s scenario, seed uint64, isApportioned bool) *simulation {
	sim := &simulation{
		scenario:      s,
		isApportioned: isApportioned,
		random:        rand.New(rand.NewPCG(seed, 2)),
		now:           start,
	}
	for range simInstances {
		sim.shedders = append(sim.shedders, shedder.New(rand.New(rand.NewPCG(sim.random.Uint64(), 1))))
		sim.apportioners = append(sim.apportioners, New(rand.New(rand.NewPCG(sim.random.Uint64(), 2))))
	}
	for i := range sim.freeAt {
		sim.freeAt[i] = make([]time.Time, simSlots)
	}
	sim.run()
	return sim
}

func (s *simulation) run() {
	for s.now.Before(start.Add(simEnd)) {
		isLoaded := s.now.Sub(start) >= simStart
		rates := make([]float64, simOrganisations)
		total := 0.0
		for i := range rates {
			rates[i] = usualRate(i)
			if isLoaded {
				rates[i] *= s.factor(i)
			}
			total += rates[i]
		}
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / total * float64(time.Second)))
		pick := s.random.Float64() * total
		organisation := 0
		for ; organisation < simOrganisations-1 && pick >= rates[organisation]; organisation++ {
			pick -= rates[organisation]
		}
		if isLoaded {
			for i := range s.freeAt {
				s.freeAt[i] = s.freeAt[i][:s.slots]
			}
			s.results[organisation].sent++
		}
		latency, ok := s.query(organisation)
		if ok && isLoaded {
			s.results[organisation].latencies = append(s.results[organisation].latencies, latency)
		}
	}
}

// query returns the latency of a query if it is served.
func (s *simulation) query(organisation int) (time.Duration, bool) {
	s.deliver()
	instance := s.random.IntN(simInstances)
	priority := organisation % (leastUrgent + 1)
	usual := usualRate(organisation) * simShards * float64(simWork.Milliseconds())
	if s.isApportioned {
		s.apportioners[instance].Observe(s.now, fmt.Sprint(organisation), s.use(organisation, 0), usual)
		if s.apportioners[instance].Admit(s.now, Traffic{
			Organisation: fmt.Sprint(organisation),
			Priority:     priority,
		}) > 0 {
			return 0, false
		}
	}
	var admitted []int
	traffic := shedder.Traffic{
		Class:    fmt.Sprint(priority),
		Priority: priority,
	}
	for shard := range simShards {
		traffic.Service = fmt.Sprint(shard)
		if s.shedders[instance].Admit(s.now, traffic) {
			admitted = append(admitted, shard)
		}
	}
	if len(admitted) < requiredShards {
		return 0, false
	}
	s.use(organisation, float64(len(admitted))*float64(simWork.Milliseconds()))
	var latencies []time.Duration
	for _, shard := range admitted {
		traffic.Service = fmt.Sprint(shard)
		if latency := s.attempt(instance, shard, traffic); latency <= lateDeadline {
			latencies = append(latencies, latency)
		}
	}
	if len(latencies) < requiredShards {
		return 0, false
	}
	slices.Sort(latencies)
	// At the target, the answer is cut to what is there.
	return min(latencies[len(latencies)-1], max(simTarget, latencies[requiredShards-1])), true
}

var requiredShards = int(math.Ceil(simRequired * simShards))

// attempt queues a sub-request and returns its latency. Work that would start after the deadline is dropped.
func (s *simulation) attempt(instance, shard int, traffic shedder.Traffic) time.Duration {
	slots := s.freeAt[shard]
	slot := 0
	for i := range slots {
		if slots[i].Before(slots[slot]) {
			slot = i
		}
	}
	begin := slots[slot]
	if begin.Before(s.now) {
		begin = s.now
	}
	latency := time.Duration(math.MaxInt64)
	at := s.now.Add(lateDeadline)
	if begin.Before(at) {
		slots[slot] = begin.Add(time.Duration((0.5 + s.random.Float64()) * float64(simWork)))
		at = slots[slot]
		latency = at.Sub(s.now)
	}
	heap.Push(&s.pending, simObservation{
		at:          at,
		instance:    instance,
		traffic:     traffic,
		isCongested: latency > simTarget*3/4,
	})
	return latency
}

// deliver tells the instances of the attempts that have ended.
func (s *simulation) deliver() {
	for len(s.pending) > 0 && !s.pending[0].at.After(s.now) {
		o := heap.Pop(&s.pending).(simObservation)
		s.shedders[o.instance].Observe(o.at, o.traffic, o.isCongested)
		s.apportioners[o.instance].ObserveAttempt(o.at, o.isCongested)
	}
}

// use adds work and returns the organisation's use in milliseconds per second over useWindow.
func (s *simulation) use(organisation int, work float64) float64 {
	decay := math.Exp(-s.now.Sub(s.usedAt[organisation]).Seconds() / useWindow.Seconds())
	s.used[organisation] = s.used[organisation]*decay + work/useWindow.Seconds()
	s.usedAt[organisation] = s.now
	return s.used[organisation]
}

// summary is what groups of organisations get.
type summary struct {
	all, others, urgent, least float64
	hotServed                  float64
	p99Others                  time.Duration
}

func (s *simulation) summarize(isOther func(int) bool) summary {
	var all, others, urgent result
	sum := summary{
		least:     1,
		hotServed: s.results[hot].served(),
	}
	add := func(to *result, from result) {
		to.sent += from.sent
		to.latencies = append(to.latencies, from.latencies...)
	}
	for i, r := range s.results {
		add(&all, r)
		if isOther(i) {
			add(&others, r)
		}
		if i%(leastUrgent+1) == 0 {
			add(&urgent, r)
		}
		sum.least = min(sum.least, r.served())
	}
	sum.all, sum.others, sum.urgent = all.served(), others.served(), urgent.served()
	sum.p99Others = p99(others.latencies)
	return sum
}

// TestSharesUnderLoad compares this policy with the shedder alone. It guards against an organisation that sends seven times its usual load, or a burst of one class, that raises the rejections or the 99th percentile of the others, and against organisations that get next to nothing.
func TestSharesUnderLoad(t *testing.T) {
	one := func(int) float64 { return 1 }
	isAny := func(int) bool { return true }
	cases := []struct {
		scenario

		isOther func(int) bool
		// minOthers is the least share served of the other organisations, minUrgent that of the most urgent priority.
		minOthers, minUrgent float64
	}{
		{scenario{"one organisation sends seven times its usual load", func(i int) float64 {
			if i == hot {
				return 7
			}
			return 1
		}, simSlots}, func(i int) bool { return i != hot }, 0.97, 0.97},
		{scenario{"burst of the least urgent class", func(i int) float64 {
			if i%(leastUrgent+1) == leastUrgent {
				return 4
			}
			return 1
		}, simSlots}, func(i int) bool { return i%(leastUrgent+1) != leastUrgent }, 0.94, 0.94},
		{scenario{"loss of a third of the replicas", one, simSlots * 2 / 3}, isAny, 0.85, 0.93},
		{scenario{"usual load", one, simSlots}, isAny, 0.995, 0.995},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			with, without := simulate(c.scenario, seed, true).summarize(c.isOther), simulate(c.scenario, seed, false).summarize(c.isOther)
			t.Logf("%s, seed %d:\nwith %+v\nwithout %+v", c.name, seed, with, without)
			if with.others < c.minOthers || with.urgent < c.minUrgent {
				t.Errorf("%s: %.3f of the others and %.3f of the urgent served", c.name, with.others, with.urgent)
			}
			if with.others < without.others || with.p99Others > without.p99Others {
				t.Errorf("%s: the others get less than with the shedder alone", c.name)
			}
			if with.least < with.all/4 {
				t.Errorf("%s: an organisation is served %.3f, all %.3f", c.name, with.least, with.all)
			}
		}
	}
}
