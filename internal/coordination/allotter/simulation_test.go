package allotter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	simInstances     = 80
	simZones         = 3
	simOrganisations = 83
	simStep          = 10 * time.Millisecond
	simDuration      = 90 * time.Second
	// listInterval is how often an instance gets the list, firstListDelay when a new one gets its first, and lossDelay when control drops an instance that it does not hear.
	listInterval   = 500 * time.Millisecond
	firstListDelay = 200 * time.Millisecond
	lossDelay      = 3 * time.Second
	// rejectedShare is the share of requests that replicas reject, and lostShare that of answers of keepers and lenders lost on days with faults.
	rejectedShare = 0.02
	lostShare     = 0.005
)

var simStart = time.Unix(1_000_000, 0)

// simInstance is one entry instance.
type simInstance struct {
	member    Member
	roster    *Roster
	keeper    *Keeper
	holder    *Holder
	isDown    bool
	isFrozen  bool
	piece     int
	version   int
	startedAt time.Time
	heardAt   time.Time
	confirmed time.Time
	phase     int
}

// simOrganisation is an organisation with its callers' instances, and what it has sent.
type simOrganisation struct {
	limit Limit
	usual float64
	// factor is how many times its usual rate it sends. If it comes in bursts, it sends nothing between them, so that all buckets are full at the start of each.
	factor   float64
	inBursts bool
	callers  []int
	owed     int
	refused  int
	admitted []time.Time
	// level is that of a single bucket with the allotment, which tells what is owed.
	level float64
}

// simulation is a fleet without a network. Calls take no time; an instance in another piece can't be called.
type simulation struct {
	random        *rand.Rand
	now           time.Time
	instances     []*simInstance
	byName        map[string]*simInstance
	organisations []*simOrganisation
	terms         Terms
	version       int
	lostShare     float64
	// cut reports whether two pieces can't reach each other, and isControlled whether a piece reaches control.
	cut          func(a, b int) bool
	isControlled func(piece int) bool
	// hides reports whether an instance's list lacks another one.
	hides func(viewer, listed int) bool
	calls int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 1)),
		now:          simStart,
		byName:       map[string]*simInstance{},
		cut:          func(a, b int) bool { return a != b },
		isControlled: func(piece int) bool { return piece == 0 },
		hides:        func(int, int) bool { return false },
		terms: Terms{
			Window:     5 * time.Second,
			Overage:    0.1,
			Tolerance:  20,
			Zones:      simZones,
			FirstStart: true,
		},
	}
	for i := range simOrganisations {
		// Usual rates fall from 12 to some hundredths of a request per second.
		usual := max(0.02, 12*math.Exp(-0.25*float64(i)))
		o := &simOrganisation{
			limit: Limit{
				Organisation: fmt.Sprintf("organisation-%d", i),
				Rate:         1.6 * usual,
				Burst:        2 + math.Round(2*usual),
			},
			usual:  usual,
			factor: 1,
		}
		for range 1 + s.random.IntN(12) {
			o.callers = append(o.callers, s.random.IntN(simInstances))
		}
		s.organisations = append(s.organisations, o)
	}
	for range simInstances {
		s.addInstance()
	}
	s.restartAll()
	s.run(3 * time.Second)
	s.terms.FirstStart = false
	for _, o := range s.organisations {
		o.level = o.limit.Burst
	}
	return s
}

func (s *simulation) addInstance() {
	number := len(s.instances)
	i := &simInstance{
		member: Member{
			Instance: fmt.Sprintf("entry-%d", number),
			Zone:     string(rune('a' + number%simZones)),
			Address:  fmt.Sprintf("10.0.0.%d:1", number),
		},
		phase: number,
	}
	s.instances = append(s.instances, i)
	s.byName[i.member.Instance] = i
	s.restart(i)
}

// restart replaces the process of the instance.
func (s *simulation) restart(i *simInstance) {
	i.roster = NewRoster(i.member)
	i.keeper = NewKeeper(i.roster, s.now)
	i.holder = NewHolder()
	i.isDown, i.isFrozen, i.version = false, false, 0
	i.heardAt, i.startedAt = s.now, s.now
}

func (s *simulation) restartAll() {
	for _, i := range s.instances {
		s.restart(i)
	}
}

func (s *simulation) limits() []Limit {
	var limits []Limit
	for _, o := range s.organisations {
		limits = append(limits, o.limit)
	}
	return limits
}

func (s *simulation) reaches(a, b *simInstance) bool {
	return !a.isDown && !b.isDown && !a.isFrozen && !b.isFrozen && !s.cut(a.piece, b.piece)
}

func (s *simulation) find(m Member) *simInstance {
	return s.byName[m.Instance]
}

// run lets the time pass without requests.
func (s *simulation) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.step()
	}
}

// step passes one step: lists, configurations, ticks and reports.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	step := int(s.now.Sub(simStart) / simStep)
	for n, i := range s.instances {
		if i.isDown || i.isFrozen {
			continue
		}
		if s.isControlled(i.piece) {
			i.heardAt = s.now
			isFirst := !i.roster.IsKnown() && s.now.Sub(i.startedAt) >= firstListDelay
			if isFirst || (step+7*i.phase)%int(listInterval/simStep) == 0 {
				s.list(n, i)
			}
		}
		if (step+3*i.phase)%25 == 0 {
			s.tick(i)
		}
	}
}

func (s *simulation) list(n int, i *simInstance) {
	var members []Member
	for other, o := range s.instances {
		if s.now.Sub(o.heardAt) < lossDelay && !s.hides(n, other) {
			members = append(members, o.member)
		}
	}
	i.roster.Update(s.now, members)
	i.confirmed = s.now
	if i.version != s.version || !i.keeper.isConfigured {
		i.keeper.Configure(s.now, s.limits(), s.terms)
		i.version = s.version
	}
}

func (s *simulation) tick(i *simInstance) {
	reached, members := 1, i.roster.ZoneMembers()
	for _, m := range members {
		if s.reaches(i, s.find(m)) {
			reached++
		}
	}
	i.keeper.Tick(s.now, s.now.Sub(i.confirmed) < 5*time.Second || 2*reached > len(members)+1)
	for _, r := range i.holder.TakeReports(s.now) {
		if m, _, found := i.roster.Keeper(s.now, i.member.Zone, r.Organisation, 0); found && s.reaches(i, s.find(m)) {
			s.find(m).keeper.Return(s.now, r.Organisation, r.Returned)
		}
	}
}

// charge charges a request to the organisation at the instance.
func (s *simulation) charge(i *simInstance, organisation string) bool {
	if i.holder.Take(s.now, organisation) {
		return true
	}
	wanted := i.holder.Wanted(s.now, organisation)
	for tried := 0; ; {
		m, rank, found := i.roster.Keeper(s.now, i.member.Zone, organisation, tried)
		if !found {
			return false
		}
		tried = rank + 1
		keeper := s.find(m)
		if !s.reaches(i, keeper) {
			i.roster.RecordFailure(s.now, m.Instance)
			continue
		}
		s.calls++
		if !keeper.keeper.Keeps(s.now, organisation) {
			continue
		}
		g := s.allot(keeper, organisation, wanted)
		if g.IsUnknown || i != keeper && s.random.Float64() < s.lostShare {
			continue
		}
		return i.holder.Accept(s.now, organisation, g.Tokens, LeaseDuration)
	}
}

func (s *simulation) allot(i *simInstance, organisation string, wanted float64) Grant {
	g := i.keeper.Allot(s.now, organisation, wanted)
	if g.Missing == 0 {
		return g
	}
	for _, m := range i.keeper.Lenders(s.now, organisation) {
		lender := s.find(m)
		switch {
		case !s.reaches(i, lender):
			i.roster.RecordFailure(s.now, m.Instance)
		case lender.keeper.Keeps(s.now, organisation):
			s.calls++
			if loan := lender.keeper.Lend(s.now, organisation, g.Missing); s.random.Float64() >= s.lostShare {
				i.keeper.Borrowed(s.now, organisation, m.Instance, g.Missing, loan)
			}
		}
	}
	return i.keeper.Allot(s.now, organisation, wanted)
}

// serve passes the duration with requests.
func (s *simulation) serve(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.step()
		for _, o := range s.organisations {
			o.level = min(o.limit.Burst, o.level+o.limit.Rate*simStep.Seconds())
			isQuiet := o.inBursts && s.now.Sub(simStart)%(9*time.Second) < 6*time.Second
			if !isQuiet && s.random.Float64() < o.usual*o.factor*simStep.Seconds() {
				s.request(o)
			}
		}
	}
}

// request sends a request of one of the organisation's callers, to the next instance if its own is down.
func (s *simulation) request(o *simOrganisation) {
	number := o.callers[s.random.IntN(len(o.callers))]
	for s.instances[number].isDown || s.instances[number].isFrozen {
		number = (number + 1) % len(s.instances)
	}
	isOwed := o.level >= 1
	if isOwed {
		o.level--
		o.owed++
	}
	i := s.instances[number]
	switch {
	case !s.charge(i, o.limit.Organisation):
		if isOwed {
			o.refused++
		}
	case s.random.Float64() < rejectedShare:
		i.holder.Return(o.limit.Organisation)
		o.level = min(o.limit.Burst, o.level+1)
	default:
		o.admitted = append(o.admitted, s.now)
	}
}

// worstExcess returns by how many requests the organisation's worst window exceeds what the limit allows, as a share of it.
func (o *simOrganisation) worstExcess(t Terms, l Limit) float64 {
	allowed := (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Tolerance
	worst, first := 0, 0
	for last, at := range o.admitted {
		for at.Sub(o.admitted[first]) >= t.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return float64(worst)/allowed - 1
}
