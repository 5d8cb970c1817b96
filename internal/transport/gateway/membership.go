package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/internal/protocol/checker"
	"pimentogate.example/pimentogate/pkg/wire"
)

func newTracker(settings *checker.EntrySettings, peersAddress string) *tracker.Tracker {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := &wire.Member{
		Instance:    settings.Instance,
		Address:     peersAddress,
		Zone:        settings.Zone,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	return tracker.New(self, tracker.DefaultTimeouts, random, !settings.ListedPeersOnly)
}

// heartbeat updates the membership and this instance's connection share, and advances its heartbeat. It must be called
// in the event loop.
func (g *Gateway) heartbeat(now time.Time) {
	g.tracker.Tick(now)
	g.revisionFloor.Store(g.tracker.RevisionFloor())
	g.updateShare(now)
	view := g.share.View()
	if !g.isWithinShare(now) {
		// The shares of the others must not grow until this instance has closed the connections beyond its own share.
		view = 0
	}
	g.tracker.AdvanceHeartbeat(g.machine.Config().GetRevision(), view)
	members := g.tracker.Members("")
	g.machine.Registrar.SetPeerCount(len(members))
	g.updateOwners()
}

func (g *Gateway) updateShare(now time.Time) {
	before := g.share.MaxConnections(now, sampleConnectionLimit)
	if g.share.Update(now, g.tracker.Self(), g.tracker.Members(""), g.tracker.WasKnown()) {
		g.tracker.RenewEpoch()
		g.log.Info("fenced: no contact with a majority of the entry instances")
	}
	after := g.share.MaxConnections(now, sampleConnectionLimit)
	g.mayOpenConnections.Store(after > 0)
	if after != before {
		g.log.Info("connection share changed", "of", sampleConnectionLimit, "before", before, "after", after)
	}
}

// sampleConnectionLimit is an example connection limit, used to detect and log changes of the share.
const sampleConnectionLimit = 100

// isWithinShare reports whether the open connections to every upstream are within this instance's share.
func (g *Gateway) isWithinShare(now time.Time) bool {
	for address, count := range g.sender.Connections.CountByAddress() {
		if count > g.share.MaxConnections(now, g.machine.Registrar.ConnectionLimit(address)) {
			return false
		}
	}
	return true
}

// maxOpenConnections returns how many connections to the address this instance may have open now, or 0 if ctx ends or
// the event loop stops first.
func (g *Gateway) maxOpenConnections(ctx context.Context, address string) int {
	maxConnections := 0
	_ = g.runInLoop(ctx, func(now time.Time) {
		g.updateShare(now)
		maxConnections = g.share.MaxConnections(now, g.machine.Registrar.ConnectionLimit(address))
	})
	return maxConnections
}

// handleExchangeResponse applies a peer's response to a call sent at sentAt. The announcements are aged by the whole
// round trip, because the peer may have built the response at any time since then.
func (g *Gateway) handleExchangeResponse(sentAt time.Time, address string, response *wire.ExchangeResponse) {
	instance := response.GetSender().GetInstance()
	_ = g.runInLoop(context.Background(), func(now time.Time) {
		elapsedMs := uint32(now.Sub(sentAt) / time.Millisecond)
		for _, ann := range response.GetAnnouncements() {
			g.machine.Registrar.ApplyRelayed(now, withAddedAge(ann, elapsedMs))
		}
		g.tracker.ResolveEpoch(response.GetRemembered())
		g.mergeMembers(now, response.GetSender(), response.GetMembers())
		g.revisionFloor.Store(g.tracker.RevisionFloor())
		g.tracker.RecordContact(instance, address, sentAt)
	})
	// The revision floor is raised before the configuration is applied, so that this instance never serves an older
	// configuration than an earlier incarnation did.
	g.applyConfig(response.GetConfig())
}

// mergeMembers merges the sender and the members that it reports into the membership.
func (g *Gateway) mergeMembers(now time.Time, sender *wire.Member, members []*wire.Member) {
	version := g.tracker.Version()
	if sender != nil {
		g.tracker.Merge(now, sender)
	}
	for _, m := range members {
		g.tracker.Merge(now, m)
	}
	if g.tracker.Version() != version {
		g.updateShare(now)
		g.logMembers()
	}
}

func (g *Gateway) logMembers() {
	for _, m := range g.tracker.Members("") {
		g.log.V(1).Info("member", "peer", m.Instance, "peer-zone", m.Zone, "state", m.State, "address", m.Address)
	}
}

func withAddedAge(ann *wire.Announcement, addedMs uint32) *wire.Announcement {
	aged := proto.CloneOf(ann)
	aged.AgeMs += addedMs
	return aged
}
