package registrar

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pimentogate.example/pimentogate/pkg/wire"
)

// seed is fixed, so that every run of the tests draws the same cases.
const seed = "4217"

func TestMain(m *testing.M) {
	flag.Parse()
	if value := flag.Lookup("rapid.seed"); value != nil && value.Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	m.Run()
}

// TestNoWorkAfterLeaving checks that no instance routes to an upstream 2 s after its leaving notice.
// Messages are lost, duplicated, reordered, delayed and relayed between three instances with different clocks.
func TestNoWorkAfterLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 60 {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			s.step(t)
			s.check(t)
		}
		s.now = s.now.Add(2 * time.Second)
		s.check(t)
	})
}

type message struct {
	ann    *wire.Announcement
	sentAt time.Time
}

// simulation holds the instances and the messages sent to them.
type simulation struct {
	now      time.Time
	tables   []*Registrar
	offsets  []time.Duration
	messages []message
	sequence uint64
	leftAt   time.Time
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		now: start,
	}
	for i := range 3 {
		s.tables = append(s.tables, newConfigured())
		s.offsets = append(s.offsets, time.Duration(rapid.IntRange(-3600, 3600).Draw(t, fmt.Sprintf("clock %d", i)))*time.Second)
	}
	return s
}

func (s *simulation) clock(i int) time.Time { return s.now.Add(s.offsets[i]) }

func (s *simulation) step(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "instance")
	switch rapid.SampledFrom([]string{"heartbeat", "leave", "deliver", "relay", "repair"}).Draw(t, "event") {
	case "heartbeat":
		s.send(false)
	case "leave":
		s.send(true)
	case "deliver":
		s.deliver(t, i)
	case "relay":
		s.relay(i, rapid.IntRange(0, 2).Draw(t, "peer"))
	case "repair":
		s.repair(i, rapid.IntRange(0, 2).Draw(t, "peer"))
	}
}

func (s *simulation) send(isLeaving bool) {
	if !s.leftAt.IsZero() {
		return
	}
	s.sequence++
	ann := announcement("u", 1, s.sequence)
	if isLeaving {
		ann.Leaving = true
		s.leftAt = s.now
	}
	s.messages = append(s.messages, message{
		ann:    ann,
		sentAt: s.now,
	})
}

// deliver delivers any message sent in the last 200 ms, possibly again. Older ones were dropped when their sender timed out and closed the connection.
func (s *simulation) deliver(t *rapid.T, i int) {
	if len(s.messages) == 0 {
		return
	}
	m := s.messages[rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")]
	if s.now.Sub(m.sentAt) > 200*time.Millisecond {
		return
	}
	_, _ = s.tables[i].Announce(s.clock(i), proto.CloneOf(m.ann))
}

func (s *simulation) relay(from, to int) {
	full, renewals := s.tables[from].DequeueUpdates(s.clock(from), 10)
	for _, ann := range full {
		s.tables[to].ApplyRelayed(s.clock(to), ann)
	}
	for _, renewal := range renewals {
		s.tables[to].Renew(s.clock(to), renewal)
	}
}

func (s *simulation) repair(from, to int) {
	for _, ann := range s.tables[from].Repair(s.clock(from), s.tables[to].Digests(), 0, 10) {
		s.tables[to].ApplyRelayed(s.clock(to), ann)
	}
}

func (s *simulation) check(t *rapid.T) {
	for i, table := range s.tables {
		table.Expire(s.clock(i))
		if !s.leftAt.IsZero() && s.now.Sub(s.leftAt) >= 2*time.Second && table.isRouted("u") {
			t.Fatalf("instance %d still routes to the upstream %s after its leaving notice", i, s.now.Sub(s.leftAt))
		}
		if mismatch := compareWithRebuilt(table); mismatch != "" {
			t.Fatalf("instance %d: %s", i, mismatch)
		}
	}
}

// compareWithRebuilt compares the incrementally updated tables with rebuilt ones and returns a description of the difference, if any.
func compareWithRebuilt(r *Registrar) string {
	rebuilt := newConfigured()
	for _, rec := range r.records {
		copied := *rec
		rebuilt.updateRecord(&copied, func() { rebuilt.records[copied.announcement.GetUpstream()] = &copied })
	}
	got := fmt.Sprint(len(r.Replicas("s", 1, "a")), len(r.ServiceReplicas("s")), len(r.Manifests("s")), r.Digests())
	want := fmt.Sprint(len(rebuilt.Replicas("s", 1, "a")), len(rebuilt.ServiceReplicas("s")), len(rebuilt.Manifests("s")), rebuilt.Digests())
	if got != want {
		return "tables " + got + ", want " + want
	}
	return ""
}

// newFilledRegistrar returns a table of services with 50 shards of two replicas each, and the announcement of its first upstream.
func newFilledRegistrar(upstreams int) (*Registrar, *wire.Announcement) {
	const perService = 100
	declared := &wire.Config{
		Revision: 1,
	}
	var announcements []*wire.Announcement
	for i := range upstreams {
		ann := announcement(fmt.Sprintf("u%d", i), 1, 1)
		ann.Manifests[0].Service = fmt.Sprintf("s%d", i/perService)
		ann.Holdings[0].Service = ann.GetManifests()[0].GetService()
		ann.Manifests[0].Shards = nil
		for shard := range perService / 2 {
			ann.Manifests[0].Shards = append(ann.Manifests[0].Shards, &wire.ShardWeight{
				Shard:  fmt.Sprintf("shard-%d", shard),
				Weight: 1,
			})
		}
		ann.Holdings[0].Shard = fmt.Sprintf("shard-%d", i%(perService/2))
		announcements = append(announcements, ann)
	}
	for i := range (upstreams + perService - 1) / perService {
		service := &wire.Service{
			Name: fmt.Sprintf("s%d", i),
		}
		for shard := range perService / 2 {
			service.Shards = append(service.Shards, fmt.Sprintf("shard-%d", shard))
		}
		declared.Services = append(declared.Services, service)
	}
	table := New()
	table.Configure(declared)
	for _, ann := range announcements {
		_, _ = table.Announce(start, ann)
	}
	return table, announcements[0]
}

func BenchmarkAnnounce(b *testing.B) {
	for _, upstreams := range []int{100, 1_000, 10_000} {
		table, ann := newFilledRegistrar(upstreams)
		b.Run(fmt.Sprintf("renewal/%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				ann.Sequence++
				_, _ = table.Announce(start, ann)
			}
		})
		b.Run(fmt.Sprintf("change/%d", upstreams), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				next := proto.CloneOf(ann)
				next.Incarnation = uint64(i + 2)
				_, _ = table.Announce(start, next)
			}
		})
		b.Run(fmt.Sprintf("expire/%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				table.nextExpiry = time.Time{}
				table.Expire(start)
			}
		})
		b.Run(fmt.Sprintf("digests/%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				table.Digests()
			}
		})
	}
}
