package subscriber

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/advertiser"
)

const (
	// watchPeriod is the least time between two looks at a control instance that brings no news: with the limit of a call it bounds how late a cut is noticed.
	watchPeriod = 700 * time.Millisecond
	// watchEach is added for each entry instance, so that looks at one control instance stay below 100 a second however many there are.
	watchEach = 10 * time.Millisecond
	// retryPeriod is the pause after a call that failed.
	retryPeriod = 200 * time.Millisecond
)

// Source is one control instance.
type Source struct {
	Address string
	// Zone is its availability zone, empty until a roster has told it.
	Zone string
}

// source is a control instance and how its last call went.
type source struct {
	Source

	// asked says that a call has ended, so that reached and confirmed mean something.
	asked     bool
	reached   bool
	confirmed bool
}

// Call is what to do next about one control instance.
type Call struct {
	// Pause comes before the call.
	Pause time.Duration
	// Hold says that the call is to be held until there is news.
	Hold bool
}

// Subscriber keeps the control instances of one entry instance; it is not safe for concurrent use.
type Subscriber struct {
	self    string
	zone    string
	sharers int
	sources map[string]*source
	primary *source
	// index is the place in the journal of the roster in use.
	index uint64
}

// New returns a subscriber of the entry instance, which knows no control instance.
func New(self, zone string) *Subscriber {
	return &Subscriber{
		self:    self,
		zone:    zone,
		sources: map[string]*source{},
	}
}

// Add takes control instances in, and returns those that were not known.
func (s *Subscriber) Add(list []Source) []Source {
	var added []Source
	for _, heard := range list {
		known := s.sources[heard.Address]
		if known == nil {
			known = &source{
				Source: heard,
			}
			s.sources[heard.Address] = known
			added = append(added, heard)
		}
		if heard.Zone != "" {
			known.Zone = heard.Zone
		}
	}
	s.choose()
	return added
}

// Change is how a roster differs from what was known.
type Change struct {
	Added []Source
	Gone  []Source
}

// Replace takes the whole roster as of a place in the journal, and returns who is new and who was replaced; an older roster changes nothing.
func (s *Subscriber) Replace(index uint64, roster []Source) Change {
	var c Change
	if index < s.index || len(roster) == 0 {
		return c
	}
	s.index = index
	listed := map[string]bool{}
	for _, member := range roster {
		listed[member.Address] = true
	}
	for address, known := range s.sources {
		if !listed[address] {
			c.Gone = append(c.Gone, known.Source)
			s.drop(known)
		}
	}
	c.Added = s.Add(roster)
	return c
}

func (s *Subscriber) drop(known *source) {
	delete(s.sources, known.Address)
	if s.primary == known {
		s.primary = nil
	}
}

// Share takes how many entry instances there are.
func (s *Subscriber) Share(count int) { s.sharers = count }

// Answered notes that a control instance has answered, and whether it was in contact with a quorum.
func (s *Subscriber) Answered(address string, confirmed bool) {
	s.note(address, true, confirmed)
}

// Failed notes that a call has failed, and reports whether the control instance was the one that brought the news, so that the others are to be asked at once.
func (s *Subscriber) Failed(address string) bool {
	was := s.primary != nil && s.primary.Address == address
	s.note(address, false, false)
	return was
}

func (s *Subscriber) note(address string, reached, confirmed bool) {
	known := s.sources[address]
	if known == nil {
		return
	}
	known.asked = true
	known.reached = reached
	known.confirmed = confirmed
	s.choose()
}

// choose takes the best control instance that has a quorum; the one in use stays while it is as good.
func (s *Subscriber) choose() {
	if s.primary != nil && !s.primary.brings() {
		s.primary = nil
	}
	for _, known := range s.sources {
		if known.brings() && (s.primary == nil || s.prefers(known, s.primary)) {
			s.primary = known
		}
	}
}

func (k *source) brings() bool { return k.reached && k.confirmed }

// prefers puts the own availability zone first, and spreads entry instances over those of others.
func (s *Subscriber) prefers(a, b *source) bool {
	if near := a.Zone == s.zone; near != (b.Zone == s.zone) {
		return near
	}
	return s.rank(a) < s.rank(b)
}

func (s *Subscriber) rank(k *source) uint64 { return xxhash.Sum64String(s.self + " " + k.Address) }

// Next returns what to do about a control instance; while none brings news every one is asked at once.
func (s *Subscriber) Next(address string) Call {
	known := s.sources[address]
	switch {
	case known == nil || !known.asked:
		return Call{}
	case known == s.primary:
		return Call{
			Hold: true,
		}
	case !known.reached, s.primary == nil:
		return Call{
			Pause: retryPeriod,
		}
	default:
		return Call{
			Pause: watchPeriod + time.Duration(s.sharers)*watchEach,
		}
	}
}

// Primary returns the address of the one that brings the news, or nothing.
func (s *Subscriber) Primary() string {
	if s.primary == nil {
		return ""
	}
	return s.primary.Address
}

// Contact returns how many control instances answer.
func (s *Subscriber) Contact() advertiser.Contact {
	c := advertiser.Contact{
		Known: len(s.sources),
	}
	for _, known := range s.sources {
		if known.reached {
			c.Reached++
		}
	}
	return c
}
