package apportioner

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// useTTL is how long a reported use counts. Afterwards an organisation is taken to send its usual load.
	useTTL = 10 * time.Second
	// tolerance is how far above its usual use an organisation is not throttled; the use of a few seconds varies by that much.
	tolerance = 1.25
	// minUsualShare is the least usual use that an organisation is taken to have, as a share of the mean over all. Without it, a single request of a small organisation would be many times its usual use.
	minUsualShare = 0.25
	// minShare is the smallest share of its queries that an organisation keeps. The rule is a quarter of the share that is served of all.
	minShare = 0.35
	// shareMemory is the time over which the admitted share is averaged. It matches the window of the reported use, which is after throttling.
	shareMemory = 3 * time.Second
	// maxOrganisations bounds the organisations that are tracked; one that was reported longest ago makes room.
	maxOrganisations = 4096
)

// Traffic is a kind of queries.
type Traffic struct {
	Organisation string
	// Priority ranks the query; 0 is the most urgent.
	Priority int
}

// account is what is known of one organisation.
type account struct {
	used, usual float64
	reportedAt  time.Time
	// share is the admitted share, averaged over shareMemory up to sharedAt.
	share    float64
	sharedAt time.Time
	// credit is the part of a query that is admitted already, so that shares hold also for few queries.
	credit float64
}

// Apportioner tracks the use of organisations and the congestion of replicas; it is not safe for concurrent use.
type Apportioner struct {
	random   *rand.Rand
	accounts map[string]*account
	pressure pressure
	returns  returns
	// usualSum is the sum of the usual use of all accounts.
	usualSum float64
	// seenAt is when a query of a priority last came.
	seenAt map[int]time.Time
}

// New returns an apportioner that admits everything.
func New(random *rand.Rand) *Apportioner {
	return &Apportioner{
		random:   random,
		accounts: map[string]*account{},
		returns: returns{
			last: map[int]time.Time{},
		},
		seenAt: map[int]time.Time{},
	}
}

// Observe records an organisation's recent and usual use of the availability zone, in milliseconds of work per second.
func (a *Apportioner) Observe(now time.Time, organisation string, usedPerSecond, usualPerSecond float64) {
	o := a.ensureAccount(now, organisation)
	a.usualSum += usualPerSecond - o.usual
	o.used = usedPerSecond
	o.usual = usualPerSecond
	o.reportedAt = now
}

// ObserveAttempt records whether an attempt was rejected because of load or answered too late to be useful.
func (a *Apportioner) ObserveAttempt(now time.Time, isCongested bool) {
	a.pressure.observe(now, isCongested)
}

// Admit returns 0 if the query is to be sent, and otherwise the time after which its caller is to come back.
func (a *Apportioner) Admit(now time.Time, traffic Traffic) time.Duration {
	a.notePriority(now, traffic.Priority)
	level := a.pressure.level(now)
	if level == 0 {
		return 0
	}
	o := a.ensureAccount(now, traffic.Organisation)
	share := a.shareOf(now, o, traffic.Priority, level)
	o.noteShare(now, share)
	o.credit += share
	if o.credit >= 1 {
		o.credit--
		return 0
	}
	return a.returns.next(now, traffic.Priority)
}

// shareOf returns the share of its queries that the organisation may send. Up to a level of 1, those above their usual use are throttled towards it; beyond it, the least urgent priority is shed first.
func (a *Apportioner) shareOf(now time.Time, o *account, priority int, level float64) float64 {
	share := 1 - min(1, level)*(1-a.usualShare(now, o))
	share *= 1 - a.classCut(priority, level-1)*(1-minShare)
	return max(minShare, share)
}

// usualShare returns the share of its queries at which the organisation has its usual use.
func (a *Apportioner) usualShare(now time.Time, o *account) float64 {
	if now.Sub(o.reportedAt) > useTTL || o.used <= 0 {
		return 1
	}
	usual := max(o.usual, minUsualShare*a.usualSum/float64(len(a.accounts)))
	// The use was reported after throttling.
	demand := o.used / o.shareAt(now)
	return min(1, tolerance*usual/demand)
}

// classCut returns how much of the excess of a priority is shed: the least urgent one first, the next once nothing of that one is left to shed.
func (a *Apportioner) classCut(priority int, level float64) float64 {
	if level <= 0 {
		return 0
	}
	lessUrgent := 0
	for other := range a.seenAt {
		if other > priority {
			lessUrgent++
		}
	}
	position := level / (maxLevel - 1) * float64(len(a.seenAt))
	return min(1, max(0, position-float64(lessUrgent)))
}

// notePriority records the priority and forgets those that have not come for long.
func (a *Apportioner) notePriority(now time.Time, priority int) {
	a.seenAt[priority] = now
	for other, seenAt := range a.seenAt {
		if now.Sub(seenAt) > useTTL {
			delete(a.seenAt, other)
		}
	}
}

func (a *Apportioner) ensureAccount(now time.Time, organisation string) *account {
	if o := a.accounts[organisation]; o != nil {
		return o
	}
	if len(a.accounts) >= maxOrganisations {
		a.evictOldest()
	}
	o := &account{
		share:    1,
		sharedAt: now,
		// The credits of many instances that each see few queries must not be in step.
		credit: a.random.Float64(),
	}
	a.accounts[organisation] = o
	return o
}

func (a *Apportioner) evictOldest() {
	names := make([]string, 0, len(a.accounts))
	for name := range a.accounts {
		names = append(names, name)
	}
	oldest := slices.MinFunc(names, func(x, y string) int { return a.accounts[x].reportedAt.Compare(a.accounts[y].reportedAt) })
	a.usualSum -= a.accounts[oldest].usual
	delete(a.accounts, oldest)
}

// Level returns how congested the replicas are: 0 is not at all, from 1 on organisations are throttled to their usual use, and up to 3 the priorities are shed.
func (a *Apportioner) Level(now time.Time) float64 { return a.pressure.level(now) }
