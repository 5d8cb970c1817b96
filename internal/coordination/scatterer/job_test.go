package scatterer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

var start = time.Unix(1_000_000, 0)

// newPolicies returns policies over services with two replicas each.
func newPolicies(burst float64, services ...string) *Policies {
	random := rand.New(rand.NewPCG(1, 2))
	p := &Policies{
		Balancer:  balancer.New("a", random),
		Shedder:   shedder.New(random),
		Allowance: 10 * time.Millisecond,
		Overrun:   &Overrun{},
	}
	windows := map[string]*limiter.Window{}
	p.Window = func(service string) *limiter.Window {
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

func single(idempotent bool) *matcher.Route {
	return &matcher.Route{
		Name:       "single",
		Idempotent: idempotent,
		Timeout:    time.Second,
		Target:     100 * time.Millisecond,
		Service:    "one",
		Attempts:   2,
	}
}

func gathered(shards int, least float64) *matcher.Route {
	r := &matcher.Route{
		Name:       "gathered",
		Idempotent: true,
		Timeout:    time.Second,
		Target:     100 * time.Millisecond,
		Attempts:   2,
		TopK:       5,
		LeastShare: least,
	}
	for i := range shards {
		r.Shards = append(r.Shards, fmt.Sprintf("shard-%d", i))
	}
	return r
}

func newJob(route *matcher.Route, p *Policies) *Job {
	return New(Request{
		ID:       "1",
		Route:    route,
		Arrived:  start,
		Deadline: start.Add(800 * time.Millisecond),
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

func ended(kind OutcomeKind) Outcome {
	return Outcome{
		Kind: kind,
	}
}

// TestOnce holds what each way in which attempts end lets a request be sent again, and what its caller is told.
func TestOnce(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		outcomes   []Outcome
		sends      int
		want       DecisionKind
		status     int
	}{
		{"answered", false, []Outcome{replied(200)}, 1, Relayed, 200},
		{"failed", false, []Outcome{replied(500)}, 1, Relayed, 500},
		{"broke off", false, []Outcome{ended(OutcomeBroken)}, 1, Failed, 0},
		{"rejected, then answered", false, []Outcome{ended(OutcomeRejected), replied(200)}, 2, Relayed, 200},
		{"misdirected, then answered", false, []Outcome{ended(OutcomeMisdirected), replied(200)}, 2, Relayed, 200},
		{"unsent, then answered", false, []Outcome{ended(OutcomeUnsent), replied(200)}, 2, Relayed, 200},
		{"unsent, then broke off", false, []Outcome{ended(OutcomeUnsent), ended(OutcomeBroken)}, 2, Failed, 0},
		{"rejected by all", false, []Outcome{ended(OutcomeRejected), ended(OutcomeRejected)}, 2, Refused, 0},
		{"unsent to all", false, []Outcome{ended(OutcomeUnsent), ended(OutcomeUnsent)}, 2, Refused, 0},
		{"rejected, then failed", false, []Outcome{ended(OutcomeRejected), replied(500)}, 2, Relayed, 500},
		{"may be repeated: broke off, then answered", true, []Outcome{ended(OutcomeBroken), replied(200)}, 2, Relayed, 200},
		{"may be repeated: failed, then answered", true, []Outcome{replied(500), replied(200)}, 2, Relayed, 200},
		{"may be repeated: failed twice", true, []Outcome{replied(500), replied(503)}, 2, Relayed, 503},
		{"may be repeated: broke off twice", true, []Outcome{ended(OutcomeBroken), ended(OutcomeBroken)}, 2, Failed, 0},
		{"may be repeated: broke off, then rejected", true, []Outcome{ended(OutcomeBroken), ended(OutcomeRejected)}, 2, Failed, 0},
	}
	for _, c := range cases {
		p := newPolicies(10, "one")
		j := newJob(single(c.idempotent), p)
		sends := j.Start(start)
		sent := 0
		for i, outcome := range c.outcomes {
			if len(sends) == 0 {
				break
			}
			sent++
			sends = j.Ended(start.Add(time.Duration(i+1)*time.Millisecond), sends[0], outcome)
		}
		sent += len(sends)
		d := j.Decision()
		if sent != c.sends || d == nil || d.Kind != c.want {
			t.Errorf("%s: %d sent, %+v; want %d, kind %d", c.name, sent, d, c.sends, c.want)
			continue
		}
		if d.Kind == Relayed && d.Replies[0].Status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, d.Replies[0].Status, c.status)
		}
		if d.Kind == Refused && d.RetryAfter == 0 {
			t.Errorf("%s: refused without a time to come back", c.name)
		}
	}
}

// TestOnceIsNotHedged holds that a slow attempt of what may run once is never repeated.
func TestOnceIsNotHedged(t *testing.T) {
	p := newPolicies(10, "one")
	j := newJob(single(false), p)
	j.Start(start)
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(5 * time.Millisecond) {
		if sends := j.Tick(now); len(sends) > 0 {
			t.Fatal("sent again while the first attempt may run")
		}
	}
	if d := j.Decision(); d == nil || d.Kind != Expired {
		t.Errorf("%+v, want expired", j.Decision())
	}
}

func TestNoReplicaIsRefusedAtOnce(t *testing.T) {
	p := newPolicies(10, "shard-0", "shard-1", "shard-2")
	j := newJob(gathered(4, 1), p)
	if sends := j.Start(start); len(sends) > 0 {
		t.Errorf("%d sent", len(sends))
	}
	if d := j.Decision(); d == nil || d.Kind != Refused || d.Reason != ReasonNoReplica {
		t.Errorf("%+v, want refused", d)
	}
}

// TestGathered plays which shards answer, and when, against what the caller gets.
func TestGathered(t *testing.T) {
	const shards = 10
	never := time.Hour
	cases := []struct {
		name    string
		least   float64
		at      map[int]time.Duration
		want    DecisionKind
		missing int
		// decided is when, from the request's arrival, at the latest.
		decided time.Duration
	}{
		{"all in time", 0.9, nil, Gathered, 0, 10 * time.Millisecond},
		{"one slow", 0.9, map[int]time.Duration{3: 300 * time.Millisecond}, Gathered, 1, 95 * time.Millisecond},
		{"one too many slow, least met late", 0.9, map[int]time.Duration{3: never, 5: 300 * time.Millisecond}, Gathered, 1, 301 * time.Millisecond},
		{"all needed, one never", 1, map[int]time.Duration{3: never}, Expired, 1, 790 * time.Millisecond},
	}
	for _, c := range cases {
		j := newJob(gathered(shards, c.least), newPolicies(0, names(shards)...))
		now := playShards(j, c.at)
		d := j.Decision()
		if d == nil || d.Kind != c.want || d.Missing != c.missing || now.Sub(start) > c.decided+time.Millisecond {
			t.Errorf("%s: %+v after %s", c.name, d, now.Sub(start))
			continue
		}
		if d.Kind == Gathered && len(d.Replies)+d.Missing != shards {
			t.Errorf("%s: %d parts and %d missing", c.name, len(d.Replies), d.Missing)
		}
	}
}

// playShards answers each shard after 5 ms, or when the table says, and returns when the job was decided.
func playShards(j *Job, at map[int]time.Duration) time.Time {
	pending := j.Start(start)
	now := start
	for ; j.Decision() == nil && now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for _, a := range pending {
			due, slow := at[a.Shard]
			if !slow {
				due = 5 * time.Millisecond
			}
			if now.Sub(start) == due {
				j.Ended(now, a, replied(200))
			}
		}
		j.Tick(now)
	}
	return now
}

func names(shards int) []string {
	var list []string
	for i := range shards {
		list = append(list, fmt.Sprintf("shard-%d", i))
	}
	return list
}

// tickUntilSent ticks each millisecond until something is sent or the time is over.
func tickUntilSent(j *Job, limit time.Duration) ([]*Attempt, time.Time) {
	now := start
	for ; now.Before(start.Add(limit)); now = now.Add(time.Millisecond) {
		if sends := j.Tick(now); len(sends) > 0 {
			return sends, now
		}
	}
	return nil, now
}

// TestStragglersAreHedged holds that a silent replica's shard is asked from the other one, once, and only within the budget.
func TestStragglersAreHedged(t *testing.T) {
	for _, burst := range []float64{0, 5} {
		p := newPolicies(burst, names(4)...)
		j := newJob(gathered(4, 1), p)
		sends := j.Start(start)
		for _, a := range sends[1:] {
			j.Ended(start.Add(2*time.Millisecond), a, replied(200))
		}
		hedges, now := tickUntilSent(j, 80*time.Millisecond)
		if burst == 0 {
			if len(hedges) > 0 {
				t.Error("hedged without a budget")
			}
			continue
		}
		if len(hedges) != 1 || hedges[0].Replica == sends[0].Replica || hedges[0].Kind != AttemptHedge {
			t.Fatalf("hedges %+v", hedges)
		}
		if more := j.Tick(now.Add(50 * time.Millisecond)); len(more) > 0 {
			t.Error("more replicas than the route's attempts")
		}
		j.Ended(now, hedges[0], replied(200))
		if d := j.Decision(); d == nil || d.Kind != Gathered || d.Missing != 0 {
			t.Errorf("%+v", d)
		}
	}
}

// TestPromisesUnderRandomEnds plays random ends of attempts, and holds that nothing that may run once is sent while it may have run, that no shard is asked of more replicas than allowed to run it, and that a refusal means that nothing has run.
func TestPromisesUnderRandomEnds(t *testing.T) {
	for seed := range uint64(3000) {
		route := single(seed%2 == 0)
		services := []string{"one"}
		if seed%3 == 0 {
			route = gathered(4, 0.75)
			services = names(4)
		}
		random := rand.New(rand.NewPCG(seed, 3))
		w := &witness{
			t:      t,
			seed:   seed,
			route:  route,
			random: random,
			ran:    map[string]map[string]bool{},
		}
		w.play(newJob(route, newPolicies(float64(random.IntN(4)), services...)))
	}
}

// witness keeps which replicas may have run a request.
type witness struct {
	t       *testing.T
	seed    uint64
	route   *matcher.Route
	random  *rand.Rand
	ran     map[string]map[string]bool
	pending []*Attempt
}

func (w *witness) play(j *Job) {
	now := start
	w.take(j.Start(now))
	for j.Decision() == nil && now.Before(start.Add(2*time.Second)) {
		now = now.Add(time.Duration(1+w.random.IntN(20)) * time.Millisecond)
		if len(w.pending) > 0 && w.random.IntN(3) > 0 {
			a, outcome := w.end()
			w.take(j.Ended(now, a, outcome))
			continue
		}
		w.take(j.Tick(now))
	}
	switch d := j.Decision(); {
	case d == nil:
		w.t.Fatalf("seed %d: no decision", w.seed)
	case d.Kind == Refused && w.count() > 0:
		w.t.Fatalf("seed %d: refused as not run, though %v may have run it", w.seed, w.ran)
	}
}

func (w *witness) take(sends []*Attempt) {
	for _, a := range sends {
		if !w.route.Idempotent && len(w.ran[a.Service]) > 0 {
			w.t.Fatalf("seed %d: sent again though it may have run", w.seed)
		}
		if w.ran[a.Service] == nil {
			w.ran[a.Service] = map[string]bool{}
		}
		w.ran[a.Service][a.Replica.ID] = true
		if len(w.ran[a.Service]) > w.route.Attempts {
			w.t.Fatalf("seed %d: %v run it", w.seed, w.ran[a.Service])
		}
		w.pending = append(w.pending, a)
	}
}

// end ends one of the pending attempts at random.
func (w *witness) end() (*Attempt, Outcome) {
	i := w.random.IntN(len(w.pending))
	a := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	proofs := []OutcomeKind{OutcomeUnsent, OutcomeRejected, OutcomeMisdirected}
	outcomes := []Outcome{replied(200), replied(500), ended(OutcomeBroken)}
	n := w.random.IntN(len(outcomes) + len(proofs))
	if n < len(outcomes) {
		return a, outcomes[n]
	}
	delete(w.ran[a.Service], a.Replica.ID)
	return a, ended(proofs[n-len(outcomes)])
}

func (w *witness) count() int {
	count := 0
	for _, replicas := range w.ran {
		count += len(replicas)
	}
	return count
}

// TestColdStart plays a query of many shards on an instance that opens all of its connections anew: no shard is hedged before most have answered, and then only those that are late.
func TestColdStart(t *testing.T) {
	const shards = 90
	route := gathered(shards, 0.9)
	p := newPolicies(1000, route.Shards...)
	j := newJob(route, p)
	sends := j.Start(start)
	if len(sends) != shards {
		t.Fatalf("%d sends", len(sends))
	}
	at := start
	for range 6 {
		at = at.Add(10 * time.Millisecond)
		if hedges := j.Tick(at); len(hedges) > 0 {
			t.Fatalf("%d hedges after %s with no answer", len(hedges), at.Sub(start))
		}
	}
	for _, a := range sends[:60] {
		if hedges := j.Ended(at, a, replied(200)); len(hedges) > 0 {
			t.Fatalf("an answer made %d sends", len(hedges))
		}
	}
	at = at.Add(tryAgain)
	if hedges := j.Tick(at); len(hedges) != shards-60 {
		t.Errorf("%d hedges once most have answered, want %d", len(hedges), shards-60)
	}
}
