package scatterer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

var start = time.Unix(1_000_000, 0)

// newPolicies returns policies for services with two replicas each.
func newPolicies(burst float64, services ...string) *Policies {
	random := rand.New(rand.NewPCG(1, 2))
	p := &Policies{
		Balancer:        balancer.New("a", random),
		Shedder:         shedder.New(random),
		Screener:        screener.New(start),
		CallerAllowance: 10 * time.Millisecond,
		Overrun:         &Overrun{},
	}
	windows := map[string]*limiter.Window{}
	p.RetryBudget = func(service string) *limiter.Window {
		if windows[service] == nil {
			windows[service] = limiter.NewWindow(limiter.WindowLimit{
				Burst:  burst,
				Length: 10 * time.Second,
			})
		}
		return windows[service]
	}
	for _, service := range services {
		for _, zone := range []string{"a", "b"} {
			p.Balancer.Put(balancer.Replica{
				ID:      service + "-" + zone,
				Service: service,
				Address: service + zone + ":1",
				Zone:    zone,
				Slots:   2,
			})
		}
	}
	return p
}

func singleRoute(idempotent bool) *matcher.Route {
	return &matcher.Route{
		Name:          "single",
		Idempotent:    idempotent,
		Timeout:       time.Second,
		TargetLatency: 100 * time.Millisecond,
		Service:       "one",
		MaxRuns:       2,
	}
}

func shardedRoute(shards int, minShare float64) *matcher.Route {
	r := &matcher.Route{
		Name:          "gathered",
		Idempotent:    true,
		Timeout:       time.Second,
		TargetLatency: 100 * time.Millisecond,
		MaxRuns:       2,
		TopK:          5,
		MinShardShare: minShare,
	}
	for i := range shards {
		r.Shards = append(r.Shards, fmt.Sprintf("shard-%d", i))
	}
	return r
}

func newJob(route *matcher.Route, p *Policies) *Job {
	return newJobAt(start, route, p)
}

func newJobAt(now time.Time, route *matcher.Route, p *Policies) *Job {
	return New(Request{
		ID:        "1",
		Route:     route,
		ArrivedAt: now,
		Deadline:  now.Add(800 * time.Millisecond),
	}, p)
}

func replied(status int) Outcome {
	return Outcome{
		Kind: OutcomeReplied,
		Reply: &Reply{
			Status: status,
			Stamp:  "stamp",
		},
	}
}

func outcomeOf(kind OutcomeKind) Outcome {
	return Outcome{
		Kind: kind,
	}
}

// TestRetryByOutcome checks after which outcomes a request is sent again, and what its caller gets. It guards against a status after a run that tells the caller of a request that may run once to send it again.
func TestRetryByOutcome(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		outcomes   []Outcome
		wantSends  int
		want       DecisionKind
		wantStatus int
	}{
		{"answered", false, []Outcome{replied(200)}, 1, Relayed, 200},
		{"failed", false, []Outcome{replied(500)}, 1, Relayed, 500},
		{"failed with 408", false, []Outcome{replied(408)}, 1, Failed, 0},
		{"failed with 421", false, []Outcome{replied(421)}, 1, Failed, 0},
		{"failed with 429", false, []Outcome{replied(429)}, 1, Failed, 0},
		{"failed with 503", false, []Outcome{replied(503)}, 1, Failed, 0},
		{"failed with 504", false, []Outcome{replied(504)}, 1, Relayed, 504},
		{"rejected, then failed with 503", false, []Outcome{outcomeOf(OutcomeRejected), replied(503)}, 2, Failed, 0},
		{"idempotent: failed with 429 twice", true, []Outcome{replied(429), replied(429)}, 2, Relayed, 429},
		{"broken", false, []Outcome{outcomeOf(OutcomeBroken)}, 1, Failed, 0},
		{"rejected, then answered", false, []Outcome{outcomeOf(OutcomeRejected), replied(200)}, 2, Relayed, 200},
		{"misdirected, then answered", false, []Outcome{outcomeOf(OutcomeMisdirected), replied(200)}, 2, Relayed, 200},
		{"unsent, then answered", false, []Outcome{outcomeOf(OutcomeUnsent), replied(200)}, 2, Relayed, 200},
		{"unsent, then broken", false, []Outcome{outcomeOf(OutcomeUnsent), outcomeOf(OutcomeBroken)}, 2, Failed, 0},
		{"rejected by all", false, []Outcome{outcomeOf(OutcomeRejected), outcomeOf(OutcomeRejected)}, 2, Refused, 0},
		{"unsent to all", false, []Outcome{outcomeOf(OutcomeUnsent), outcomeOf(OutcomeUnsent)}, 2, Refused, 0},
		{"rejected, then failed", false, []Outcome{outcomeOf(OutcomeRejected), replied(500)}, 2, Relayed, 500},
		{"idempotent: broken, then answered", true, []Outcome{outcomeOf(OutcomeBroken), replied(200)}, 2, Relayed, 200},
		{"idempotent: failed, then answered", true, []Outcome{replied(500), replied(200)}, 2, Relayed, 200},
		{"idempotent: failed twice", true, []Outcome{replied(500), replied(503)}, 2, Relayed, 503},
		{"idempotent: broken twice", true, []Outcome{outcomeOf(OutcomeBroken), outcomeOf(OutcomeBroken)}, 2, Failed, 0},
		{"idempotent: broken, then rejected", true, []Outcome{outcomeOf(OutcomeBroken), outcomeOf(OutcomeRejected)}, 2, Failed, 0},
	}
	for _, c := range cases {
		p := newPolicies(10, "one")
		j := newJob(singleRoute(c.idempotent), p)
		attempts := j.Start(start)
		sent := 0
		for i, outcome := range c.outcomes {
			if len(attempts) == 0 {
				break
			}
			sent++
			attempts = j.HandleOutcome(start.Add(time.Duration(i+1)*time.Millisecond), attempts[0], outcome)
		}
		sent += len(attempts)
		d := j.Decision()
		if sent != c.wantSends || d == nil || d.Kind != c.want {
			t.Errorf("%s: %d attempts, decision %+v; want %d attempts, kind %d", c.name, sent, d, c.wantSends, c.want)
			continue
		}
		if d.Kind == Relayed && d.Replies[0].Status != c.wantStatus {
			t.Errorf("%s: status %d, want %d", c.name, d.Replies[0].Status, c.wantStatus)
		}
		if d.Kind == Refused && d.RetryAfter == 0 {
			t.Errorf("%s: refused without RetryAfter", c.name)
		}
	}
}

// TestNonIdempotentIsNotHedged checks that a slow attempt of a request that is not idempotent is never repeated.
func TestNonIdempotentIsNotHedged(t *testing.T) {
	p := newPolicies(10, "one")
	j := newJob(singleRoute(false), p)
	j.Start(start)
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
		if attempts := j.Tick(now); len(attempts) > 0 {
			t.Fatal("second attempt sent while the first may still run")
		}
	}
	if d := j.Decision(); d == nil || d.Kind != Expired {
		t.Errorf("decision %+v, want expired", j.Decision())
	}
}

func TestNoReplicaIsRefusedAtOnce(t *testing.T) {
	p := newPolicies(10, "shard-0", "shard-1", "shard-2")
	j := newJob(shardedRoute(4, 1), p)
	if attempts := j.Start(start); len(attempts) > 0 {
		t.Errorf("%d attempts sent, want none", len(attempts))
	}
	if d := j.Decision(); d == nil || d.Kind != Refused || d.Reason != ReasonNoReplica {
		t.Errorf("decision %+v, want refused for lack of replicas", d)
	}
}

// TestGathered checks the caller's answer for shards that answer at different times or never.
func TestGathered(t *testing.T) {
	const shards = 10
	never := time.Hour
	cases := []struct {
		name        string
		minShare    float64
		answerAfter map[int]time.Duration
		want        DecisionKind
		wantMissing int
		// decidedWithin is the longest time from the request's arrival to the decision.
		decidedWithin time.Duration
	}{
		{"all in time", 0.9, nil, Gathered, 0, 10 * time.Millisecond},
		{"one slow", 0.9, map[int]time.Duration{3: 300 * time.Millisecond}, Gathered, 1, 95 * time.Millisecond},
		{"one too many slow, minimum met late", 0.9, map[int]time.Duration{3: never, 5: 300 * time.Millisecond}, Gathered, 1, 301 * time.Millisecond},
		{"all required, one never answers", 1, map[int]time.Duration{3: never}, Expired, 1, 790 * time.Millisecond},
	}
	for _, c := range cases {
		j := newJob(shardedRoute(shards, c.minShare), newPolicies(0, shardNames(shards)...))
		now := simulateShards(j, c.answerAfter)
		d := j.Decision()
		if d == nil || d.Kind != c.want || d.MissingShards != c.wantMissing || now.Sub(start) > c.decidedWithin+time.Millisecond {
			t.Errorf("%s: decision %+v after %s", c.name, d, now.Sub(start))
			continue
		}
		if d.Kind == Gathered && len(d.Replies)+d.MissingShards != shards {
			t.Errorf("%s: %d replies and %d missing", c.name, len(d.Replies), d.MissingShards)
		}
	}
}

// simulateShards answers each shard after 5 ms or the time in answerAfter, and returns when the job was decided.
func simulateShards(j *Job, answerAfter map[int]time.Duration) time.Time {
	pending := j.Start(start)
	now := start
	for ; j.Decision() == nil && now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for _, a := range pending {
			due, slow := answerAfter[a.Shard]
			if !slow {
				due = 5 * time.Millisecond
			}
			if now.Sub(start) == due {
				j.HandleOutcome(now, a, replied(200))
			}
		}
		j.Tick(now)
	}
	return now
}

func shardNames(shards int) []string {
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("shard-%d", i))
	}
	return names
}

// tickUntilSent calls Tick every millisecond until an attempt is sent or the limit has passed.
func tickUntilSent(j *Job, limit time.Duration) ([]*Attempt, time.Time) {
	now := start
	for ; now.Before(start.Add(limit)); now = now.Add(time.Millisecond) {
		if attempts := j.Tick(now); len(attempts) > 0 {
			return attempts, now
		}
	}
	return nil, now
}

// TestStragglersAreHedged checks that a shard whose replica does not answer is hedged at the other replica, once and only within the budget.
func TestStragglersAreHedged(t *testing.T) {
	for _, burst := range []float64{0, 5} {
		p := newPolicies(burst, shardNames(4)...)
		j := newJob(shardedRoute(4, 1), p)
		attempts := j.Start(start)
		for _, a := range attempts[1:] {
			j.HandleOutcome(start.Add(2*time.Millisecond), a, replied(200))
		}
		hedges, now := tickUntilSent(j, 80*time.Millisecond)
		if burst == 0 {
			if len(hedges) > 0 {
				t.Error("hedged without budget")
			}
			continue
		}
		if len(hedges) != 1 || hedges[0].Replica == attempts[0].Replica || hedges[0].Kind != AttemptHedge {
			t.Fatalf("hedges %+v", hedges)
		}
		if more := j.Tick(now.Add(50 * time.Millisecond)); len(more) > 0 {
			t.Error("hedged beyond the route's MaxRuns")
		}
		j.HandleOutcome(now, hedges[0], replied(200))
		if d := j.Decision(); d == nil || d.Kind != Gathered || d.MissingShards != 0 {
			t.Errorf("decision %+v, want a complete answer", d)
		}
	}
}

// TestInvariantsUnderRandomOutcomes ends attempts at random. It checks that a request that is not idempotent is never sent again while it may have run, that no more replicas than allowed run a shard's request, and that a refusal means that nothing has run.
func TestInvariantsUnderRandomOutcomes(t *testing.T) {
	for seed := range uint64(3000) {
		route := singleRoute(seed%2 == 0)
		services := []string{"one"}
		if seed%3 == 0 {
			route = shardedRoute(4, 0.75)
			services = shardNames(4)
		}
		random := rand.New(rand.NewPCG(seed, 3))
		c := &invariantChecker{
			t:          t,
			seed:       seed,
			route:      route,
			random:     random,
			mayHaveRun: map[string]map[string]bool{},
		}
		c.run(newJob(route, newPolicies(float64(random.IntN(4)), services...)))
	}
}

// invariantChecker tracks which replicas may have run a request.
type invariantChecker struct {
	t          *testing.T
	seed       uint64
	route      *matcher.Route
	random     *rand.Rand
	mayHaveRun map[string]map[string]bool
	pending    []*Attempt
}

func (c *invariantChecker) run(j *Job) {
	now := start
	c.recordSent(j.Start(now))
	for j.Decision() == nil && now.Before(start.Add(2*time.Second)) {
		now = now.Add(time.Duration(1+c.random.IntN(20)) * time.Millisecond)
		if len(c.pending) > 0 && c.random.IntN(3) > 0 {
			a, outcome := c.endRandomAttempt()
			c.recordSent(j.HandleOutcome(now, a, outcome))
		} else {
			c.recordSent(j.Tick(now))
		}
		c.requireCurrent(j)
	}
	switch d := j.Decision(); {
	case d == nil:
		c.t.Fatalf("seed %d: no decision", c.seed)
	case d.Kind == Refused && c.possibleRunCount() > 0:
		c.t.Fatalf("seed %d: refused although %v may have run it", c.seed, c.mayHaveRun)
	}
}

// requireCurrent checks that what a job without a decision keeps between changes is up to date.
func (c *invariantChecker) requireCurrent(j *Job) {
	if j.Decision() != nil {
		return
	}
	if next, want := j.NextTick(), j.findNextTick(); next.After(want) {
		c.t.Fatalf("seed %d: next tick %s too late", c.seed, next.Sub(want))
	}
	if got, want := j.outstandingCount(), len(j.shards)-j.answeredShards-j.countDeadShards(); got != want {
		c.t.Fatalf("seed %d: %d shards outstanding, want %d", c.seed, got, want)
	}
}

func (c *invariantChecker) recordSent(attempts []*Attempt) {
	for _, a := range attempts {
		if !c.route.Idempotent && len(c.mayHaveRun[a.Service]) > 0 {
			c.t.Fatalf("seed %d: sent again although it may have run", c.seed)
		}
		if c.mayHaveRun[a.Service] == nil {
			c.mayHaveRun[a.Service] = map[string]bool{}
		}
		c.mayHaveRun[a.Service][a.Replica.ID] = true
		if len(c.mayHaveRun[a.Service]) > c.route.MaxRuns {
			c.t.Fatalf("seed %d: too many replicas may run it: %v", c.seed, c.mayHaveRun[a.Service])
		}
		c.pending = append(c.pending, a)
	}
}

// endRandomAttempt ends one of the pending attempts with a random outcome.
func (c *invariantChecker) endRandomAttempt() (*Attempt, Outcome) {
	i := c.random.IntN(len(c.pending))
	a := c.pending[i]
	c.pending = append(c.pending[:i:i], c.pending[i+1:]...)
	notRunKinds := []OutcomeKind{OutcomeUnsent, OutcomeRejected, OutcomeMisdirected}
	outcomes := []Outcome{replied(200), replied(500), outcomeOf(OutcomeBroken)}
	n := c.random.IntN(len(outcomes) + len(notRunKinds))
	if n < len(outcomes) {
		return a, outcomes[n]
	}
	delete(c.mayHaveRun[a.Service], a.Replica.ID)
	return a, outcomeOf(notRunKinds[n-len(outcomes)])
}

func (c *invariantChecker) possibleRunCount() int {
	count := 0
	for _, replicas := range c.mayHaveRun {
		count += len(replicas)
	}
	return count
}

// useRepeats uses a part of the retry budget of each shard.
func useRepeats(p *Policies, route *matcher.Route, count int) {
	for _, service := range route.Shards {
		for range count {
			p.RetryBudget(service).TryRepeat(start)
		}
	}
}

// TestColdStartIsNotHedged checks a query of many shards on an instance that opens all of its connections anew: no shard is hedged before most have answered, and then only those that are late. With a short budget only those are that are late in relation to the others, while a hedge may still be in time or no answer is.
func TestColdStartIsNotHedged(t *testing.T) {
	const shards = 90
	cases := map[string]struct {
		answeredAfter time.Duration
		// usedRepeats is how many of the 1000 repeats of each shard's budget are used.
		usedRepeats int
		wantHedges  int
	}{
		"ample budget":                                        {60 * time.Millisecond, 0, shards - 60},
		"short budget, most answer early":                     {20 * time.Millisecond, 600, shards - 60},
		"short budget, most answer when a hedge is too late":  {60 * time.Millisecond, 600, 0},
		"short budget, most answer when a hedge is just late": {50 * time.Millisecond, 600, 0},
	}
	for name, c := range cases {
		route := shardedRoute(shards, 0.9)
		p := newPolicies(1000, route.Shards...)
		useRepeats(p, route, c.usedRepeats)
		j := newJob(route, p)
		attempts := j.Start(start)
		if len(attempts) != shards {
			t.Fatalf("%s: %d attempts sent", name, len(attempts))
		}
		now := start
		for now.Before(start.Add(c.answeredAfter)) {
			now = now.Add(10 * time.Millisecond)
			if hedges := j.Tick(now); len(hedges) > 0 {
				t.Fatalf("%s: %d hedges after %s with no answer", name, len(hedges), now.Sub(start))
			}
		}
		for _, a := range attempts[:60] {
			if hedges := j.HandleOutcome(now, a, replied(200)); len(hedges) > 0 {
				t.Fatalf("%s: an answer caused %d attempts", name, len(hedges))
			}
		}
		hedges := 0
		for now = now.Add(recheckInterval); now.Before(j.softDeadline); now = now.Add(recheckInterval) {
			hedges += len(j.Tick(now))
		}
		if hedges != c.wantHedges {
			t.Errorf("%s: %d hedges once most have answered, want %d", name, hedges, c.wantHedges)
		}
		// Without an answer in time, a late one is better than none.
		if hedges += len(j.Tick(now)); hedges != shards-60 {
			t.Errorf("%s: %d hedges after the soft deadline, want %d", name, hedges, shards-60)
		}
	}
}
