package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// State is the liveness of a member.
type State int

// States of a member.
const (
	// StateAlive is a member whose heartbeats arrive.
	StateAlive State = iota
	// StateSuspect is a member that has been silent for a short time.
	StateSuspect
	// StateDead is a member that has been silent so long that it holds no more connections than its reserve.
	StateDead
	// StateLeft is a member that has announced that it leaves.
	StateLeft
)

// Timeouts are the durations of silence after which the state of a member changes.
type Timeouts struct {
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// RemoveAfter is the silence after which a member is removed, whatever its state.
	RemoveAfter time.Duration
}

// DefaultTimeouts are the timeouts of entry instances.
var DefaultTimeouts = Timeouts{
	SuspectAfter: 1500 * time.Millisecond,
	DeadAfter:    30 * time.Second,
	RemoveAfter:  time.Hour,
}

// Member is another entry instance.
type Member struct {
	Instance string
	// Address is where this instance reaches the member, or empty if it can't.
	Address     string
	Zone        string
	Incarnation uint64
	Revision    uint64
	Epoch       uint64
	View        uint64
	State       State
	// LastContactAt is when the last call that the member answered was sent.
	LastContactAt time.Time
}

type peer struct {
	latest *wire.Member
	// previous is the latest earlier incarnation that had an epoch, or the first one if none had. Its revision is
	// the newest of all earlier incarnations.
	previous      *wire.Member
	address       string
	lastUpdatedAt time.Time
	lastContactAt time.Time
	state         State
}

// Tracker is the membership as seen by one entry instance. It is not safe for concurrent use.
type Tracker struct {
	timeouts      Timeouts
	random        *rand.Rand
	self          *wire.Member
	peers         map[string]*peer
	version       uint64
	revisionFloor uint64
	wasKnown      bool
	// useAnnouncedAddresses reports whether members may be called at the addresses they announce.
	useAnnouncedAddresses bool
	// targetOrder and gossipOrder are the names left in the current rotations of Targets and Gossip.
	targetOrder []string
	gossipOrder []string
}

// New returns a membership that consists of this instance alone. With useAnnouncedAddresses, members may be
// called at the addresses they announce.
func New(self *wire.Member, timeouts Timeouts, random *rand.Rand, useAnnouncedAddresses bool) *Tracker {
	return &Tracker{
		timeouts:              timeouts,
		random:                random,
		self:                  self,
		peers:                 map[string]*peer{},
		useAnnouncedAddresses: useAnnouncedAddresses,
	}
}

// AdvanceHeartbeat increments this instance's heartbeat sequence and sets the revision and view it announces.
func (t *Tracker) AdvanceHeartbeat(revision, view uint64) {
	t.self.Sequence++
	t.self.Revision = revision
	t.self.View = view
}

// Leave marks this instance as leaving.
func (t *Tracker) Leave() {
	t.self.Leaving = true
	t.self.Sequence++
}

// RenewEpoch starts a new incarnation and epoch of this instance, as after a long partition.
func (t *Tracker) RenewEpoch() {
	t.self.Incarnation++
	t.self.Epoch = t.self.GetIncarnation()
	t.version++
}

// Self returns what this instance announces about itself.
func (t *Tracker) Self() *wire.Member { return proto.CloneOf(t.self) }

// RevisionFloor returns the newest configuration revision that an earlier incarnation of this instance is
// known to have used.
func (t *Tracker) RevisionFloor() uint64 { return t.revisionFloor }

// WasKnown reports whether a peer knew an earlier incarnation of this instance that had not left.
func (t *Tracker) WasKnown() bool { return t.wasKnown }

// Merge applies what a peer reports about a member, and returns whether it was new.
func (t *Tracker) Merge(now time.Time, update *wire.Member) bool {
	if update.GetInstance() == "" {
		return false
	}
	if update.GetInstance() == t.self.GetInstance() {
		t.mergeSelf(update)
		return false
	}
	p, ok := t.peers[update.GetInstance()]
	if ok && !supersedes(update, p.latest) {
		return false
	}
	if !ok {
		p = &peer{}
		t.peers[update.GetInstance()] = p
	}
	p.keepPrevious(update)
	p.latest = proto.CloneOf(update)
	p.lastUpdatedAt = now
	state := StateAlive
	if update.GetLeaving() {
		state = StateLeft
	}
	if !ok || state != p.state {
		p.state = state
		t.version++
	}
	return true
}

// keepPrevious keeps the incarnation that next replaces. An incarnation without an epoch does not replace a
// known previous one.
func (p *peer) keepPrevious(next *wire.Member) {
	if p.latest == nil || p.latest.GetIncarnation() == next.GetIncarnation() {
		return
	}
	revision := max(p.latest.GetRevision(), p.previous.GetRevision())
	if p.previous == nil || p.latest.GetEpoch() != 0 {
		p.previous = p.latest
	}
	p.previous.Revision = revision
}

// PreviousIncarnation returns the latest known incarnation of the instance or, if that is the given one, the
// previous one. It returns nil if there is none.
func (t *Tracker) PreviousIncarnation(instance string, incarnation uint64) *wire.Member {
	p, ok := t.peers[instance]
	switch {
	case !ok:
		return nil
	case p.latest.GetIncarnation() != incarnation:
		return proto.CloneOf(p.latest)
	case p.previous != nil:
		return proto.CloneOf(p.previous)
	default:
		return nil
	}
}

// ResolveEpoch applies what a peer remembers of this instance's previous incarnation, or nil if it knows
// none, and sets the epoch.
func (t *Tracker) ResolveEpoch(remembered *wire.Member) {
	if remembered != nil {
		t.mergeSelf(remembered)
	}
	if t.self.GetEpoch() == 0 {
		t.self.Epoch = t.self.GetIncarnation()
		t.version++
	}
}

// RecordContact records that the instance has answered, at this address, a call sent at sentAt.
func (t *Tracker) RecordContact(instance, address string, sentAt time.Time) {
	p, ok := t.peers[instance]
	if !ok {
		return
	}
	if p.address != address {
		p.address = address
		t.version++
	}
	if sentAt.After(p.lastContactAt) {
		p.lastContactAt = sentAt
	}
}

// Tick updates the states of silent members and removes those that have been silent for too long.
func (t *Tracker) Tick(now time.Time) {
	for name, p := range t.peers {
		silence := now.Sub(p.lastUpdatedAt)
		state := p.state
		switch {
		case silence >= t.timeouts.RemoveAfter:
			delete(t.peers, name)
			t.version++
			continue
		case p.state == StateLeft:
		case silence >= t.timeouts.DeadAfter:
			state = StateDead
		case silence >= t.timeouts.SuspectAfter:
			state = StateSuspect
		}
		if state != p.state {
			p.state = state
			t.version++
		}
	}
}

// Version increases when a member is added, is removed, changes its state or answers at another address, and
// when the incarnation or epoch of this instance changes.
func (t *Tracker) Version() uint64 { return t.version }

// Members returns the other members in the zone, or in all zones if it is empty, ordered by instance.
func (t *Tracker) Members(zone string) []Member {
	list := make([]Member, 0, len(t.peers))
	for _, p := range t.peers {
		if zone == "" || p.latest.GetZone() == zone {
			list = append(list, t.newMember(p))
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Gossip returns at most limit members to send to a peer, in rotation.
func (t *Tracker) Gossip(limit int) []*wire.Member {
	list := make([]*wire.Member, 0, min(limit, len(t.peers)))
	for range min(limit, len(t.peers)) {
		list = append(list, proto.CloneOf(t.peers[t.nextName(&t.gossipOrder, matchAny)].latest))
	}
	return list
}

// Targets returns at most limit members to send gossip to, in rotation. It skips members that are dead, have
// left or have no known address.
func (t *Tracker) Targets(limit int) []Member {
	var list []Member
	mayAnswer := func(p *peer) bool {
		return (p.state == StateAlive || p.state == StateSuspect) && t.addressOf(p) != ""
	}
	count := 0
	for _, p := range t.peers {
		if mayAnswer(p) {
			count++
		}
	}
	for range min(limit, count) {
		list = append(list, t.newMember(t.peers[t.nextName(&t.targetOrder, mayAnswer)]))
	}
	return list
}

// nextName returns the next matching name of a shuffled order, which is reshuffled when it is exhausted. At
// least one peer must match.
func (t *Tracker) nextName(order *[]string, matches func(*peer) bool) string {
	for {
		if len(*order) == 0 {
			*order = t.shuffledNames()
		}
		name := (*order)[0]
		*order = (*order)[1:]
		if p, ok := t.peers[name]; ok && matches(p) {
			return name
		}
	}
}

func (t *Tracker) shuffledNames() []string {
	names := make([]string, 0, len(t.peers))
	for name := range t.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// mergeSelf applies what peers remember of an earlier incarnation of this instance, and moves its own
// incarnation past it.
func (t *Tracker) mergeSelf(update *wire.Member) {
	if update.GetIncarnation() == t.self.GetIncarnation() && update.GetSequence() <= t.self.GetSequence() {
		return
	}
	t.revisionFloor = max(t.revisionFloor, update.GetRevision())
	if !update.GetLeaving() && update.GetEpoch() != 0 && t.self.GetEpoch() == 0 {
		t.wasKnown = true
		t.self.Epoch = update.GetEpoch()
		t.version++
	}
	if update.GetIncarnation() >= t.self.GetIncarnation() {
		t.self.Incarnation = update.GetIncarnation() + 1
		t.version++
	}
}

func (t *Tracker) newMember(p *peer) Member {
	return Member{
		Instance:      p.latest.GetInstance(),
		Address:       t.addressOf(p),
		Zone:          p.latest.GetZone(),
		Incarnation:   p.latest.GetIncarnation(),
		Revision:      p.latest.GetRevision(),
		Epoch:         p.latest.GetEpoch(),
		View:          p.latest.GetView(),
		State:         p.state,
		LastContactAt: p.lastContactAt,
	}
}

func (t *Tracker) addressOf(p *peer) string {
	if p.address != "" || !t.useAnnouncedAddresses {
		return p.address
	}
	return p.latest.GetAddress()
}

func matchAny(*peer) bool { return true }

// supersedes reports whether next is newer than current. Within an incarnation, the report that the member
// leaves supersedes all others.
func supersedes(next, current *wire.Member) bool {
	if next.GetIncarnation() != current.GetIncarnation() {
		return next.GetIncarnation() > current.GetIncarnation()
	}
	if next.GetLeaving() != current.GetLeaving() {
		return next.GetLeaving()
	}
	return next.GetSequence() > current.GetSequence()
}
