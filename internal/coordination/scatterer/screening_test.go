package scatterer

import (
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/screener"
)

var connectionLost = Outcome{
	Kind:           OutcomeBroken,
	ConnectionLost: true,
	Cause:          "connection ended",
}

// crashAll lets the replicas of all attempts crash, also those of the attempts that follow, and returns the time after it and how many crashed.
func crashAll(now time.Time, j *Job, attempts []*Attempt) (time.Time, int) {
	const step = time.Millisecond
	crashed := 0
	for len(attempts) > 0 {
		now = now.Add(step)
		crashed++
		replica := attempts[0].Replica.Replica
		attempts = append(attempts[1:], j.HandleOutcome(now, attempts[0], connectionLost)...)
		restart(j.policies, replica)
	}
	return now, crashed
}

// restart replaces a crashed replica with a new incarnation.
func restart(p *Policies, replica balancer.Replica) {
	replica.BornMs++
	p.Balancer.Put(replica)
}

// TestCrashingRequestSparesOtherReplicas checks that a request over shards that crashes every replica leaves the second replica of the shards running, and is refused without being sent after one more replica.
func TestCrashingRequestSparesOtherReplicas(t *testing.T) {
	const shards = 20
	route := shardedRoute(shards, 0.75)
	p := newPolicies(100, route.Shards...)
	j := newJob(route, p)
	now, crashed := crashAll(start, j, j.Start(start))
	if crashed != shards+1 || j.Decision() == nil || j.Decision().Kind != Failed {
		t.Fatalf("%d replicas crashed, want %d; decision %+v", crashed, shards+1, j.Decision())
	}
	repeat := newJobAt(now, route, p)
	now, crashed = crashAll(now, repeat, repeat.Start(now))
	if crashed != 1 || repeat.Decision() == nil {
		t.Fatalf("%d replicas crashed under the second repeat, want 1", crashed)
	}
	last := newJobAt(now, route, p)
	if attempts := last.Start(now); len(attempts) != 0 || last.Decision() == nil || last.Decision().Reason != ReasonQuarantined || last.Decision().RetryAfter == 0 {
		t.Errorf("%d attempts, decision %+v", len(attempts), last.Decision())
	}
}

// TestRetryAfterCrashesBesideAnswers checks that a request is retried at every shard at once if some replicas crash while others answer.
func TestRetryAfterCrashesBesideAnswers(t *testing.T) {
	route := shardedRoute(10, 1)
	p := newPolicies(100, route.Shards...)
	j := newJob(route, p)
	attempts := j.Start(start)
	now := start.Add(time.Millisecond)
	var retries []*Attempt
	for _, a := range attempts[:4] {
		retries = append(retries, j.HandleOutcome(now, a, connectionLost)...)
	}
	if len(retries) != 1 {
		t.Fatalf("%d retries before a shard has answered, want 1", len(retries))
	}
	retries = append(retries, j.HandleOutcome(now, attempts[4], replied(200))...)
	if len(retries) != 4 {
		t.Fatalf("%d retries once a shard has answered, want 4", len(retries))
	}
	for _, a := range append(attempts[5:], retries...) {
		j.HandleOutcome(now, a, replied(200))
	}
	if d := j.Decision(); d == nil || d.Kind != Gathered || d.MissingShards != 0 {
		t.Errorf("decision %+v", d)
	}
}

// TestSuspectRequestIsProbed checks that a request under which replicas have crashed is sent to one shard first, and to the others once that one has answered.
func TestSuspectRequestIsProbed(t *testing.T) {
	route := shardedRoute(5, 1)
	p := newPolicies(100, route.Shards...)
	for _, replica := range []string{"x", "y", "z"} {
		p.Screener.RecordCrash(start, screener.Attempt{
			Service: "shard-0",
			Replica: replica,
			Round:   1,
		})
	}
	j := newJob(route, p)
	attempts := j.Start(start)
	if len(attempts) != 1 || attempts[0].Kind != AttemptFirst {
		t.Fatalf("%d attempts at the start, want 1", len(attempts))
	}
	now := start.Add(time.Millisecond)
	rest := j.HandleOutcome(now, attempts[0], replied(200))
	if len(rest) != 4 || rest[0].Kind != AttemptFirst {
		t.Fatalf("%d attempts after the answer, want 4", len(rest))
	}
	for _, a := range rest {
		j.HandleOutcome(now, a, replied(200))
	}
	if d := j.Decision(); d == nil || d.Kind != Gathered || d.MissingShards != 0 || p.Screener.Check(now, 0).IsSuspect {
		t.Errorf("decision %+v, suspect %t", d, p.Screener.Check(now, 0).IsSuspect)
	}
}

// TestPartlyCrashingRequest checks that a request that crashes the replicas of one shard is answered by the others.
func TestPartlyCrashingRequest(t *testing.T) {
	route := shardedRoute(4, 0.75)
	p := newPolicies(100, route.Shards...)
	now := start
	for range 3 {
		j := newJobAt(now, route, p)
		attempts := j.Start(now)
		for len(attempts) > 0 {
			now = now.Add(time.Millisecond)
			a := attempts[0]
			outcome := replied(200)
			if a.Service == "shard-0" {
				outcome = connectionLost
			}
			attempts = append(attempts[1:], j.HandleOutcome(now, a, outcome)...)
			if outcome.ConnectionLost {
				restart(p, a.Replica.Replica)
			}
		}
		if d := j.Decision(); d == nil || d.Kind != Gathered || d.MissingShards != 1 {
			t.Fatalf("decision %+v", d)
		}
	}
	j := newJobAt(now, route, p)
	for attempts := j.Start(now); len(attempts) > 0; {
		if attempts[0].Service == "shard-0" {
			t.Error("the request was sent to the shard from which it is quarantined")
		}
		attempts = append(attempts[1:], j.HandleOutcome(now, attempts[0], replied(200))...)
	}
	if d := j.Decision(); d == nil || d.Kind != Gathered || d.MissingShards != 1 {
		t.Errorf("decision after the quarantine: %+v", d)
	}
}

// TestCrashingRequestToOneService checks that a request to one service is refused once three replicas have crashed under it, also if it may be retried.
func TestCrashingRequestToOneService(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		route := singleRoute(idempotent)
		p := newPolicies(100, "one")
		now, crashed := start, 0
		for range 5 {
			j := newJobAt(now, route, p)
			after, count := crashAll(now, j, j.Start(now))
			now = after
			crashed += count
		}
		if crashed != 3 {
			t.Errorf("idempotent %t: %d replicas crashed, want 3", idempotent, crashed)
		}
	}
}
