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
	// fenceAfter is how long an instance uses its share without a majority of the others; it is well below the time after which they count it as gone.
	fenceAfter = 15 * time.Second
	// aloneAfter is how long an instance that nobody answers waits for others before it takes its reserve.
	aloneAfter = 5 * time.Second
	// reserve is the connections that stay kept for each instance that is not there.
	reserve = 1
)

// Share is this entry instance's part of every upstream's connection limit; it is not safe for concurrent use.
type Share struct {
	startedAt time.Time
	// listed is how many peers the settings name.
	listed int
	// divisor is the number of instances that share the limits, 0 while this one has no share agreed.
	divisor int
	absent  int
	view    uint64
	// standing says that the others keep a reserve for this instance.
	standing bool
	// agreedAt is when a majority of the others was last heard to answer.
	agreedAt time.Time
}

// NewShare returns no share at all; listed is how many peers the settings name.
func NewShare(now time.Time, listed int) *Share {
	return &Share{
		startedAt: now,
		listed:    listed,
		agreedAt:  now,
	}
}

// Update follows the membership: a share shrinks at once, and grows or begins only when every other member says that it divides by the same members. It reports true where the instance was fenced and needs a new epoch.
func (s *Share) Update(now time.Time, self *wire.Member, members []tracker.Member, wasKnown bool) bool {
	s.noteContact(now, members)
	if wasKnown || now.Sub(s.startedAt) >= aloneAfter && len(members) == 0 {
		s.standing = true
	}
	if s.divisor > 0 && now.Sub(s.agreedAt) >= fenceAfter {
		s.divisor = 0
		s.standing = true
		return true
	}
	here, gone := count(members)
	absent := max(gone, 1+s.listed-here)
	s.view = digest(self, members)
	if s.divisor > 0 && here >= s.divisor {
		s.divisor = here
		s.absent = absent
		return false
	}
	if now.Sub(s.agreedAt) < fenceAfter && s.isAgreed(members) {
		s.divisor = here
		s.absent = absent
	}
	return false
}

// View returns the digest of the members that the share is divided by.
func (s *Share) View() uint64 { return s.view }

// Of returns how many connections this instance may have open to an upstream with the limit.
func (s *Share) Of(now time.Time, limit uint32) int {
	if s.divisor > 0 && now.Sub(s.agreedAt) < fenceAfter {
		return max(0, int(limit)-s.absent*reserve) / s.divisor
	}
	if s.standing || s.divisor > 0 {
		return min(reserve, int(limit))
	}
	return 0
}

// noteContact finds when a majority of all instances, this one among them, was last in contact.
func (s *Share) noteContact(now time.Time, members []tracker.Member) {
	contacts := []time.Time{now}
	for _, m := range members {
		if m.State != tracker.StateLeft {
			contacts = append(contacts, m.ContactAt)
		}
	}
	for len(contacts) < 1+s.listed {
		contacts = append(contacts, time.Time{})
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	s.agreedAt = contacts[len(contacts)/2]
}

func (s *Share) isAgreed(members []tracker.Member) bool {
	for _, m := range members {
		if isHere(m) && m.View != s.view {
			return false
		}
	}
	return true
}

// count returns how many instances share the limits, this one among them, and how many are gone.
func count(members []tracker.Member) (int, int) {
	here, gone := 1, 0
	for _, m := range members {
		if isHere(m) {
			here++
		}
		if m.State == tracker.StateGone {
			gone++
		}
	}
	return here, gone
}

func isHere(m tracker.Member) bool {
	return m.State == tracker.StateAlive || m.State == tracker.StateSuspect
}

// digest stands for the set of members, which of them are gone, and the epoch each is in.
func digest(self *wire.Member, members []tracker.Member) uint64 {
	sum := digestOf(self.GetInstance(), self.GetEpoch(), false)
	for _, m := range members {
		if m.State != tracker.StateLeft {
			sum ^= digestOf(m.Instance, m.Epoch, m.State == tracker.StateGone)
		}
	}
	return sum
}

func digestOf(instance string, epoch uint64, isGone bool) uint64 {
	encoded := binary.LittleEndian.AppendUint64([]byte(instance), epoch)
	if isGone {
		encoded = append(encoded, 1)
	}
	return xxhash.Sum64(encoded)
}
