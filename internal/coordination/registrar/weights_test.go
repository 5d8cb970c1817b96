package registrar

import (
	"errors"
	"math"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestManifestWeights checks that manifests whose weights cannot give a correct coverage are rejected.
func TestManifestWeights(t *testing.T) {
	cases := []struct {
		name   string
		shards []*wire.ShardWeight
		field  string
	}{
		{name: "duplicate shard", field: "manifests", shards: []*wire.ShardWeight{
			{Shard: "a", Weight: 1},
			{Shard: "a", Weight: 1},
		}},
		{name: "sum of weights overflows", field: "weight", shards: []*wire.ShardWeight{
			{Shard: "a", Weight: math.MaxUint64},
			{Shard: "b", Weight: 2},
		}},
		{name: "largest sum of weights", shards: []*wire.ShardWeight{
			{Shard: "a", Weight: math.MaxUint64 - 1},
			{Shard: "b", Weight: 1},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			r.Configure(&wire.Config{
				Services: []*wire.Service{
					{
						Name:   "tenants",
						Shards: []string{"a", "b"},
					},
				},
			})
			_, err := r.Announce(time.Unix(1_000_000, 0), &wire.Announcement{
				Upstream:    "u",
				Address:     "u:1",
				Zone:        "zone-a",
				Slots:       2,
				Connections: 25,
				LeaseMs:     1000,
				Manifests: []*wire.Manifest{
					{
						Service: "tenants",
						Version: 1,
						Shards:  c.shards,
					},
				},
			})
			field := ""
			var announcementErr *AnnouncementError
			if errors.As(err, &announcementErr) {
				field = announcementErr.Field
			}
			if field != c.field {
				t.Errorf("got error %v, want an error in field %q", err, c.field)
			}
		})
	}
}
