package registrar_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/pkg/wire"
)

// TestBadAnnouncements modifies one field of a valid announcement per case, and expects an error that names the field and no change of the table.
func TestBadAnnouncements(t *testing.T) {
	cases := []struct {
		name     string
		modify   func(ann *wire.Announcement)
		field    string
		accepted bool
	}{
		{"valid", func(*wire.Announcement) {}, "", true},
		{"empty name", func(a *wire.Announcement) { a.Upstream = "" }, "upstream", false},
		{"empty address", func(a *wire.Announcement) { a.Address = "" }, "address", false},
		{"empty zone", func(a *wire.Announcement) { a.Zone = "" }, "zone", false},
		{"zero slots", func(a *wire.Announcement) { a.Slots = 0 }, "slots", false},
		{"zero lease", func(a *wire.Announcement) { a.LeaseMs = 0 }, "lease-ms", false},
		{"lease too long", func(a *wire.Announcement) { a.LeaseMs = 1 << 31 }, "lease-ms", false},
		{"undeclared service", func(a *wire.Announcement) { a.Manifests[0].Service = "moon" }, "service", false},
		{"undeclared shard in the manifest", func(a *wire.Announcement) { a.Manifests[0].Shards[0].Shard = "moon" }, "shard", false},
		{"undeclared shard in the holdings", func(a *wire.Announcement) { a.Holdings[0].Shard = "moon" }, "shard", false},
		{"manifest without shards", func(a *wire.Announcement) { a.Manifests[0].Shards = nil }, "manifests", false},
		{"shard without weight", func(a *wire.Announcement) { a.Manifests[0].Shards[3].Weight = 0 }, "weight", false},
		{"holding without manifest", func(a *wire.Announcement) { a.Holdings[0].Version = 9 }, "holdings", false},
		{"held shard missing from the manifest", func(a *wire.Announcement) { a.Manifests[0].Shards = a.Manifests[0].Shards[:1] }, "holdings", false},
	}
	now := time.UnixMilli(1000)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistrar(t, 0)
			ann := proto.CloneOf(announcementOf(1, 1))
			c.modify(ann)
			changed, err := r.Announce(now, ann)
			var announcementErr *registrar.AnnouncementError
			if c.accepted {
				if err != nil || !changed {
					t.Errorf("rejected: %v", err)
				}
				return
			}
			if !errors.As(err, &announcementErr) || announcementErr.Field != c.field || changed || len(r.Announcements(now)) != 0 {
				t.Errorf("changed %t, %d announcements, error %v; want an error in field %s", changed, len(r.Announcements(now)), err, c.field)
			}
		})
	}
}
