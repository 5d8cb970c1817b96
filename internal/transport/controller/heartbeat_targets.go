package controller

import (
	"net"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// HeartbeatAddress returns the address at which a replica of the availability zone is to send its further heartbeats, so that they don't cross zones, or "" if it may go on as it is.
func (c *Controller) HeartbeatAddress(zone, replica string) string {
	if c.settings.Platform == nil || zone == c.settings.Zone {
		return ""
	}
	member := chooseInZone(c.addresses.currentMembers(), zone, replica)
	if member == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(member.GetAddress())
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(c.settings.Platform.Listen)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// chooseInZone returns a voter in the availability zone, or nil if there is none. A hash spreads the replicas over the voters.
func chooseInZone(members journaler.Members, zone, replica string) *wire.ControlMember {
	var chosen *wire.ControlMember
	var chosenRank uint64
	for _, member := range members {
		if member.GetLearner() || member.GetZone() != zone {
			continue
		}
		if rank := xxhash.Sum64String(replica + " " + member.GetId()); chosen == nil || rank > chosenRank {
			chosen, chosenRank = member, rank
		}
	}
	return chosen
}
