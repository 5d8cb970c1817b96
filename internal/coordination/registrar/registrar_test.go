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

func withAge(ann *wire.Announcement, age time.Duration) *wire.Announcement {
	ann.AgeMs = uint32(age.Milliseconds())
	return ann
}

func newConfigured() *Registrar {
	r := New()
	r.Configure(config(1, "s"))
	return r
}

func (r *Registrar) isRouted(upstream string) bool {
	for _, replica := range r.Replicas("s", 1, "a") {
		if replica.Upstream == upstream {
			return true
		}
	}
	return false
}

// step is one event at an offset from the start.
type step struct {
	offset time.Duration
	run    func(r *Registrar, now time.Time)
}

func announce(ann *wire.Announcement) func(*Registrar, time.Time) {
	return func(r *Registrar, now time.Time) { _, _ = r.Announce(now, ann) }
}

func relay(ann *wire.Announcement) func(*Registrar, time.Time) {
	return func(r *Registrar, now time.Time) { r.ApplyRelayed(now, ann) }
}

func renew(ann *wire.Announcement, sequence uint64, age time.Duration) func(*Registrar, time.Time) {
	return func(r *Registrar, now time.Time) {
		r.Renew(now, &wire.Renewal{
			Upstream:    ann.GetUpstream(),
			Incarnation: ann.GetIncarnation(),
			Sequence:    sequence,
			AgeMs:       uint32(age.Milliseconds()),
			Content:     r.digestContent(ann),
		})
	}
}

func markLeaving(incarnation uint64) func(*Registrar, time.Time) {
	return func(r *Registrar, _ time.Time) { r.MarkLeaving("u", incarnation) }
}

func stall(r *Registrar, now time.Time) { r.RecordStall(now) }

func TestLeaving(t *testing.T) {
	first := announcement("u", 1, 1)
	cases := []struct {
		name       string
		steps      []step
		wantRouted bool
	}{
		{"announced", []step{{0, announce(first)}, {time.Second, nil}}, true},
		{"lease expired", []step{{0, announce(first)}, {lease, nil}}, false},
		{"renewed", []step{{0, announce(first)}, {time.Second, announce(announcement("u", 1, 2))}, {2 * time.Second, nil}}, true},
		{"renewed through a peer", []step{{0, announce(first)}, {time.Second, renew(first, 2, 0)}, {2 * time.Second, nil}}, true},
		{"duplicate renewal", []step{{0, announce(first)}, {time.Second, announce(first)}, {lease, nil}}, false},
		{"duplicate renewal through a peer", []step{{0, announce(first)}, {time.Second, renew(first, 1, 0)}, {lease, nil}}, false},
		{"leaving notice", []step{{0, announce(first)}, {1, announce(leaving("u", 2))}}, false},
		{"leaving notice through a peer", []step{{0, announce(first)}, {1, relay(leaving("u", 2))}}, false},
		{"older heartbeat after the leaving notice", []step{{0, announce(first)}, {1, announce(leaving("u", 5))}, {2, announce(announcement("u", 1, 4))}}, false},
		{"newer heartbeat after the leaving notice", []step{{0, announce(first)}, {1, announce(leaving("u", 5))}, {2, announce(announcement("u", 1, 6))}}, false},
		{"older heartbeat through a peer after the leaving notice", []step{{0, announce(first)}, {1, announce(leaving("u", 5))}, {2, relay(announcement("u", 1, 4))}}, false},
		{"reordered leaving notice", []step{{0, announce(announcement("u", 1, 6))}, {1, announce(leaving("u", 5))}}, false},
		{"leaving notice of the previous incarnation", []step{{0, announce(announcement("u", 2, 1))}, {1, announce(leaving("u", 9))}}, true},
		{"restart with a new incarnation", []step{{0, announce(leaving("u", 9))}, {1, announce(announcement("u", 2, 1))}}, true},
		{"older heartbeat after the lease expired", []step{{0, announce(announcement("u", 1, 3))}, {lease + 1, announce(announcement("u", 1, 2))}}, false},
		{"duplicate heartbeat after the lease expired", []step{{0, announce(first)}, {lease + 1, announce(first)}}, false},
		{"newer heartbeat after the lease expired", []step{{0, announce(first)}, {lease + 1, announce(announcement("u", 1, 2))}}, true},
		{"older heartbeat after the lease of the leaving notice expired", []step{{0, announce(first)}, {1, announce(leaving("u", 5))}, {lease + time.Second, announce(announcement("u", 1, 4))}}, false},
		{"delayed by a partitioned peer past its lease", []step{{0, relay(withAge(announcement("u", 1, 3), lease))}}, false},
		{"delayed by a partitioned peer within its lease", []step{{0, relay(withAge(announcement("u", 1, 3), time.Second))}, {lease - time.Second, nil}}, false},
		{"heartbeats continue long after the leaving notice", []step{
			{0, announce(leaving("u", 1))}, {30 * time.Second, announce(announcement("u", 1, 2))},
			{80 * time.Second, announce(announcement("u", 1, 3))}, {100 * time.Second, announce(announcement("u", 1, 4))}}, false},
		{"reply marks the upstream as leaving", []step{{0, announce(first)}, {1, markLeaving(1)}, {2, announce(announcement("u", 1, 2))}}, false},
		{"late reply of the previous incarnation", []step{{0, announce(announcement("u", 2, 1))}, {1, markLeaving(1)}}, true},
		{"heartbeat delayed by a stall", []step{{0, stall}, {1, announce(first)}}, false},
		{"heartbeat after the stall's ignore period", []step{{0, stall}, {ignoreAfterStall, announce(first)}}, true},
		{"leaving notice delayed by a stall", []step{{0, announce(first)}, {1, stall}, {2, announce(leaving("u", 2))}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newConfigured()
			for _, s := range c.steps {
				now := start.Add(s.offset)
				r.Expire(now)
				if s.run != nil {
					s.run(r, now)
				}
			}
			if routed := r.isRouted("u"); routed != c.wantRouted {
				t.Errorf("routed to: %t, want %t", routed, c.wantRouted)
			}
		})
	}
}

func TestRelayKeepsAge(t *testing.T) {
	ann := announcement("u", 1, 1)
	now := start
	for hop := range 4 {
		r := newConfigured()
		if !r.ApplyRelayed(now, ann) {
			t.Fatalf("hop %d: announcement was not applied", hop)
		}
		now = now.Add(400 * time.Millisecond)
		ann = r.Announcements(now)[0]
	}
	last := newConfigured()
	last.ApplyRelayed(now, ann)
	last.Expire(start.Add(lease))
	if last.isRouted("u") {
		t.Errorf("upstream is still routed to after its lease of %s and four relays", lease)
	}
}

func TestDeclaredLater(t *testing.T) {
	cases := []struct {
		name    string
		config  *wire.Config
		deliver func(*Registrar, time.Time)
	}{
		{"direct, before any configuration", nil, announce(announcement("u", 1, 1))},
		{"relayed, before any configuration", nil, relay(announcement("u", 1, 1))},
		{"relayed, for a service declared later", config(1, "other"), relay(announcement("u", 1, 1))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			if c.config != nil {
				r.Configure(c.config)
			}
			c.deliver(r, start)
			if r.isRouted("u") || len(r.Manifests("s")) > 0 {
				t.Fatal("an undeclared service is routed to")
			}
			r.Configure(config(2, "s"))
			if !r.isRouted("u") || len(r.Manifests("s")) != 1 {
				t.Error("not routed to once the service was declared")
			}
		})
	}
}

func TestConflictingManifest(t *testing.T) {
	r := newConfigured()
	announce(announcement("u1", 1, 1))(r, start)
	announce(announcement("u2", 1, 1))(r, start)
	_, err := r.Announce(start, announcement("u3", 1, 1, 9))
	var announcementErr *AnnouncementError
	if !errors.As(err, &announcementErr) || announcementErr.Field != "manifests" || len(r.Manifests("s")) != 1 || r.isRouted("u3") {
		t.Fatalf("conflicting manifest: error %v; want it rejected", err)
	}
	// A peer that saw the other manifest first relays it.
	r.ApplyRelayed(start, announcement("u3", 1, 1, 9))
	if len(r.Manifests("s")) != 0 {
		t.Fatal("a version with conflicting manifests is used")
	}
	for i, sequence := range []uint64{2, 3, 4} {
		now := start.Add(time.Duration(i+1) * time.Second)
		r.Expire(now)
		announce(announcement("u1", 1, sequence))(r, now)
		announce(announcement("u2", 1, sequence))(r, now)
		announce(announcement("u3", 1, sequence, 9))(r, now)
		relay(announcement("u3", 1, sequence, 9))(r, now)
	}
	if list := r.Manifests("s"); len(list) != 1 || list[0].GetShards()[0].GetWeight() != 1 {
		t.Errorf("after the lease of the minority expired: manifests %v", list)
	}
}

// TestManifestConflictConverges gives two instances conflicting manifests and checks that both converge on the same one.
func TestManifestConflictConverges(t *testing.T) {
	left, right := newConfigured(), newConfigured()
	now := start
	for sequence := uint64(1); sequence < 10; sequence++ {
		left.Expire(now)
		right.Expire(now)
		announce(announcement("u1", 1, sequence))(left, now)
		announce(announcement("u2", 1, sequence, 9))(right, now)
		for _, ann := range left.Announcements(now) {
			right.ApplyRelayed(now, ann)
		}
		for _, ann := range right.Announcements(now) {
			left.ApplyRelayed(now, ann)
		}
		now = now.Add(500 * time.Millisecond)
	}
	a, b := left.Manifests("s"), right.Manifests("s")
	if len(a) != 1 || len(b) != 1 || encodeManifest(a[0]) != encodeManifest(b[0]) {
		t.Errorf("manifests: %v and %v", a, b)
	}
}

func TestRepairSendsOnlyDifferingBuckets(t *testing.T) {
	a, b := newConfigured(), newConfigured()
	for i := range 500 {
		ann := announcement(fmt.Sprintf("u%d", i), 1, 1)
		a.ApplyRelayed(start, ann)
		if i != 77 {
			b.ApplyRelayed(start, ann)
		}
	}
	announce(leaving("u5", 2))(a, start)
	missing := a.Repair(start, b.Digests(), 0, 1000)
	if len(missing) == 0 || len(missing) > 12 {
		t.Errorf("repair of 2 differences among 500 sends %d announcements, want 1 to 12", len(missing))
	}
	for _, ann := range missing {
		b.ApplyRelayed(start, ann)
	}
	if rest := a.Repair(start, b.Digests(), 0, 1000); len(rest) != 0 || b.isRouted("u5") || !b.isRouted("u77") {
		t.Errorf("%d announcements still differ after the repair, or routing is wrong", len(rest))
	}
	if part := a.Repair(start, newConfigured().Digests(), 3, 100); len(part) != 100 {
		t.Errorf("repair sends %d announcements, want 100", len(part))
	}
}

func TestUpdateBatchIsBounded(t *testing.T) {
	r := newConfigured()
	for i := range 100 {
		announce(announcement(fmt.Sprintf("u%d", i), 1, 1))(r, start)
	}
	if !r.HasQueuedAnnouncements() {
		t.Error("no announcements queued after 100 were applied")
	}
	full, renewals := r.DequeueUpdates(start, 60)
	rest, _ := r.DequeueUpdates(start, 60)
	if r.HasQueuedAnnouncements() {
		t.Error("announcements are still queued after all batches")
	}
	if len(full) != 60 || len(rest) != 40 || len(renewals) != 0 {
		t.Errorf("batches of %d and %d announcements and %d renewals, want 60, 40 and 0", len(full), len(rest), len(renewals))
	}
	announce(announcement("u1", 1, 2))(r, start)
	announce(announcement("u1", 1, 3))(r, start)
	full, renewals = r.DequeueUpdates(start, 60)
	if len(full) != 0 || len(renewals) != 1 || renewals[0].GetSequence() != 3 {
		t.Errorf("renewals %v, announcements %v; want one renewal with sequence 3", renewals, full)
	}
}
