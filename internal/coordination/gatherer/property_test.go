package gatherer

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestAnyOrder plays random events in random order; every answer is checked row by row against the one version it names.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(t, rapid.SampledFrom(router.Policies()).Draw(t, "policy"))
		d.version(1, 1, 2, 3, 4, 5, 6, 7, 8)
		d.version(2, 12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1)
		d.version(3, 1, 1, 1)
		s := &storm{
			driver: d,
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask":      s.ask,
			"hold":     s.hold,
			"hold-all": s.holdAll,
			"withdraw": s.withdraw,
			"leave":    s.leave,
			"reply":    s.reply,
			"stray":    s.stray,
			"fail":     s.fail,
			"abandon":  s.abandon,
			"tick":     s.tick,
		})
		d.tick(time.Minute)
		if d.machine.InFlight() != 0 || len(d.machine.attempts) != 0 {
			t.Fatalf("left over: %d queries, %d attempts", d.machine.InFlight(), len(d.machine.attempts))
		}
	})
}

// storm is the random events.
type storm struct {
	driver *driver
	// old are attempts whose reply may come again.
	old   []Send
	asked []uint64
}

func (s *storm) ask(t *rapid.T) {
	text := rapid.SampledFrom([]string{"same", "other"}).Draw(t, "text")
	timeout := rapid.IntRange(5, 1000).Draw(t, "timeout")
	s.asked = append(s.asked, s.driver.ask(text, time.Duration(timeout)*time.Millisecond))
}

func drawUpstream(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "upstream")
}

func drawVersion(t *rapid.T) uint64 {
	return rapid.Uint64Range(1, 3).Draw(t, "version")
}

func (s *storm) hold(t *rapid.T) {
	version := drawVersion(t)
	shards := len(s.driver.manifests[version].GetShards())
	s.driver.hold(drawUpstream(t), version, rapid.IntRange(0, shards-1).Draw(t, "shard"))
}

func (s *storm) holdAll(t *rapid.T) {
	version := drawVersion(t)
	for i := range s.driver.manifests[version].GetShards() {
		s.driver.hold(drawUpstream(t), version, i)
	}
}

func (s *storm) withdraw(t *rapid.T) {
	s.driver.withdraw(drawUpstream(t), drawVersion(t))
}

func (s *storm) leave(t *rapid.T) {
	s.driver.machine.Registrar.MarkLeaving(drawUpstream(t), 1)
}

func (s *storm) reply(t *rapid.T) {
	d := s.driver
	if len(d.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.sends)-1).Draw(t, "send")
	send := d.sends[i]
	if rapid.Bool().Draw(t, "keep") {
		s.old = append(s.old, send)
	} else {
		d.sends = slices.Delete(d.sends, i, i+1)
	}
	d.reply(send, drawChange(t))
}

func (s *storm) stray(t *rapid.T) {
	if len(s.old) == 0 {
		return
	}
	asked := rapid.SampledFrom(s.old).Draw(t, "asked")
	replied := rapid.SampledFrom(s.old).Draw(t, "replied")
	delete(s.driver.running, asked.Request.GetAttempt())
	s.driver.machine.Reply(s.driver.now, asked.Request.GetAttempt(), goodReply(replied))
	s.driver.collect()
}

func (s *storm) fail(t *rapid.T) {
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

func (s *storm) abandon(t *rapid.T) {
	if len(s.asked) == 0 {
		return
	}
	s.driver.machine.Abandon(s.driver.now, rapid.SampledFrom(s.asked).Draw(t, "query"))
	s.driver.collect()
}

func (s *storm) tick(t *rapid.T) {
	s.driver.tick(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
}

func drawChange(t *rapid.T) func(*wire.SearchResponse) {
	return rapid.SampledFrom([]func(*wire.SearchResponse){
		func(*wire.SearchResponse) {},
		func(*wire.SearchResponse) {},
		func(r *wire.SearchResponse) { r.Version++ },
		func(r *wire.SearchResponse) { r.Attempt++ },
		func(r *wire.SearchResponse) { r.Shard = driverShard(11) },
		func(r *wire.SearchResponse) { r.Complete = false },
		func(r *wire.SearchResponse) { r.Rows = nil },
	}).Draw(t, "change")
}
