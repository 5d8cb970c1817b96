package allotter

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// testKeeper returns the keeper of a zone with one instance, whose bucket of the organisation "o" holds the zone's capacity.
func testKeeper(zones int, limit Limit) (*Keeper, *Roster, time.Time) {
	now := simStart
	r := NewRoster(Member{
		Instance: "self",
		Zone:     "a",
		Address:  "self:1",
	})
	r.Update(now, []Member{{
		Instance: "other",
		Zone:     "b",
		Address:  "other:1",
	}})
	k := NewKeeper(r, now)
	limit.Organisation = "o"
	k.Configure(now, []Limit{limit}, Terms{
		Window:     5 * time.Second,
		Overage:    0.1,
		Tolerance:  20,
		Zones:      zones,
		FirstStart: true,
	})
	return k, r, now
}

// drain takes tokens one by one until there is none, and returns how many there were.
func drain(now time.Time, k *Keeper) int {
	count := 0
	for k.Allot(now, "o", 1).Tokens > 0 {
		count++
	}
	return count
}

// tickUntil lets the time pass with the ticks of a running process, and returns the end.
func tickUntil(now time.Time, k *Keeper, duration time.Duration) time.Time {
	for end := now.Add(duration); now.Before(end); {
		now = now.Add(250 * time.Millisecond)
		k.Tick(now, k.inContact)
	}
	return now
}

// TestBucket guards against tokens that are granted twice or to the wrong extent after a change of the process, the machine, the configuration or the list of instances. The limit is 30 per second with a burst of 60 in three zones.
func TestBucket(t *testing.T) {
	limit := Limit{
		Rate:  30,
		Burst: 60,
	}
	cases := []struct {
		name string
		// change happens to a full bucket, and returns the keeper and the time afterwards.
		change   func(k *Keeper, r *Roster, now time.Time) (*Keeper, time.Time)
		min, max int
	}{
		{"first start", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) { return k, now }, 20, 21},
		{"two seconds after it is drained, without a lender that responds", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			return k, tickUntil(now, k, 2*time.Second)
		}, 21, 21},
		{"two seconds after it is drained, with a lender", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			k.Borrowed(now, "o", "other", 1, Loan{})
			return k, tickUntil(now, k, 2*time.Second)
		}, 20, 20},
		{"process restarted: its grants are not made again", func(k *Keeper, r *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			restarted := NewKeeper(r, now)
			terms := k.terms
			terms.FirstStart = false
			restarted.Configure(now, []Limit{k.limits["o"]}, terms)
			return restarted, now
		}, 1, 1},
		{"a restarted process earns nothing before it can be known", func(k *Keeper, r *Roster, now time.Time) (*Keeper, time.Time) {
			restarted := NewKeeper(r, now)
			terms := k.terms
			terms.FirstStart = false
			restarted.Configure(now, []Limit{k.limits["o"]}, terms)
			return restarted, tickUntil(now, restarted, 750*time.Millisecond)
		}, 1, 1},
		{"machine suspended for a minute", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			return k, now.Add(time.Minute)
		}, 1, 1},
		{"limit lowered to 3 per second with a burst of 6", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			k.Configure(now, []Limit{{
				Organisation: "o",
				Rate:         3,
				Burst:        6,
			}}, k.terms)
			return k, now
		}, 3, 3},
		{"limit raised: the tokens stay", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			k.Configure(now, []Limit{{
				Organisation: "o",
				Rate:         300,
				Burst:        600,
			}}, k.terms)
			return k, now
		}, 20, 21},
		{"organisation that is new in a later configuration", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			k.Configure(now, nil, k.terms)
			now = tickUntil(now, k, 6*time.Second)
			k.Configure(now, []Limit{{
				Organisation: "o",
				Rate:         30,
				Burst:        60,
			}}, k.terms)
			return k, now
		}, 20, 21},
		{"cut off from control and the zone for 20 s", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			k.Tick(now, false)
			return k, tickUntil(now, k, 20*time.Second)
		}, 1, 1},
		{"cut off from other zones for 20 s: its own share", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			return k, tickUntil(now, k, 20*time.Second)
		}, 20, 21},
		{"three returned", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			k.Return(now, "o", 3)
			return k, now
		}, 3, 3},
		{"more than the burst returned", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			k.Return(now, "o", 100)
			return k, now
		}, 20, 21},
		{"lent to another zone", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			if loan := k.Lend(now, "o", 15); loan.Tokens != 15 {
				t.Errorf("lent %v tokens", loan.Tokens)
			}
			return k, now
		}, 5, 6},
		{"borrowed more than was asked for", func(k *Keeper, _ *Roster, now time.Time) (*Keeper, time.Time) {
			drain(now, k)
			k.Borrowed(now, "o", "other", 2, Loan{
				Tokens: 50,
			})
			return k, now
		}, 2, 2},
	}
	for _, c := range cases {
		k, r, now := testKeeper(3, limit)
		k, now = c.change(k, r, now)
		if got := drain(now, k); got < c.min || got > c.max {
			t.Errorf("%s: %d tokens, want %d to %d", c.name, got, c.min, c.max)
		}
	}
}

// TestStartedKeeperSettles guards against tokens granted by a new process that knows a short list of instances, on which it ranks first for everything.
func TestStartedKeeperSettles(t *testing.T) {
	_, r, now := testKeeper(1, Limit{})
	k := NewKeeper(r, now)
	k.Configure(now, []Limit{{
		Organisation: "o",
		Rate:         3,
		Burst:        6,
	}}, Terms{
		Window:    5 * time.Second,
		Tolerance: 20,
		Zones:     1,
	})
	if k.Keeps(now.Add(200*time.Millisecond), "o") {
		t.Error("the instance grants tokens 200 ms after its first list")
	}
	if !k.Keeps(now.Add(time.Second), "o") {
		t.Error("the instance grants no tokens a second after its first list")
	}
}

// TestLeaseExpires guards against tokens that an instance holds for longer than the lease, which would add up over all instances.
func TestLeaseExpires(t *testing.T) {
	h := NewHolder()
	if !h.Accept(simStart, "o", 4, time.Hour) {
		t.Fatal("no token for the request that asked")
	}
	if !h.Take(simStart.Add(LeaseDuration-1), "o") {
		t.Error("no token within the lease")
	}
	if h.Take(simStart.Add(LeaseDuration), "o") {
		t.Error("a token after the lease")
	}
}

// TestReturnIsReportedOnce guards against a token that is given back twice.
func TestReturnIsReportedOnce(t *testing.T) {
	h := NewHolder()
	h.Return("o")
	if reports := h.TakeReports(simStart); len(reports) != 1 || reports[0].Returned != 1 {
		t.Errorf("reports %v, want one token", reports)
	}
	if reports := h.TakeReports(simStart); len(reports) != 0 {
		t.Errorf("reported again: %v", reports)
	}
}

// TestPromisesAreKept guards against retry times at which callers are refused again: each of twelve callers that are refused at once is admitted when it returns.
func TestPromisesAreKept(t *testing.T) {
	k, _, now := testKeeper(1, Limit{
		Rate:  4,
		Burst: 8,
	})
	drain(now, k)
	var promises []time.Time
	for range 12 {
		promises = append(promises, now.Add(k.Promise(now, "o", k.Allot(now, "o", 1))))
	}
	if first := promises[0].Sub(now); first > 250*time.Millisecond {
		t.Errorf("first retry time %s, want that of the next token", first)
	}
	for i, at := range promises {
		for now.Before(at) {
			now = now.Add(min(at.Sub(now), 250*time.Millisecond))
			k.Tick(now, true)
		}
		if k.Allot(at.Add(time.Millisecond), "o", 1).Tokens != 1 {
			t.Errorf("caller %d is refused at its retry time", i)
		}
	}
}

// TestRanks guards against keepers that change for organisations that a joining instance does not take over, and against ranks of instances whose build has no keeper or that are listed no more.
func TestRanks(t *testing.T) {
	now := simStart
	self := Member{
		Instance: "entry-0",
		Zone:     "a",
		Address:  "entry-0:1",
	}
	var members []Member
	for n := range 27 {
		members = append(members, Member{
			Instance: fmt.Sprintf("entry-%d", n),
			Zone:     "a",
			Address:  fmt.Sprintf("entry-%d:1", n),
		})
	}
	r := NewRoster(self)
	r.Update(now, members[:26])
	keeperOf := func(organisation int) string {
		m, _, _ := r.Keeper(now, "a", fmt.Sprintf("organisation-%d", organisation), 0)
		return m.Instance
	}
	const organisations = 1000
	before := make([]string, organisations)
	counts := map[string]int{}
	for o := range organisations {
		before[o] = keeperOf(o)
		counts[before[o]]++
	}
	for instance, count := range counts {
		if math.Abs(float64(count)-organisations/26.0) > 30 {
			t.Errorf("%s keeps %d of %d organisations", instance, count, organisations)
		}
	}
	requireOnly := func(step, changed string) {
		for o := range organisations {
			if got := keeperOf(o); got != before[o] && got != changed && before[o] != changed {
				t.Fatalf("%s: organisation %d moved from %s to %s", step, o, before[o], got)
			}
		}
	}
	r.Update(now, members)
	requireOnly("joined", "entry-26")
	r.Update(now, members[:26])
	now = now.Add(removalDelay - 1)
	r.Expire(now)
	if r.peers["entry-26"] == nil {
		t.Error("an instance lost its rank at once")
	}
	now = now.Add(1)
	r.Expire(now)
	requireOnly("left", "")
	r.RecordAbsence(now, "entry-5")
	requireOnly("absent", "entry-5")
	for o := range organisations {
		if keeperOf(o) == "entry-5" {
			t.Fatal("an instance without allotments is a keeper")
		}
	}
	r.RecordFailure(now, "entry-6")
	for o := range organisations {
		if keeperOf(o) == "entry-6" {
			t.Fatal("a bypassed instance is asked")
		}
	}
}

// TestLenders guards against tokens of the own zone that nobody can use while some instances find its keeper slow, or after another instance has taken over.
func TestLenders(t *testing.T) {
	k, r, now := testKeeper(3, Limit{
		Rate:  3,
		Burst: 6,
	})
	members := []Member{{
		Instance: "other",
		Zone:     "b",
		Address:  "other:1",
	}}
	for n := range 5 {
		members = append(members, Member{
			Instance: fmt.Sprintf("entry-%d", n),
			Zone:     "a",
			Address:  "entry:1",
		})
	}
	r.Update(now, members)
	k.Tick(now, true)
	top := r.rank("a", "o")
	wanted := map[int]string{
		0: top.peers[1].Instance,
		1: top.peers[0].Instance,
		2: top.peers[0].Instance,
	}
	for rank, want := range wanted {
		r.self = top.peers[rank].Member
		k.assignRanks(now)
		lenders := map[string]bool{}
		for _, m := range k.Lenders(now, "o") {
			lenders[m.Instance] = true
		}
		if len(lenders) != 2 || !lenders["other"] || !lenders[want] {
			t.Errorf("rank %d borrows from %v, want other and %s", rank, lenders, want)
		}
	}
}

// TestUse guards against use that is lost or that is counted for longer than its memory.
func TestUse(t *testing.T) {
	k, _, now := testKeeper(1, Limit{})
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		k.AddUse(now, "o", 5)
		k.AddUse(now, "unknown", 5)
	}
	if use := k.Use(now, "o"); math.Abs(use.RecentPerSecond-50) > 3 || math.Abs(use.UsualPerSecond-50) > 3 {
		t.Errorf("use %+v, want 50 per second", use)
	}
	if use := k.Use(now, "unknown"); use != (Use{}) || len(k.usage) != 1 {
		t.Errorf("use %+v of an organisation that is not configured", use)
	}
	if use := k.Use(now.Add(20*time.Second), "o"); use.RecentPerSecond > 1 || use.UsualPerSecond < 30 {
		t.Errorf("use %+v after 20 s without any", use)
	}
}

// BenchmarkCharge measures a charge with a token at hand, and with the keeper in the same instance.
func BenchmarkCharge(b *testing.B) {
	b.Run("held", func(b *testing.B) {
		h := NewHolder()
		b.ReportAllocs()
		for b.Loop() {
			h.Accept(simStart, "o", 2, LeaseDuration)
			if !h.Take(simStart, "o") {
				b.Fatal("no token")
			}
		}
	})
	for _, instances := range []int{27, 1226} {
		b.Run(fmt.Sprintf("kept here, %d instances in the zone", instances), func(b *testing.B) {
			k, r, now := testKeeper(1, Limit{
				Rate:  1e9,
				Burst: 1e9,
			})
			members := []Member{r.self}
			for n := range instances {
				members = append(members, Member{
					Instance: fmt.Sprintf("entry-%d", n),
					Zone:     "a",
					Address:  "entry:1",
				})
			}
			h := NewHolder()
			r.Update(now, members)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				h.Take(now, "o")
				wanted := h.Wanted(now, "o")
				if _, _, found := r.Keeper(now, "a", "o", 0); !found || k.Allot(now, "o", wanted).Tokens == 0 {
					b.Fatal("no token")
				}
			}
		})
	}
}
