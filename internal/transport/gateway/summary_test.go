package gateway

import (
	"fmt"
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestSummaryIsBounded holds that a summary stays bounded and says what it leaves out, and that leaving upstreams and old manifests are not in it.
func TestSummaryIsBounded(t *testing.T) {
	const extra = 3
	announcements := []*wire.Announcement{{
		Upstream: "leaving",
		Leaving:  true,
	}}
	for i := range maxSummary + extra {
		announcements = append(announcements, &wire.Announcement{
			Upstream: fmt.Sprintf("u-%d", i),
			Manifests: []*wire.Manifest{{
				Service: "tenants",
				Version: uint64(1 + i%2),
			}},
		})
	}
	summary := summarize(announcements)
	if len(summary.GetUpstreams()) != maxSummary || summary.GetLeftOut() != extra || summary.GetUpstreams()[0].GetUpstream() != "u-0" {
		t.Errorf("%d upstreams from %s, %d left out", len(summary.GetUpstreams()), summary.GetUpstreams()[0].GetUpstream(), summary.GetLeftOut())
	}
	if len(summary.GetManifests()) != 1 || summary.GetManifests()[0].GetVersion() != 2 {
		t.Errorf("manifests %v, want just the newest", summary.GetManifests())
	}
}
