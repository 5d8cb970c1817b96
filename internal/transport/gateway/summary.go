package gateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// summaryPeriod is how often the upstreams are summed up at most.
	summaryPeriod = 2 * time.Second
	// maxSummary is the number of upstreams in a summary at most.
	maxSummary = 4096
)

// summarizer sums the upstreams up for control, and only when that has changed on the stream.
type summarizer struct {
	gateway *Gateway
	nextAt  time.Time
	sent    *wire.UpstreamSummary
}

// changed returns the summary, or nil while it is the one sent last.
func (s *summarizer) changed(now time.Time) *wire.UpstreamSummary {
	if now.Before(s.nextAt) {
		return nil
	}
	s.nextAt = now.Add(summaryPeriod)
	summary := summarize(s.gateway.machine.Registrar.Announcements(now))
	if proto.Equal(summary, s.sent) {
		return nil
	}
	s.sent = summary
	return summary
}

// summarize keeps what the figures of a plan need of the announcements.
func summarize(announcements []*wire.Announcement) *wire.UpstreamSummary {
	summary := &wire.UpstreamSummary{}
	known := map[string]uint64{}
	for _, ann := range announcements {
		if ann.GetLeaving() {
			continue
		}
		if len(summary.GetUpstreams()) == maxSummary {
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
			known[manifest.GetService()] = max(known[manifest.GetService()], manifest.GetVersion())
		}
	}
	for _, ann := range announcements {
		for _, manifest := range ann.GetManifests() {
			if known[manifest.GetService()] == manifest.GetVersion() {
				summary.Manifests = append(summary.Manifests, manifest)
				delete(known, manifest.GetService())
			}
		}
	}
	return summary
}
