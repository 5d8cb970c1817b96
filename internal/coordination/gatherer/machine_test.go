package gatherer

import (
	"slices"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

const second = time.Second

func TestSnapshotAndCoverage(t *testing.T) {
	cases := []struct {
		name     string
		play     func(d *driver) uint64
		version  uint64
		coverage uint32
		missing  []string
	}{
		{name: "a newer version appears while a query runs", play: newerAppears, version: 1, coverage: wire.CoverageWhole},
		{name: "a replica answers the new version", play: newerAnswered, version: 1, coverage: wire.CoverageWhole},
		{name: "a replica no longer holds the version", play: notHeld, version: 1, coverage: wire.CoverageWhole},
		{name: "the version is withdrawn halfway", play: withdrawn, version: 2, coverage: wire.CoverageWhole},
		{name: "withdrawn without time for a restart", play: withdrawnLate, version: 1, coverage: 500_000, missing: []string{"s01"}},
		{name: "withdrawn and nothing newer", play: withdrawnAlone, version: 1, coverage: 500_000, missing: []string{"s01"}},
		{name: "repartition from 8 to 12 shards", play: repartition, version: 2, coverage: wire.CoverageWhole},
		{name: "two versions each short of the coverage", play: bothShort, version: 1, coverage: 666_666, missing: []string{"s02"}},
		{name: "a shard nobody announces", play: unannounced, version: 1, coverage: 999_999, missing: []string{"s00"}},
		{name: "a replica appears while time is left", play: appears, version: 1, coverage: wire.CoverageWhole},
		{name: "all replicas of one lost", play: allLost, version: 1, coverage: 250_000, missing: []string{"s01"}},
		{name: "a reply cut short", play: cutShort, version: 1, coverage: wire.CoverageWhole},
		{name: "time is up", play: timeUp, version: 1, coverage: 500_000, missing: []string{"s01"}},
		{name: "late, doubled and foreign replies", play: strayReplies, version: 1, coverage: wire.CoverageWhole},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDriver(t, router.TwoChoices)
			answer := d.answer(c.play(d))
			if answer.Outcome != wire.Outcome_OUTCOME_ANSWERED || answer.Version != c.version || answer.Coverage != c.coverage || !slices.Equal(answer.Missing, c.missing) {
				t.Errorf("got %v version %d coverage %d missing %v", answer.Outcome, answer.Version, answer.Coverage, answer.Missing)
			}
		})
	}
}

// pair announces two shards of equal weight, each with replicas a and b.
func pair(d *driver) {
	d.version(1, 1, 1)
	d.version(2, 1, 1)
	d.hold("a", 1, 0, 1)
	d.hold("b", 1, 0, 1)
}

func newerAppears(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.hold("a", 2, 0, 1)
	d.hold("b", 2, 0, 1)
	d.replyAll()
	return query
}

func newerAnswered(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.reply(d.take(0), func(r *wire.SearchResponse) { r.Version = 2 })
	d.replyAll()
	return query
}

func notHeld(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.fail(d.take(0), Failure{
		NotHeld: true,
	})
	d.replyAll()
	return query
}

func withdrawn(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.reply(d.take(0))
	switchBoth(d)
	d.fail(d.take(1), Failure{
		NotHeld: true,
	})
	d.replyAll()
	return query
}

func switchBoth(d *driver) {
	for _, upstream := range []string{"a", "b"} {
		d.withdraw(upstream, 1)
		d.hold(upstream, 2, 0, 1)
	}
}

func withdrawnLate(d *driver) uint64 {
	pair(d)
	query := d.ask("q", 50*time.Millisecond)
	d.reply(d.take(0))
	switchBoth(d)
	d.now = d.now.Add(38 * time.Millisecond)
	d.fail(d.take(1), Failure{
		NotHeld: true,
	})
	return query
}

func withdrawnAlone(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.reply(d.take(0))
	d.withdraw("a", 1)
	d.withdraw("b", 1)
	d.fail(d.take(1), Failure{
		NotHeld: true,
	})
	return query
}

func repartition(d *driver) uint64 {
	d.version(1, 1, 1, 1, 1, 1, 1, 1, 1)
	d.version(2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	d.hold("a", 1, 0, 1, 2, 3, 4, 5, 6, 7)
	query := d.ask("q", second)
	for i := range 4 {
		d.reply(d.take(i))
	}
	d.withdraw("a", 1)
	d.hold("a", 2, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	d.fail(d.take(5), Failure{
		NotHeld: true,
	})
	d.replyAll()
	return query
}

func bothShort(d *driver) uint64 {
	d.version(1, 1, 1, 1)
	d.version(2, 1, 1, 1)
	d.hold("a", 1, 0, 1)
	d.hold("b", 2, 0)
	query := d.ask("q", second)
	d.replyAll()
	return query
}

func unannounced(d *driver) uint64 {
	d.version(1, 1, 3_000_000)
	d.hold("a", 1, 1)
	query := d.ask("q", second)
	d.replyAll()
	return query
}

func appears(d *driver) uint64 {
	d.version(1, 1, 1)
	d.hold("a", 1, 0)
	query := d.ask("q", second)
	d.hold("b", 1, 1)
	d.tick(5 * time.Millisecond)
	d.replyAll()
	return query
}

func allLost(d *driver) uint64 {
	d.version(1, 1, 3)
	d.hold("a", 1, 0, 1)
	d.hold("b", 1, 1)
	query := d.ask("q", second)
	d.fail(d.take(1), Failure{})
	d.fail(d.take(1), Failure{})
	d.replyAll()
	return query
}

func cutShort(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.reply(d.take(0), func(r *wire.SearchResponse) { r.Complete = false })
	d.reply(d.take(1), func(r *wire.SearchResponse) { r.Rows = r.Rows[:1] })
	d.replyAll()
	return query
}

func timeUp(d *driver) uint64 {
	pair(d)
	query := d.ask("q", second)
	d.reply(d.take(0))
	d.tick(second)
	late := d.take(1)
	if !d.cancelled[late.Request.GetAttempt()] {
		d.t.Fatalf("the attempt that is no longer wanted was not cancelled")
	}
	d.reply(late)
	return query
}

func strayReplies(d *driver) uint64 {
	pair(d)
	gone := d.ask("gone", second)
	stale := d.take(0)
	d.machine.Abandon(d.now, gone)
	d.collect()
	d.sends = nil
	query := d.ask("q", second)
	twin := d.ask("q", second)
	first := d.take(0)
	d.reply(stale)
	d.reply(first, func(r *wire.SearchResponse) { r.Attempt = stale.Request.GetAttempt() })
	d.reply(d.take(1), func(r *wire.SearchResponse) { r.Shard = driverShard(0) })
	d.reply(first)
	slices.Reverse(d.sends)
	doubled := d.sends[0]
	d.replyAll()
	d.reply(doubled)
	if d.answer(twin).Coverage != wire.CoverageWhole {
		d.t.Fatalf("twin: %+v", d.answer(twin))
	}
	return query
}

// TestForeignReplyIsNoAnswer holds that a whole reply of the right shard and version, but to another attempt, is not taken: its rows are another query's.
func TestForeignReplyIsNoAnswer(t *testing.T) {
	d := newDriver(t, router.TwoChoices)
	pair(d)
	query := d.ask("q", second)
	first := d.take(0)
	d.reply(first, func(r *wire.SearchResponse) {
		r.Attempt = first.Request.GetAttempt() + 1000
		r.Rows = driverRows(1, driverShard(0), "other")
		r.RowCount = uint32(len(r.GetRows()))
	})
	again := d.take(0)
	if again.Upstream == first.Upstream {
		t.Errorf("the shard is asked again from %s", again.Upstream)
	}
	d.reply(again)
	d.replyAll()
	d.check(d.answer(query))
}

// TestGivenUpAtOnce shows that a shard without hope doesn't hold the answer back.
func TestGivenUpAtOnce(t *testing.T) {
	d := newDriver(t, router.TwoChoices)
	query := allLost(d)
	answer := d.answer(query)
	if waited := answer.Finished.Sub(answer.Query.Arrived); waited > 10*time.Millisecond {
		t.Errorf("answered after %s", waited)
	}
}

// TestNoStormAtOneShard bounds the attempts of a shard whose replicas all fail, and what other queries send to a replica that does.
func TestNoStormAtOneShard(t *testing.T) {
	d := newDriver(t, router.TwoChoices)
	d.version(1, 1)
	d.hold("a", 1, 0)
	d.hold("b", 1, 0)
	d.ask("q", second)
	count := 0
	for len(d.sends) > 0 {
		count++
		d.fail(d.take(0), Failure{})
	}
	if count > 2 {
		t.Errorf("%d attempts at a shard with 2 replicas", count)
	}
}

// TestAllHaveFailed holds that a shard whose replicas have all failed just now is asked at once, whatever the policy: waiting until one of them is trusted again would help nobody.
func TestAllHaveFailed(t *testing.T) {
	for _, policy := range router.Policies() {
		d := newDriver(t, policy)
		d.version(1, 1)
		d.hold("a", 1, 0)
		d.hold("b", 1, 0)
		d.ask("first", second)
		for len(d.sends) > 0 {
			d.fail(d.take(0), Failure{})
		}
		query := d.ask("next", second)
		if len(d.sends) != 1 {
			t.Errorf("%s: %d sends of the next query", policy, len(d.sends))
			continue
		}
		d.replyAll()
		d.check(d.answer(query))
	}
}
