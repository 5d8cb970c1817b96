package subscriber

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentogate.example/pimentogate/internal/coordination/advertiser"
)

const (
	// basePollDelay is the minimum delay before a poll of a reachable control instance that is not the primary.
	// Together with the timeout of a call it bounds how late a network partition is noticed.
	basePollDelay = 700 * time.Millisecond
	// pollDelayPerInstance is added to the delay for each entry instance. It keeps the polls of one control
	// instance below 100 a second for any number of entry instances.
	pollDelayPerInstance = 10 * time.Millisecond
	// minRetryDelay is the delay after a failed call, and between polls while there is no primary. It doubles up to
	// maxRetryDelay: without a leader, 300 instances that poll each control instance every 200 ms take half of the
	// processor time that the election needs.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Source is a control instance to receive updates from.
type Source struct {
	Address string
	// Zone is its availability zone, empty until a roster names it.
	Zone string
}

// sourceState is a control instance and the result of its last call.
type sourceState struct {
	Source

	// called reports whether a call has ended. Until then isReachable and hasQuorum are unknown.
	called      bool
	isReachable bool
	hasQuorum   bool
	// retries is the number of successive calls without an answer that was confirmed by a quorum.
	retries int
	// startCalls is how often it was called for the first state, and refusedUntil until when it refuses such calls.
	startCalls   int
	refusedUntil time.Time
}

// Call says when and how to call a control instance next.
type Call struct {
	// Delay is the time to wait before the call.
	Delay time.Duration
	// LongPoll asks for a long poll: the control instance holds the call until there is an update.
	LongPoll bool
}

// Subscriber tracks the control instances known to one entry instance. It is not safe for concurrent use.
type Subscriber struct {
	instance       string
	zone           string
	entryInstances int
	sources        map[string]*sourceState
	// order holds the addresses of the sources in the order in which they were added.
	order  []string
	random *rand.Rand
	// startCalls is the number of calls for the first state by which the next delay is chosen.
	startCalls int
	primary    *sourceState
	// rosterIndex is the journal index of the current roster.
	rosterIndex uint64
}

// New returns a subscriber for the entry instance, without control instances.
func New(instance, zone string, random *rand.Rand) *Subscriber {
	return &Subscriber{
		random:   random,
		instance: instance,
		zone:     zone,
		sources:  map[string]*sourceState{},
	}
}

// Add adds control instances and returns those that were not known.
func (s *Subscriber) Add(sources []Source) []Source {
	var added []Source
	for _, source := range sources {
		existing := s.sources[source.Address]
		if existing == nil {
			existing = &sourceState{
				Source: source,
			}
			s.sources[source.Address] = existing
			s.order = append(s.order, source.Address)
			added = append(added, source)
		}
		if source.Zone != "" {
			existing.Zone = source.Zone
		}
	}
	s.selectPrimary()
	return added
}

// RosterChange is the difference between a roster and the known control instances.
type RosterChange struct {
	Added   []Source
	Removed []Source
}

// ReplaceRoster replaces the known control instances with the roster as of a journal index and returns the
// difference. A roster that is empty or older than the current one is ignored.
func (s *Subscriber) ReplaceRoster(index uint64, roster []Source) RosterChange {
	var change RosterChange
	if index < s.rosterIndex || len(roster) == 0 {
		return change
	}
	s.rosterIndex = index
	listed := map[string]bool{}
	for _, member := range roster {
		listed[member.Address] = true
	}
	for address, source := range s.sources {
		if !listed[address] {
			change.Removed = append(change.Removed, source.Source)
			s.remove(source)
		}
	}
	change.Added = s.Add(roster)
	return change
}

func (s *Subscriber) remove(source *sourceState) {
	delete(s.sources, source.Address)
	s.order = slices.DeleteFunc(s.order, func(address string) bool { return address == source.Address })
	if s.primary == source {
		s.primary = nil
	}
}

// SetEntryInstances sets the number of entry instances.
func (s *Subscriber) SetEntryInstances(count int) { s.entryInstances = count }

// RecordAnswer records that a control instance has answered a call and whether a quorum confirms the answer. If the
// primary is lost by that, it returns the one that replaces it, which the caller polls at once, or "" if there is none.
func (s *Subscriber) RecordAnswer(address string, hasQuorum bool) string {
	s.startCalls = min(s.startCalls, answeredStartCalls)
	isLost := s.Primary() == address && !hasQuorum
	s.recordCall(address, true, hasQuorum)
	if !isLost {
		return ""
	}
	return s.Primary()
}

// RecordFailure records a failed call and reports whether the control instance was the primary. In that case
// the caller polls the others at once.
func (s *Subscriber) RecordFailure(address string) bool {
	wasPrimary := s.primary != nil && s.primary.Address == address
	s.recordCall(address, false, false)
	return wasPrimary
}

func (s *Subscriber) recordCall(address string, isReachable, hasQuorum bool) {
	source := s.sources[address]
	if source == nil {
		return
	}
	source.called = true
	source.retries++
	if hasQuorum {
		source.retries = 0
	}
	source.isReachable = isReachable
	source.hasQuorum = hasQuorum
	s.selectPrimary()
}

// selectPrimary selects the preferred control instance among those that are reachable and have a quorum. The
// primary stays the same unless it fails or another instance is preferred.
func (s *Subscriber) selectPrimary() {
	if s.primary != nil && !s.primary.isEligible() {
		s.primary = nil
	}
	for _, candidate := range s.sources {
		if candidate.isEligible() && (s.primary == nil || s.prefers(candidate, s.primary)) {
			s.primary = candidate
		}
	}
}

func (s *sourceState) isEligible() bool { return s.isReachable && s.hasQuorum }

// prefers reports whether a is preferred to b. It prefers the own availability zone; otherwise a hash spreads
// the entry instances over the control instances.
func (s *Subscriber) prefers(a, b *sourceState) bool {
	if inOwnZone := a.Zone == s.zone; inOwnZone != (b.Zone == s.zone) {
		return inOwnZone
	}
	return s.rank(a) < s.rank(b)
}

func (s *Subscriber) rank(source *sourceState) uint64 {
	return xxhash.Sum64String(s.instance + " " + source.Address)
}

// NextCall returns the next call of a control instance: at once if it has not been called yet, a long poll if
// it is the primary, after the retry delay if it is unreachable or there is no primary, and otherwise after the
// poll delay.
func (s *Subscriber) NextCall(address string) Call {
	source := s.sources[address]
	switch {
	case source == nil || !source.called:
		return Call{}
	case source == s.primary:
		return Call{
			LongPoll: true,
		}
	case !source.isReachable, s.primary == nil:
		return Call{
			Delay: s.retryDelay(source),
		}
	default:
		return Call{
			Delay: basePollDelay + time.Duration(s.entryInstances)*pollDelayPerInstance,
		}
	}
}

// retryDelay returns the delay before the next call of a control instance that is unreachable or has no quorum.
// Repeats are spread, since an outage begins for all entry instances at once.
func (s *Subscriber) retryDelay(source *sourceState) time.Duration {
	if source.retries <= 1 {
		return minRetryDelay
	}
	return max(minRetryDelay, s.jitter(backoff(minRetryDelay, source.retries-1, maxRetryDelay)))
}

// Primary returns the address of the primary, or "" if there is none.
func (s *Subscriber) Primary() string {
	if s.primary == nil {
		return ""
	}
	return s.primary.Address
}

// Reachability returns how many control instances are known and how many of them answered their last call.
func (s *Subscriber) Reachability() advertiser.Reachability {
	reachability := advertiser.Reachability{
		Known: len(s.sources),
	}
	for _, source := range s.sources {
		if source.isReachable {
			reachability.Reached++
		}
	}
	return reachability
}
