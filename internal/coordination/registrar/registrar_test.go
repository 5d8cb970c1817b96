package registrar

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const lease = 1750 * time.Millisecond

var start = time.Unix(1000, 0)

func config(revision uint64, services ...string) *wire.Config {
	c := &wire.Config{
		Revision: revision,
	}
	for _, name := range services {
		c.Services = append(c.Services, &wire.Service{
			Name:   name,
			Shards: []string{"a", "b"},
		})
	}
	return c
}

func announcement(upstream string, incarnation, sequence uint64, weights ...uint64) *wire.Announcement {
	manifest := &wire.Manifest{
		Service: "s",
		Version: 1,
	}
	for i, weight := range append(weights, 1, 1)[:2] {
		manifest.Shards = append(manifest.Shards, &wire.ShardWeight{
			Shard:  string(rune('a' + i)),
			Weight: weight,
		})
	}
	return &wire.Announcement{
		Upstream:    upstream,
		Address:     upstream + ":1",
		Zone:        "z",
		Slots:       2,
		Connections: 25,
		Incarnation: incarnation,
		Sequence:    sequence,
		LeaseMs:     uint32(lease.Milliseconds()),
		Holdings: []*wire.Holding{{
			Service: "s",
			Version: 1,
			Shard:   "a",
		}},
		Manifests: []*wire.Manifest{manifest},
	}
}

func leaving(upstream string, sequence uint64) *wire.Announcement {
	ann := announcement(upstream, 1, sequence)
	ann.Leaving = true
	return ann
}

func aged(ann *wire.Announcement, age time.Duration) *wire.Announcement {
	ann.AgeMs = uint32(age.Milliseconds())
	return ann
}

func configured() *Registrar {
	r := New()
	r.Configure(config(1, "s"))
	return r
}

func (r *Registrar) takesWork(upstream string) bool {
	for _, replica := range r.Replicas("s", 1, "a") {
		if replica.Upstream == upstream {
			return true
		}
	}
	return false
}

// step is one event at a time after the start.
type step struct {
	at   time.Duration
	what func(r *Registrar, now time.Time)
}

func direct(ann *wire.Announcement) func(*Registrar, time.Time) {
	return func(r *Registrar, now time.Time) { _, _ = r.Announce(now, ann) }
}

func relayed(ann *wire.Announcement) func(*Registrar, time.Time) {
	return func(r *Registrar, now time.Time) { r.Relay(now, ann) }
}

func renewed(ann *wire.Announcement, sequence uint64, age time.Duration) func(*Registrar, time.Time) {
	return func(r *Registrar, now time.Time) {
		r.Renew(now, &wire.Renewal{
			Upstream:    ann.GetUpstream(),
			Incarnation: ann.GetIncarnation(),
			Sequence:    sequence,
			AgeMs:       uint32(age.Milliseconds()),
			Content:     r.contentOf(ann),
		})
	}
}

func marked(incarnation uint64) func(*Registrar, time.Time) {
	return func(r *Registrar, _ time.Time) { r.MarkLeaving("u", incarnation) }
}

func stalled(r *Registrar, now time.Time) { r.Stalled(now) }

func TestLeaving(t *testing.T) {
	first := announcement("u", 1, 1)
	cases := []struct {
		name  string
		steps []step
		works bool
	}{
		{"announced", []step{{0, direct(first)}, {time.Second, nil}}, true},
		{"lease over", []step{{0, direct(first)}, {lease, nil}}, false},
		{"renewed", []step{{0, direct(first)}, {time.Second, direct(announcement("u", 1, 2))}, {2 * time.Second, nil}}, true},
		{"renewed through a peer", []step{{0, direct(first)}, {time.Second, renewed(first, 2, 0)}, {2 * time.Second, nil}}, true},
		{"doubled renewal", []step{{0, direct(first)}, {time.Second, direct(first)}, {lease, nil}}, false},
		{"doubled renewal through a peer", []step{{0, direct(first)}, {time.Second, renewed(first, 1, 0)}, {lease, nil}}, false},
		{"notice", []step{{0, direct(first)}, {1, direct(leaving("u", 2))}}, false},
		{"notice through a peer", []step{{0, direct(first)}, {1, relayed(leaving("u", 2))}}, false},
		{"older heartbeat after the notice", []step{{0, direct(first)}, {1, direct(leaving("u", 5))}, {2, direct(announcement("u", 1, 4))}}, false},
		{"newer heartbeat after the notice", []step{{0, direct(first)}, {1, direct(leaving("u", 5))}, {2, direct(announcement("u", 1, 6))}}, false},
		{"older heartbeat through a peer", []step{{0, direct(first)}, {1, direct(leaving("u", 5))}, {2, relayed(announcement("u", 1, 4))}}, false},
		{"reordered notice", []step{{0, direct(announcement("u", 1, 6))}, {1, direct(leaving("u", 5))}}, false},
		{"notice of the incarnation before", []step{{0, direct(announcement("u", 2, 1))}, {1, direct(leaving("u", 9))}}, true},
		{"back under a new incarnation", []step{{0, direct(leaving("u", 9))}, {1, direct(announcement("u", 2, 1))}}, true},
		{"older heartbeat after the lease", []step{{0, direct(announcement("u", 1, 3))}, {lease + 1, direct(announcement("u", 1, 2))}}, false},
		{"doubled heartbeat after the lease", []step{{0, direct(first)}, {lease + 1, direct(first)}}, false},
		{"newer heartbeat after the lease", []step{{0, direct(first)}, {lease + 1, direct(announcement("u", 1, 2))}}, true},
		{"older heartbeat after the notice's lease", []step{{0, direct(first)}, {1, direct(leaving("u", 5))}, {lease + time.Second, direct(announcement("u", 1, 4))}}, false},
		{"kept by a partitioned peer past its lease", []step{{0, relayed(aged(announcement("u", 1, 3), lease))}}, false},
		{"kept by a partitioned peer within its lease", []step{{0, relayed(aged(announcement("u", 1, 3), time.Second))}, {lease - time.Second, nil}}, false},
		{"heartbeats that go on long after the notice", []step{
			{0, direct(leaving("u", 1))}, {30 * time.Second, direct(announcement("u", 1, 2))},
			{80 * time.Second, direct(announcement("u", 1, 3))}, {100 * time.Second, direct(announcement("u", 1, 4))}}, false},
		{"mark on a reply", []step{{0, direct(first)}, {1, marked(1)}, {2, direct(announcement("u", 1, 2))}}, false},
		{"late mark of the incarnation before", []step{{0, direct(announcement("u", 2, 1))}, {1, marked(1)}}, true},
		{"heartbeat that waited while this instance stood still", []step{{0, stalled}, {1, direct(first)}}, false},
		{"heartbeat well after this instance stood still", []step{{0, stalled}, {stallGuard, direct(first)}}, true},
		{"notice that waited while this instance stood still", []step{{0, direct(first)}, {1, stalled}, {2, direct(leaving("u", 2))}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := configured()
			for _, s := range c.steps {
				now := start.Add(s.at)
				r.Expire(now)
				if s.what != nil {
					s.what(r, now)
				}
			}
			if works := r.takesWork("u"); works != c.works {
				t.Errorf("takes work: %t, want %t", works, c.works)
			}
		})
	}
}

func TestRelayKeepsAge(t *testing.T) {
	ann := announcement("u", 1, 1)
	now := start
	for hop := range 4 {
		r := configured()
		if !r.Relay(now, ann) {
			t.Fatalf("hop %d: not taken", hop)
		}
		now = now.Add(400 * time.Millisecond)
		ann = r.Announcements(now)[0]
	}
	last := configured()
	last.Relay(now, ann)
	last.Expire(start.Add(lease))
	if last.takesWork("u") {
		t.Errorf("a lease of %s outlived itself over four relays", lease)
	}
}

func TestDeclaredLater(t *testing.T) {
	cases := []struct {
		name   string
		config *wire.Config
		take   func(*Registrar, time.Time)
	}{
		{"direct, before any configuration", nil, direct(announcement("u", 1, 1))},
		{"relayed, before any configuration", nil, relayed(announcement("u", 1, 1))},
		{"relayed, for a service declared later", config(1, "other"), relayed(announcement("u", 1, 1))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			if c.config != nil {
				r.Configure(c.config)
			}
			c.take(r, start)
			if r.takesWork("u") || len(r.Manifests("s")) > 0 {
				t.Fatal("an undeclared service takes work")
			}
			r.Configure(config(2, "s"))
			if !r.takesWork("u") || len(r.Manifests("s")) != 1 {
				t.Error("not taken in once the service was declared")
			}
		})
	}
}

func TestContradictedManifest(t *testing.T) {
	r := configured()
	direct(announcement("u1", 1, 1))(r, start)
	direct(announcement("u2", 1, 1))(r, start)
	_, err := r.Announce(start, announcement("u3", 1, 1, 9))
	var wrong *AnnouncementError
	if !errors.As(err, &wrong) || wrong.Field != "manifests" || len(r.Manifests("s")) != 1 || r.takesWork("u3") {
		t.Fatalf("contradiction was taken: %v", err)
	}
	// A peer that had seen the other manifest first passes it on.
	r.Relay(start, announcement("u3", 1, 1, 9))
	if len(r.Manifests("s")) != 0 {
		t.Fatal("a contradicted version is used")
	}
	for i, sequence := range []uint64{2, 3, 4} {
		now := start.Add(time.Duration(i+1) * time.Second)
		r.Expire(now)
		direct(announcement("u1", 1, sequence))(r, now)
		direct(announcement("u2", 1, sequence))(r, now)
		direct(announcement("u3", 1, sequence, 9))(r, now)
		relayed(announcement("u3", 1, sequence, 9))(r, now)
	}
	if list := r.Manifests("s"); len(list) != 1 || list[0].GetShards()[0].GetWeight() != 1 {
		t.Errorf("after the smaller side's lease: %v", list)
	}
}

// TestContradictionSettles lets two instances each see another manifest first, and expects both to end with the same one.
func TestContradictionSettles(t *testing.T) {
	left, right := configured(), configured()
	now := start
	for sequence := uint64(1); sequence < 10; sequence++ {
		left.Expire(now)
		right.Expire(now)
		direct(announcement("u1", 1, sequence))(left, now)
		direct(announcement("u2", 1, sequence, 9))(right, now)
		for _, ann := range left.Announcements(now) {
			right.Relay(now, ann)
		}
		for _, ann := range right.Announcements(now) {
			left.Relay(now, ann)
		}
		now = now.Add(500 * time.Millisecond)
	}
	a, b := left.Manifests("s"), right.Manifests("s")
	if len(a) != 1 || len(b) != 1 || digestOf(a[0]) != digestOf(b[0]) {
		t.Errorf("manifests: %v and %v", a, b)
	}
}

func TestRepairCostsOnlyWhatDiffers(t *testing.T) {
	a, b := configured(), configured()
	for i := range 500 {
		ann := announcement(fmt.Sprintf("u%d", i), 1, 1)
		a.Relay(start, ann)
		if i != 77 {
			b.Relay(start, ann)
		}
	}
	direct(leaving("u5", 2))(a, start)
	missing := a.Repair(start, b.Digests(), 0, 1000)
	if len(missing) == 0 || len(missing) > 12 {
		t.Errorf("%d announcements repair two differences among 500", len(missing))
	}
	for _, ann := range missing {
		b.Relay(start, ann)
	}
	if rest := a.Repair(start, b.Digests(), 0, 1000); len(rest) != 0 || b.takesWork("u5") || !b.takesWork("u77") {
		t.Errorf("still differs after the repair: %d", len(rest))
	}
	if part := a.Repair(start, configured().Digests(), 3, 100); len(part) != 100 {
		t.Errorf("a repair of %d is not bounded by 100", len(part))
	}
}

func TestNewsIsBounded(t *testing.T) {
	r := configured()
	for i := range 100 {
		direct(announcement(fmt.Sprintf("u%d", i), 1, 1))(r, start)
	}
	if !r.HasChanges() {
		t.Error("nothing to tell")
	}
	full, renewals := r.Batch(start, 60)
	rest, _ := r.Batch(start, 60)
	if r.HasChanges() {
		t.Error("everything was told, and there is more")
	}
	if len(full) != 60 || len(rest) != 40 || len(renewals) != 0 {
		t.Errorf("batches of %d, %d and %d", len(full), len(rest), len(renewals))
	}
	direct(announcement("u1", 1, 2))(r, start)
	direct(announcement("u1", 1, 3))(r, start)
	full, renewals = r.Batch(start, 60)
	if len(full) != 0 || len(renewals) != 1 || renewals[0].GetSequence() != 3 {
		t.Errorf("renewals: %v, whole: %v", renewals, full)
	}
}
