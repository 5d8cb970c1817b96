package tracker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// State is what is known of a member's life.
type State int

// The states of a member.
const (
	// StateAlive is a member whose heartbeats arrive.
	StateAlive State = iota
	// StateSuspect is a member that has been silent for a short time.
	StateSuspect
	// StateGone is a member that has been silent so long that it holds no more than its reserve.
	StateGone
	// StateLeft is a member that has said that it leaves.
	StateLeft
)

// Timing is how long a member may be silent.
type Timing struct {
	Suspect time.Duration
	Gone    time.Duration
	// Forget is when a member that has left or is gone is dropped.
	Forget time.Duration
}

// DefaultTiming is the timing of entry instances.
var DefaultTiming = Timing{
	Suspect: 1500 * time.Millisecond,
	Gone:    30 * time.Second,
	Forget:  time.Hour,
}

// Member is one other entry instance.
type Member struct {
	Instance string
	// Address is where it is reached from here; empty where it is not.
	Address     string
	Zone        string
	Incarnation uint64
	Revision    uint64
	Epoch       uint64
	View        uint64
	State       State
	// ContactAt is when a call that it has answered was begun.
	ContactAt time.Time
}

type peer struct {
	wire *wire.Member
	// before is its life before, with the newest revision of all its lives.
	before    *wire.Member
	address   string
	heardAt   time.Time
	contactAt time.Time
	state     State
}

// Tracker is the membership as one entry instance sees it; it is not safe for concurrent use.
type Tracker struct {
	timing  Timing
	random  *rand.Rand
	self    *wire.Member
	peers   map[string]*peer
	version uint64
	floor   uint64
	known   bool
	// learned says that members may be reached at the address they name.
	learned bool
	order   []string
	gossip  []string
}

// New returns a membership of this instance alone; learned lets it reach members at the addresses they name.
func New(self *wire.Member, timing Timing, random *rand.Rand, learned bool) *Tracker {
	return &Tracker{
		timing:  timing,
		random:  random,
		self:    self,
		peers:   map[string]*peer{},
		learned: learned,
	}
}

// Beat counts this instance's heartbeat on, with what it says of itself.
func (t *Tracker) Beat(revision, view uint64) {
	t.self.Sequence++
	t.self.Revision = revision
	t.self.View = view
}

// Leave marks this instance as leaving.
func (t *Tracker) Leave() {
	t.self.Leaving = true
	t.self.Sequence++
}

// Renew gives this instance a new epoch, as after it was cut off for long.
func (t *Tracker) Renew() {
	t.self.Incarnation++
	t.self.Epoch = t.self.GetIncarnation()
	t.version++
}

// Self returns what this instance says of itself.
func (t *Tracker) Self() *wire.Member { return proto.CloneOf(t.self) }

// Floor returns the newest revision that this instance was known to have in force in an earlier life.
func (t *Tracker) Floor() uint64 { return t.floor }

// WasKnown reports whether a peer knew this instance from an earlier life in which it did not leave.
func (t *Tracker) WasKnown() bool { return t.known }

// Hear takes what a peer says of a member, and reports whether it was news.
func (t *Tracker) Hear(now time.Time, heard *wire.Member) bool {
	if heard.GetInstance() == "" {
		return false
	}
	if heard.GetInstance() == t.self.GetInstance() {
		t.hearSelf(heard)
		return false
	}
	known, ok := t.peers[heard.GetInstance()]
	if ok && !supersedes(heard, known.wire) {
		return false
	}
	if !ok {
		known = &peer{}
		t.peers[heard.GetInstance()] = known
	}
	known.remember(heard)
	known.wire = proto.CloneOf(heard)
	known.heardAt = now
	state := StateAlive
	if heard.GetLeaving() {
		state = StateLeft
	}
	if !ok || state != known.state {
		known.state = state
		t.version++
	}
	return true
}

// remember keeps the life that a new one follows; one that had not settled takes its place nowhere.
func (p *peer) remember(next *wire.Member) {
	if p.wire == nil || p.wire.GetIncarnation() == next.GetIncarnation() {
		return
	}
	revision := max(p.wire.GetRevision(), p.before.GetRevision())
	if p.before == nil || p.wire.GetEpoch() != 0 {
		p.before = p.wire
	}
	p.before.Revision = revision
}

// Remembered returns what is known of the member's life before this incarnation, or nil.
func (t *Tracker) Remembered(instance string, incarnation uint64) *wire.Member {
	known, ok := t.peers[instance]
	switch {
	case !ok:
		return nil
	case known.wire.GetIncarnation() != incarnation:
		return proto.CloneOf(known.wire)
	case known.before != nil:
		return proto.CloneOf(known.before)
	default:
		return nil
	}
}

// Settle takes what a peer remembers of this instance's life before; nil says that it knew none.
func (t *Tracker) Settle(remembered *wire.Member) {
	if remembered != nil {
		t.hearSelf(remembered)
	}
	if t.self.GetEpoch() == 0 {
		t.self.Epoch = t.self.GetIncarnation()
		t.version++
	}
}

// Reach notes that the instance has answered at the address a call that began at sentAt.
func (t *Tracker) Reach(instance, address string, sentAt time.Time) {
	known, ok := t.peers[instance]
	if !ok {
		return
	}
	if known.address != address {
		known.address = address
		t.version++
	}
	if sentAt.After(known.contactAt) {
		known.contactAt = sentAt
	}
}

// Tick moves silent members on, and drops those that are long gone.
func (t *Tracker) Tick(now time.Time) {
	for name, known := range t.peers {
		silent := now.Sub(known.heardAt)
		next := known.state
		switch {
		case silent >= t.timing.Forget:
			delete(t.peers, name)
			t.version++
			continue
		case known.state == StateLeft:
		case silent >= t.timing.Gone:
			next = StateGone
		case silent >= t.timing.Suspect:
			next = StateSuspect
		}
		if next != known.state {
			known.state = next
			t.version++
		}
	}
}

// Version moves with each change of who is a member, where, and in which state.
func (t *Tracker) Version() uint64 { return t.version }

// Members returns the other members of the zone, of all zones where it is empty, by name.
func (t *Tracker) Members(zone string) []Member {
	list := make([]Member, 0, len(t.peers))
	for _, known := range t.peers {
		if zone == "" || known.wire.GetZone() == zone {
			list = append(list, t.member(known))
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// Gossip returns at most limit members to tell a peer of, in turns.
func (t *Tracker) Gossip(limit int) []*wire.Member {
	list := make([]*wire.Member, 0, min(limit, len(t.peers)))
	for range min(limit, len(t.peers)) {
		list = append(list, proto.CloneOf(t.peers[t.next(&t.gossip, always)].wire))
	}
	return list
}

// Targets returns at most limit members to tell news, in turns: those that may answer.
func (t *Tracker) Targets(limit int) []Member {
	var list []Member
	mayAnswer := func(known *peer) bool {
		return (known.state == StateAlive || known.state == StateSuspect) && t.addressOf(known) != ""
	}
	count := 0
	for _, known := range t.peers {
		if mayAnswer(known) {
			count++
		}
	}
	for range min(limit, count) {
		list = append(list, t.member(t.peers[t.next(&t.order, mayAnswer)]))
	}
	return list
}

// next returns the next name of a shuffled order that is drawn anew when it has been gone through; some peer must fit.
func (t *Tracker) next(order *[]string, fits func(*peer) bool) string {
	for {
		if len(*order) == 0 {
			*order = t.shuffled()
		}
		name := (*order)[0]
		*order = (*order)[1:]
		if known, ok := t.peers[name]; ok && fits(known) {
			return name
		}
	}
}

func (t *Tracker) shuffled() []string {
	names := make([]string, 0, len(t.peers))
	for name := range t.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// hearSelf learns what peers remember of an earlier life, and goes past it.
func (t *Tracker) hearSelf(heard *wire.Member) {
	if heard.GetIncarnation() == t.self.GetIncarnation() && heard.GetSequence() <= t.self.GetSequence() {
		return
	}
	t.floor = max(t.floor, heard.GetRevision())
	if !heard.GetLeaving() && heard.GetEpoch() != 0 && t.self.GetEpoch() == 0 {
		t.known = true
		t.self.Epoch = heard.GetEpoch()
		t.version++
	}
	if heard.GetIncarnation() >= t.self.GetIncarnation() {
		t.self.Incarnation = heard.GetIncarnation() + 1
		t.version++
	}
}

func (t *Tracker) member(known *peer) Member {
	return Member{
		Instance:    known.wire.GetInstance(),
		Address:     t.addressOf(known),
		Zone:        known.wire.GetZone(),
		Incarnation: known.wire.GetIncarnation(),
		Revision:    known.wire.GetRevision(),
		Epoch:       known.wire.GetEpoch(),
		View:        known.wire.GetView(),
		State:       known.state,
		ContactAt:   known.contactAt,
	}
}

func (t *Tracker) addressOf(known *peer) string {
	if known.address != "" || !t.learned {
		return known.address
	}
	return known.wire.GetAddress()
}

func always(*peer) bool { return true }

// supersedes orders what is said of one member; what it says last goes before all.
func supersedes(next, known *wire.Member) bool {
	if next.GetIncarnation() != known.GetIncarnation() {
		return next.GetIncarnation() > known.GetIncarnation()
	}
	if next.GetLeaving() != known.GetLeaving() {
		return next.GetLeaving()
	}
	return next.GetSequence() > known.GetSequence()
}
