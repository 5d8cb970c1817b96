package gatherer

import (
	"slices"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

const queryTimeout = time.Second

func TestSnapshotAndCoverage(t *testing.T) {
	cases := []struct {
		name     string
		run      func(d *driver) uint64
		version  uint64
		coverage uint32
		missing  []string
	}{
		{name: "newer version is announced during the query", run: newerVersionAppears, version: 1, coverage: wire.FullCoverage},
		{name: "reply from a newer version", run: newerVersionReplied, version: 1, coverage: wire.FullCoverage},
		{name: "replica no longer holds the version", run: versionNotHeld, version: 1, coverage: wire.FullCoverage},
		{name: "version withdrawn during the query", run: versionWithdrawn, version: 2, coverage: wire.FullCoverage},
		{name: "version withdrawn too late for a restart", run: withdrawnNearDeadline, version: 1, coverage: 500_000, missing: []string{"s01"}},
		{name: "version withdrawn without a newer one", run: withdrawnWithoutSuccessor, version: 1, coverage: 500_000, missing: []string{"s01"}},
		{name: "repartition from 8 to 12 shards", run: repartitioned, version: 2, coverage: wire.FullCoverage},
		{name: "neither of two versions has the required coverage", run: bothVersionsIncomplete, version: 1, coverage: 666_666, missing: []string{"s02"}},
		{name: "shard without a replica", run: shardUnannounced, version: 1, coverage: 999_999, missing: []string{"s00"}},
		{name: "replica is announced before the deadline", run: replicaAppears, version: 1, coverage: wire.FullCoverage},
		{name: "all replicas of one shard fail", run: allReplicasFail, version: 1, coverage: 250_000, missing: []string{"s01"}},
		{name: "truncated replies", run: repliesTruncated, version: 1, coverage: wire.FullCoverage},
		{name: "deadline expires", run: deadlineExpires, version: 1, coverage: 500_000, missing: []string{"s01"}},
		{name: "late and duplicate replies, and replies to other attempts", run: strayReplies, version: 1, coverage: wire.FullCoverage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(t, router.TwoChoices)
			answer := d.answerTo(c.run(d))
			if answer.Outcome != wire.Outcome_OUTCOME_ANSWERED || answer.Version != c.version || answer.Coverage != c.coverage || !slices.Equal(answer.MissingShards, c.missing) {
				t.Errorf("got %v version %d coverage %d missing %v", answer.Outcome, answer.Version, answer.Coverage, answer.MissingShards)
			}
		})
	}
}

// announcePair announces two shards of equal weight, each with replicas a and b.
func announcePair(d *driver) {
	d.setVersion(1, 1, 1)
	d.setVersion(2, 1, 1)
	d.hold("a", 1, 0, 1)
	d.hold("b", 1, 0, 1)
}

func newerVersionAppears(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.hold("a", 2, 0, 1)
	d.hold("b", 2, 0, 1)
	d.replyAll()
	return query
}

func newerVersionReplied(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.reply(d.takeSend(0), func(r *wire.SearchResponse) { r.Version = 2 })
	d.replyAll()
	return query
}

func versionNotHeld(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.fail(d.takeSend(0), Failure{
		NotHeld: true,
	})
	d.replyAll()
	return query
}

func versionWithdrawn(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.reply(d.takeSend(0))
	switchToVersion2(d)
	d.fail(d.takeSend(1), Failure{
		NotHeld: true,
	})
	d.replyAll()
	return query
}

// switchToVersion2 replaces version 1 by version 2 at both replicas.
func switchToVersion2(d *driver) {
	for _, upstream := range []string{"a", "b"} {
		d.withdraw(upstream, 1)
		d.hold(upstream, 2, 0, 1)
	}
}

func withdrawnNearDeadline(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", 50*time.Millisecond)
	d.reply(d.takeSend(0))
	switchToVersion2(d)
	d.now = d.now.Add(38 * time.Millisecond)
	d.fail(d.takeSend(1), Failure{
		NotHeld: true,
	})
	return query
}

func withdrawnWithoutSuccessor(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.reply(d.takeSend(0))
	d.withdraw("a", 1)
	d.withdraw("b", 1)
	d.fail(d.takeSend(1), Failure{
		NotHeld: true,
	})
	return query
}

func repartitioned(d *driver) uint64 {
	d.setVersion(1, 1, 1, 1, 1, 1, 1, 1, 1)
	d.setVersion(2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	d.hold("a", 1, 0, 1, 2, 3, 4, 5, 6, 7)
	query := d.startQuery("q", queryTimeout)
	for i := range 4 {
		d.reply(d.takeSend(i))
	}
	d.withdraw("a", 1)
	d.hold("a", 2, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	d.fail(d.takeSend(5), Failure{
		NotHeld: true,
	})
	d.replyAll()
	return query
}

func bothVersionsIncomplete(d *driver) uint64 {
	d.setVersion(1, 1, 1, 1)
	d.setVersion(2, 1, 1, 1)
	d.hold("a", 1, 0, 1)
	d.hold("b", 2, 0)
	query := d.startQuery("q", queryTimeout)
	d.replyAll()
	return query
}

func shardUnannounced(d *driver) uint64 {
	d.setVersion(1, 1, 3_000_000)
	d.hold("a", 1, 1)
	query := d.startQuery("q", queryTimeout)
	d.replyAll()
	return query
}

func replicaAppears(d *driver) uint64 {
	d.setVersion(1, 1, 1)
	d.hold("a", 1, 0)
	query := d.startQuery("q", queryTimeout)
	d.hold("b", 1, 1)
	d.tick(5 * time.Millisecond)
	d.replyAll()
	return query
}

func allReplicasFail(d *driver) uint64 {
	d.setVersion(1, 1, 3)
	d.hold("a", 1, 0, 1)
	d.hold("b", 1, 1)
	query := d.startQuery("q", queryTimeout)
	d.fail(d.takeSend(1), Failure{})
	d.fail(d.takeSend(1), Failure{})
	d.replyAll()
	return query
}

func repliesTruncated(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.reply(d.takeSend(0), func(r *wire.SearchResponse) { r.Complete = false })
	d.reply(d.takeSend(1), func(r *wire.SearchResponse) { r.Rows = r.Rows[:1] })
	d.replyAll()
	return query
}

func deadlineExpires(d *driver) uint64 {
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	d.reply(d.takeSend(0))
	d.tick(queryTimeout)
	expired := d.takeSend(1)
	if !d.cancelled[expired.Request.GetAttempt()] {
		d.t.Fatalf("the attempt in flight at the deadline was not cancelled")
	}
	d.reply(expired)
	return query
}

func strayReplies(d *driver) uint64 {
	announcePair(d)
	abandoned := d.startQuery("abandoned", queryTimeout)
	stale := d.takeSend(0)
	d.machine.CancelQuery(d.now, abandoned)
	d.collectActions()
	d.sends = nil
	query := d.startQuery("q", queryTimeout)
	other := d.startQuery("q", queryTimeout)
	first := d.takeSend(0)
	d.reply(stale)
	d.reply(first, func(r *wire.SearchResponse) { r.Attempt = stale.Request.GetAttempt() })
	d.reply(d.takeSend(1), func(r *wire.SearchResponse) { r.Shard = shardName(0) })
	d.reply(first)
	slices.Reverse(d.sends)
	replied := d.sends[0]
	d.replyAll()
	d.reply(replied)
	if d.answerTo(other).Coverage != wire.FullCoverage {
		d.t.Fatalf("other query: %+v", d.answerTo(other))
	}
	return query
}

// TestReplyToAnotherAttemptIsRejected guards against mixing up queries: a complete reply for the right shard and version, but to another attempt, carries the rows of another query.
func TestReplyToAnotherAttemptIsRejected(t *testing.T) {
	d := newDriver(t, router.TwoChoices)
	announcePair(d)
	query := d.startQuery("q", queryTimeout)
	first := d.takeSend(0)
	d.reply(first, func(r *wire.SearchResponse) {
		r.Attempt = first.Request.GetAttempt() + 1000
		r.Rows = driverRows(1, shardName(0), "other")
		r.RowCount = uint32(len(r.GetRows()))
	})
	retry := d.takeSend(0)
	if retry.Upstream == first.Upstream {
		t.Errorf("retry went to the same upstream %s", retry.Upstream)
	}
	d.reply(retry)
	d.replyAll()
	d.checkAnswer(d.answerTo(query))
}

// TestFailedShardDoesNotDelayAnswer checks that the query is answered at once when all replicas of a shard have failed.
func TestFailedShardDoesNotDelayAnswer(t *testing.T) {
	d := newDriver(t, router.TwoChoices)
	query := allReplicasFail(d)
	answer := d.answerTo(query)
	if waited := answer.FinishedAt.Sub(answer.Query.ArrivedAt); waited > 10*time.Millisecond {
		t.Errorf("answered after %s", waited)
	}
}

// TestAttemptsBoundedWhenReplicasFail checks that a query is sent to each replica of a failing shard at most once.
func TestAttemptsBoundedWhenReplicasFail(t *testing.T) {
	d := newDriver(t, router.TwoChoices)
	d.setVersion(1, 1)
	d.hold("a", 1, 0)
	d.hold("b", 1, 0)
	d.startQuery("q", queryTimeout)
	attempts := 0
	for len(d.sends) > 0 {
		attempts++
		d.fail(d.takeSend(0), Failure{})
	}
	if attempts > 2 {
		t.Errorf("%d attempts at a shard with 2 replicas", attempts)
	}
}

// TestSendsWhenAllReplicasFailed checks that a query is sent to a shard at once even if all of its replicas have just failed: waiting until one of them is no longer skipped would not help.
func TestSendsWhenAllReplicasFailed(t *testing.T) {
	for _, policy := range router.Policies() {
		d := newDriver(t, policy)
		d.setVersion(1, 1)
		d.hold("a", 1, 0)
		d.hold("b", 1, 0)
		d.startQuery("first", queryTimeout)
		for len(d.sends) > 0 {
			d.fail(d.takeSend(0), Failure{})
		}
		query := d.startQuery("next", queryTimeout)
		if len(d.sends) != 1 {
			t.Errorf("%s: next query has %d sends, want 1", policy, len(d.sends))
			continue
		}
		d.replyAll()
		d.checkAnswer(d.answerTo(query))
	}
}
