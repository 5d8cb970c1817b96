package gateway

import (
	"fmt"
	"testing"

	"pimentogate.example/pimentogate/pkg/wire"
)

// TestSummaryIsBounded checks that a summary is bounded and counts the upstreams that it leaves out, and that it contains
// neither leaving upstreams nor old manifests.
func TestSummaryIsBounded(t *testing.T) {
	const extra = 3
	announcements := []*wire.Announcement{{
		Upstream: "leaving",
		Leaving:  true,
	}}
	for i := range maxSummaryUpstreams + extra {
		announcements = append(announcements, &wire.Announcement{
			Upstream: fmt.Sprintf("u-%d", i),
			Manifests: []*wire.Manifest{{
				Service: "tenants",
				Version: uint64(1 + i%2),
			}},
		})
	}
	summary := summarize(announcements)
	if len(summary.GetUpstreams()) != maxSummaryUpstreams || summary.GetLeftOut() != extra || summary.GetUpstreams()[0].GetUpstream() != "u-0" {
		t.Errorf("%d upstreams from %s, %d left out", len(summary.GetUpstreams()), summary.GetUpstreams()[0].GetUpstream(), summary.GetLeftOut())
	}
	if len(summary.GetManifests()) != 1 || summary.GetManifests()[0].GetVersion() != 2 {
		t.Errorf("manifests %v, want only the newest", summary.GetManifests())
	}
}
