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

func newTracker(settings *checker.Entry, peersAddress string) *tracker.Tracker {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := &wire.Member{
		Instance:    settings.Instance,
		Address:     peersAddress,
		Zone:        settings.Zone,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	return tracker.New(self, tracker.DefaultTimeouts, random, !settings.ListedPeersOnly)
}

// beat moves the membership and this instance's share on; it runs inside the loop.
func (g *Gateway) beat(now time.Time) {
	g.tracker.Tick(now)
	g.floor.Store(g.tracker.RevisionFloor())
	g.updateShare(now)
	view := g.share.View()
	if !g.isWithinShare(now) {
		// The others may grow only when this instance has closed what it holds beyond its share.
		view = 0
	}
	g.tracker.AdvanceHeartbeat(g.machine.Config().GetRevision(), view)
	members := g.tracker.Members("")
	g.machine.Registrar.SetPeerCount(len(members))
	g.updateOwners()
}

func (g *Gateway) updateShare(now time.Time) {
	before := g.share.MaxConnections(now, shareSample)
	if g.share.Update(now, g.tracker.Self(), g.tracker.Members(""), g.tracker.WasKnown()) {
		g.tracker.RenewEpoch()
		g.log.Info("fenced: no contact with a majority of the entry instances")
	}
	after := g.share.MaxConnections(now, shareSample)
	g.sharing.Store(after > 0)
	if after != before {
		g.log.Info("connection share", "of", shareSample, "before", before, "after", after)
	}
}

// shareSample is the connection limit by which changes of the share are logged.
const shareSample = 100

// isWithinShare reports whether no upstream has more connections than this instance's share.
func (g *Gateway) isWithinShare(now time.Time) bool {
	for address, open := range g.sender.Connections.CountByAddress() {
		if open > g.share.MaxConnections(now, g.machine.Registrar.ConnectionLimit(address)) {
			return false
		}
	}
	return true
}

// mayOpen returns how many connections may be open to the address now.
func (g *Gateway) mayOpen(ctx context.Context, address string) int {
	allowed := 0
	_ = g.ask(ctx, func(now time.Time) {
		g.updateShare(now)
		allowed = g.share.MaxConnections(now, g.machine.Registrar.ConnectionLimit(address))
	})
	return allowed
}

// takeAnswer takes a peer's answer, which was made after sentAt and may have taken all the time since.
func (g *Gateway) takeAnswer(sentAt time.Time, address string, response *wire.ExchangeResponse) {
	instance := response.GetSender().GetInstance()
	_ = g.ask(context.Background(), func(now time.Time) {
		waited := uint32(now.Sub(sentAt) / time.Millisecond)
		for _, ann := range response.GetAnnouncements() {
			g.machine.Registrar.ApplyRelayed(now, older(ann, waited))
		}
		g.tracker.ResolveEpoch(response.GetRemembered())
		g.hear(now, response.GetSender(), response.GetMembers())
		g.floor.Store(g.tracker.RevisionFloor())
		g.tracker.RecordContact(instance, address, sentAt)
	})
	// What peers remember of this instance comes before the configuration, so that it never goes back.
	g.configure(response.GetConfig())
}

// hear takes what a peer says of members.
func (g *Gateway) hear(now time.Time, sender *wire.Member, members []*wire.Member) {
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

func older(ann *wire.Announcement, waitedMs uint32) *wire.Announcement {
	copied := proto.CloneOf(ann)
	copied.AgeMs += waitedMs
	return copied
}
