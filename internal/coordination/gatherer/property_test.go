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
		g := &eventGenerator{
			driver: d,
		}
		t.Repeat(map[string]func(*rapid.T){
			"add-query":   g.startQuery,
			"hold":        g.hold,
			"hold-all":    g.holdAll,
			"withdraw":    g.withdraw,
			"leave":       g.leave,
			"reply":       g.reply,
			"stray-reply": g.strayReply,
			"fail":        g.fail,
			"abandon":     g.abandon,
			"tick":        g.tick,
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

func (g *eventGenerator) startQuery(t *rapid.T) {
	text := rapid.SampledFrom([]string{"same", "other"}).Draw(t, "text")
	timeout := rapid.IntRange(5, 1000).Draw(t, "timeout")
	g.queryIDs = append(g.queryIDs, g.driver.startQuery(text, time.Duration(timeout)*time.Millisecond))
}

func drawUpstream(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "upstream")
}

func drawVersion(t *rapid.T) uint64 {
	return rapid.Uint64Range(1, 3).Draw(t, "version")
}

func (g *eventGenerator) hold(t *rapid.T) {
	version := drawVersion(t)
	shards := len(g.driver.manifests[version].GetShards())
	g.driver.hold(drawUpstream(t), version, rapid.IntRange(0, shards-1).Draw(t, "shard"))
}

func (g *eventGenerator) holdAll(t *rapid.T) {
	version := drawVersion(t)
	for i := range g.driver.manifests[version].GetShards() {
		g.driver.hold(drawUpstream(t), version, i)
	}
}

func (g *eventGenerator) withdraw(t *rapid.T) {
	g.driver.withdraw(drawUpstream(t), drawVersion(t))
}

func (g *eventGenerator) leave(t *rapid.T) {
	g.driver.machine.Registrar.MarkLeaving(drawUpstream(t), 1)
}

func (g *eventGenerator) reply(t *rapid.T) {
	d := g.driver
	if len(d.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.sends)-1).Draw(t, "send")
	send := d.sends[i]
	if rapid.Bool().Draw(t, "replayable") {
		g.replayable = append(g.replayable, send)
	} else {
		d.sends = slices.Delete(d.sends, i, i+1)
	}
	d.reply(send, drawMutation(t))
}

func (g *eventGenerator) strayReply(t *rapid.T) {
	if len(g.replayable) == 0 {
		return
	}
	target := rapid.SampledFrom(g.replayable).Draw(t, "target")
	source := rapid.SampledFrom(g.replayable).Draw(t, "source")
	delete(g.driver.runningAt, target.Request.GetAttempt())
	g.driver.machine.HandleReply(g.driver.now, target.Request.GetAttempt(), validReply(source))
	g.driver.collectActions()
}

func (g *eventGenerator) fail(t *rapid.T) {
	d := g.driver
	if len(d.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.sends)-1).Draw(t, "send")
	d.fail(d.sends[i], Failure{
		Shed:    rapid.Bool().Draw(t, "shed"),
		NotHeld: rapid.Bool().Draw(t, "not-held"),
	})
}

func (g *eventGenerator) abandon(t *rapid.T) {
	if len(g.queryIDs) == 0 {
		return
	}
	g.driver.machine.CancelQuery(g.driver.now, rapid.SampledFrom(g.queryIDs).Draw(t, "query"))
	g.driver.collectActions()
}

func (g *eventGenerator) tick(t *rapid.T) {
	g.driver.tick(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
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
	}).Draw(t, "mutation")
}
