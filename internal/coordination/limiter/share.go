package limiter

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/tracker"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// fenceTimeout is how long an instance uses its share without contact with a majority of the entry instances.
	// It is well below tracker.DefaultTimeouts.DeadAfter, after which the others count it as dead.
	fenceTimeout = 15 * time.Second
	// isolationTimeout is how long an instance without any known member waits for others before it uses its reserve.
	isolationTimeout = 5 * time.Second
	// reservedConnections is the number of connections kept for each absent instance.
	reservedConnections = 1
)

// Share is this entry instance's part of every upstream's connection limit. It is not safe for concurrent
// use.
type Share struct {
	startedAt time.Time
	// configuredPeers is the number of peers in the settings.
	configuredPeers int
	// divisor is the number of instances that share the limits, or 0 while no share is agreed for this instance.
	divisor int
	// absentInstances is the number of instances for which a reserve is kept.
	absentInstances int
	view            uint64
	// hasReserve is set if the other instances keep a reserve for this instance.
	hasReserve bool
	// quorumContactAt is when a majority of all instances was last in contact.
	quorumContactAt time.Time
}

// NewShare returns a share without any connections. configuredPeers is the number of peers in the settings.
func NewShare(now time.Time, configuredPeers int) *Share {
	return &Share{
		startedAt:       now,
		configuredPeers: configuredPeers,
		quorumContactAt: now,
	}
}

// Update recomputes the share from the membership and reports whether this instance was fenced and needs a
// new epoch. A share shrinks at once. It grows or starts only when a majority is in contact and every other
// present member reports the same membership view. wasKnown is set if a peer knew an earlier incarnation of this
// instance, for which the others keep a reserve.
func (s *Share) Update(now time.Time, self *wire.Member, members []tracker.Member, wasKnown bool) bool {
	s.updateQuorumContact(now, members)
	if wasKnown || now.Sub(s.startedAt) >= isolationTimeout && len(members) == 0 {
		s.hasReserve = true
	}
	if s.divisor > 0 && now.Sub(s.quorumContactAt) >= fenceTimeout {
		s.divisor = 0
		s.hasReserve = true
		return true
	}
	present, deadCount := countMembers(members)
	absentCount := max(deadCount, 1+s.configuredPeers-present)
	s.view = membershipDigest(self, members)
	if s.divisor > 0 && present >= s.divisor {
		s.divisor = present
		s.absentInstances = absentCount
		return false
	}
	if now.Sub(s.quorumContactAt) < fenceTimeout && s.viewsAgree(members) {
		s.divisor = present
		s.absentInstances = absentCount
	}
	return false
}

// View returns the digest of the membership as of the last update, which the peers compare with their own.
func (s *Share) View() uint64 { return s.view }

// MaxConnections returns how many connections this instance may have open to an upstream with the given
// connection limit.
func (s *Share) MaxConnections(now time.Time, limit uint32) int {
	if s.divisor > 0 && now.Sub(s.quorumContactAt) < fenceTimeout {
		return max(0, int(limit)-s.absentInstances*reservedConnections) / s.divisor
	}
	if s.hasReserve || s.divisor > 0 {
		return min(reservedConnections, int(limit))
	}
	return 0
}

// updateQuorumContact computes when a majority of all instances, including this one, was last in contact.
func (s *Share) updateQuorumContact(now time.Time, members []tracker.Member) {
	contacts := []time.Time{now}
	for _, m := range members {
		if m.State != tracker.StateLeft {
			contacts = append(contacts, m.LastContactAt)
		}
	}
	for len(contacts) < 1+s.configuredPeers {
		contacts = append(contacts, time.Time{})
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	s.quorumContactAt = contacts[len(contacts)/2]
}

func (s *Share) viewsAgree(members []tracker.Member) bool {
	for _, m := range members {
		if isPresent(m) && m.View != s.view {
			return false
		}
	}
	return true
}

// countMembers returns the number of instances that share the limits, including this one, and the number of
// dead instances.
func countMembers(members []tracker.Member) (int, int) {
	present, dead := 1, 0
	for _, m := range members {
		if isPresent(m) {
			present++
		}
		if m.State == tracker.StateDead {
			dead++
		}
	}
	return present, dead
}

func isPresent(m tracker.Member) bool {
	return m.State == tracker.StateAlive || m.State == tracker.StateSuspect
}

// membershipDigest hashes the set of members that have not left, which of them are dead, and the epoch of each.
func membershipDigest(self *wire.Member, members []tracker.Member) uint64 {
	sum := memberDigest(self.GetInstance(), self.GetEpoch(), false)
	for _, m := range members {
		if m.State != tracker.StateLeft {
			sum ^= memberDigest(m.Instance, m.Epoch, m.State == tracker.StateDead)
		}
	}
	return sum
}

func memberDigest(instance string, epoch uint64, isDead bool) uint64 {
	encoded := binary.LittleEndian.AppendUint64([]byte(instance), epoch)
	if isDead {
		encoded = append(encoded, 1)
	}
	return xxhash.Sum64(encoded)
}
