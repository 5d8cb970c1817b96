package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// summaryPeriod is the minimum time between two summaries of the upstreams.
	summaryPeriod = 2 * time.Second
	// maxSummaryUpstreams is the maximum number of upstreams in a summary.
	maxSummaryUpstreams = 4096
)

// summarizer builds summaries of the upstreams for a control instance. It skips a summary that equals the last one sent
// on the same stream.
type summarizer struct {
	gateway  *Gateway
	nextAt   time.Time
	lastSent *wire.UpstreamSummary
}

// nextIfChanged returns a new summary, or nil if summaryPeriod has not passed or nothing has changed.
func (s *summarizer) nextIfChanged(now time.Time) *wire.UpstreamSummary {
	if now.Before(s.nextAt) {
		return nil
	}
	s.nextAt = now.Add(summaryPeriod)
	summary := summarize(s.gateway.machine.Registrar.Announcements(now))
	if proto.Equal(summary, s.lastSent) {
		return nil
	}
	s.lastSent = summary
	return summary
}

// summarize reduces the announcements to the data from which plans are computed. It omits leaving upstreams and all
// manifests but the newest of each service, and counts the upstreams beyond maxSummaryUpstreams.
func summarize(announcements []*wire.Announcement) *wire.UpstreamSummary {
	summary := &wire.UpstreamSummary{}
	newestVersions := map[string]uint64{}
	for _, ann := range announcements {
		if ann.GetLeaving() {
			continue
		}
		if len(summary.GetUpstreams()) == maxSummaryUpstreams {
			summary.LeftOut++
			continue
		}
		summary.Upstreams = append(summary.Upstreams, &wire.UpstreamState{
			Upstream:    ann.GetUpstream(),
			Zone:        ann.GetZone(),
			Connections: ann.GetConnections(),
			Slots:       ann.GetSlots(),
			Holdings:    ann.GetHoldings(),
		})
		for _, manifest := range ann.GetManifests() {
			newestVersions[manifest.GetService()] = max(newestVersions[manifest.GetService()], manifest.GetVersion())
		}
	}
	for _, ann := range announcements {
		for _, manifest := range ann.GetManifests() {
			if newestVersions[manifest.GetService()] == manifest.GetVersion() {
				summary.Manifests = append(summary.Manifests, manifest)
				delete(newestVersions, manifest.GetService())
			}
		}
	}
	return summary
}
