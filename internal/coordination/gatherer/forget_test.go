package gatherer

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
)

// TestForgetsDeparted lets upstreams come, answer and go for good, as restarts under new names do all day.
func TestForgetsDeparted(t *testing.T) {
	for _, policy := range []router.Policy{router.RoundRobin, router.TwoChoices, router.Owner} {
		t.Run(string(policy), func(t *testing.T) {
			d := newDriver(t, policy)
			d.version(1, 1)
			for i := range 50 {
				d.hold(fmt.Sprintf("u%02d", i), 1, 0)
			}
			for range 200 {
				d.ask("q", time.Second)
				d.replyAll()
			}
			if d.machine.Router.Known() == 0 {
				t.Fatal("no upstream was asked")
			}
			d.tick(time.Hour)
			d.tick(time.Second)
			if routed, queued := d.machine.Router.Known(), d.machine.queue.QueueCount(); routed+queued > 0 {
				t.Errorf("%d upstreams and %d queues are kept after all have gone", routed, queued)
			}
		})
	}
}
