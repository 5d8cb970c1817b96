package registrar_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestBadAnnouncements gives one that is right with one thing changed: each is a mistake with its field, and changes nothing.
func TestBadAnnouncements(t *testing.T) {
	cases := []struct {
		name   string
		spoil  func(ann *wire.Announcement)
		field  string
		accept bool
	}{
		{"as it should be", func(*wire.Announcement) {}, "", true},
		{"no name", func(a *wire.Announcement) { a.Upstream = "" }, "upstream", false},
		{"no address", func(a *wire.Announcement) { a.Address = "" }, "address", false},
		{"no zone", func(a *wire.Announcement) { a.Zone = "" }, "zone", false},
		{"no slots", func(a *wire.Announcement) { a.Slots = 0 }, "slots", false},
		{"no lease", func(a *wire.Announcement) { a.LeaseMs = 0 }, "lease-ms", false},
		{"an endless lease", func(a *wire.Announcement) { a.LeaseMs = 1 << 31 }, "lease-ms", false},
		{"an undeclared service", func(a *wire.Announcement) { a.Manifests[0].Service = "moon" }, "service", false},
		{"an undeclared shard in the manifest", func(a *wire.Announcement) { a.Manifests[0].Shards[0].Shard = "moon" }, "shard", false},
		{"an undeclared shard held", func(a *wire.Announcement) { a.Holdings[0].Shard = "moon" }, "shard", false},
		{"a manifest without shards", func(a *wire.Announcement) { a.Manifests[0].Shards = nil }, "manifests", false},
		{"a shard without weight", func(a *wire.Announcement) { a.Manifests[0].Shards[3].Weight = 0 }, "weight", false},
		{"a version without manifest", func(a *wire.Announcement) { a.Holdings[0].Version = 9 }, "holdings", false},
		{"a shard that its version does not have", func(a *wire.Announcement) { a.Manifests[0].Shards = a.Manifests[0].Shards[:1] }, "holdings", false},
	}
	now := time.UnixMilli(1000)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := filled(t, 0)
			ann := proto.CloneOf(announcementOf(1, 1))
			c.spoil(ann)
			news, err := r.Announce(now, ann)
			var wrong *registrar.AnnouncementError
			if c.accept {
				if err != nil || !news {
					t.Errorf("refused: %v", err)
				}
				return
			}
			if !errors.As(err, &wrong) || wrong.Field != c.field || news || len(r.Announcements(now)) != 0 {
				t.Errorf("news %v, %d held, %v; want a mistake in %s", news, len(r.Announcements(now)), err, c.field)
			}
		})
	}
}
