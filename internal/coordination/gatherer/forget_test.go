package gatherer

import (
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
)

// TestForgetsUnannouncedUpstreams guards against memory that grows with every upstream ever seen: upstreams that restart under a new name are never announced under the old one again.
func TestForgetsUnannouncedUpstreams(t *testing.T) {
	for _, policy := range []router.Policy{router.RoundRobin, router.TwoChoices, router.Owner} {
		t.Run(string(policy), func(t *testing.T) {
			d := newDriver(t, policy)
			d.setVersion(1, 1)
			for i := range 50 {
				d.hold(fmt.Sprintf("u%02d", i), 1, 0)
			}
			for range 200 {
				d.startQuery("q", time.Second)
				d.replyAll()
			}
			if d.machine.Router.UpstreamCount() == 0 {
				t.Fatal("router tracks no upstream")
			}
			d.tick(time.Hour)
			d.tick(time.Second)
			if routed, queued := d.machine.Router.UpstreamCount(), d.machine.queue.QueueCount(); routed+queued > 0 {
				t.Errorf("router tracks %d upstreams and queuer %d queues after all leases have expired", routed, queued)
			}
		})
	}
}
