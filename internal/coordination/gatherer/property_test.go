package gatherer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestRandomEvents runs random events in random order; each answer is compared row by row with the data of its version.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t, rapid.SampledFrom(router.Policies()).Draw(t, "policy"))
		d.setVersion(1, 1, 2, 3, 4, 5, 6, 7, 8)
		d.setVersion(2, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1)
		d.setVersion(3, 1, 1, 1)
		s := &eventGenerator{
			driver: d,
		}
		t.Repeat(map[string]func(*rapid.T){
			"add-query":   s.startQuery,
			"hold":        s.hold,
			"hold-all":    s.holdAll,
			"withdraw":    s.withdraw,
			"leave":       s.leave,
			"reply":       s.reply,
			"stray-reply": s.strayReply,
			"fail":        s.fail,
			"abandon":     s.abandon,
			"tick":        s.tick,
		})
		d.tick(time.Minute)
		if d.machine.InFlight() != 0 || len(d.machine.attempts) != 0 {
			t.Fatalf("%d queries and %d attempts are left after all deadlines", d.machine.InFlight(), len(d.machine.attempts))
		}
	})
}

// eventGenerator generates random events for the driver.
type eventGenerator struct {
	driver *driver
	// replayable are sends that were replied to and may get another reply.
	replayable []Send
	queryIDs   []uint64
}

func (s *eventGenerator) startQuery(t *rapid.T) {
	text := rapid.SampledFrom([]string{"same", "other"}).Draw(t, "text")
	timeout := rapid.IntRange(5, 1000).Draw(t, "timeout")
	s.queryIDs = append(s.queryIDs, s.driver.startQuery(text, time.Duration(timeout)*time.Millisecond))
}

func drawUpstream(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "upstream")
}

func drawVersion(t *rapid.T) uint64 {
	return rapid.Uint64Range(1, 3).Draw(t, "version")
}

func (s *eventGenerator) hold(t *rapid.T) {
	version := drawVersion(t)
	shards := len(s.driver.manifests[version].GetShards())
	s.driver.hold(drawUpstream(t), version, rapid.IntRange(0, shards-1).Draw(t, "shard"))
}

func (s *eventGenerator) holdAll(t *rapid.T) {
	version := drawVersion(t)
	for i := range s.driver.manifests[version].GetShards() {
		s.driver.hold(drawUpstream(t), version, i)
	}
}

func (s *eventGenerator) withdraw(t *rapid.T) {
	s.driver.withdraw(drawUpstream(t), drawVersion(t))
}

func (s *eventGenerator) leave(t *rapid.T) {
	s.driver.machine.Registrar.MarkLeaving(drawUpstream(t), 1)
}

func (s *eventGenerator) reply(t *rapid.T) {
	d := s.driver
	if len(d.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.sends)-1).Draw(t, "send")
	send := d.sends[i]
	if rapid.Bool().Draw(t, "keep") {
		s.replayable = append(s.replayable, send)
	} else {
		d.sends = slices.Delete(d.sends, i, i+1)
	}
	d.reply(send, drawMutation(t))
}

func (s *eventGenerator) strayReply(t *rapid.T) {
	if len(s.replayable) == 0 {
		return
	}
	target := rapid.SampledFrom(s.replayable).Draw(t, "asked")
	source := rapid.SampledFrom(s.replayable).Draw(t, "replied")
	delete(s.driver.runningAt, target.Request.GetAttempt())
	s.driver.machine.HandleReply(s.driver.now, target.Request.GetAttempt(), validReply(source))
	s.driver.collectActions()
}

func (s *eventGenerator) fail(t *rapid.T) {
	d := s.driver
	if len(d.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.sends)-1).Draw(t, "send")
	d.fail(d.sends[i], Failure{
		Shed:    rapid.Bool().Draw(t, "shed"),
		NotHeld: rapid.Bool().Draw(t, "not-held"),
	})
}

func (s *eventGenerator) abandon(t *rapid.T) {
	if len(s.queryIDs) == 0 {
		return
	}
	s.driver.machine.CancelQuery(s.driver.now, rapid.SampledFrom(s.queryIDs).Draw(t, "query"))
	s.driver.collectActions()
}

func (s *eventGenerator) tick(t *rapid.T) {
	s.driver.tick(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
}

func drawMutation(t *rapid.T) func(*wire.SearchResponse) {
	return rapid.SampledFrom([]func(*wire.SearchResponse){
		func(*wire.SearchResponse) {},
		func(*wire.SearchResponse) {},
		func(r *wire.SearchResponse) { r.Version++ },
		func(r *wire.SearchResponse) { r.Attempt++ },
		func(r *wire.SearchResponse) { r.Shard = shardName(11) },
		func(r *wire.SearchResponse) { r.Complete = false },
		func(r *wire.SearchResponse) { r.Rows = nil },
	}).Draw(t, "change")
}
