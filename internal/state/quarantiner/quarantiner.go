package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// minCrashes is how many replicas must have crashed under a request, and minRounds in how many successive rounds of attempts, for its quarantine.
	minCrashes = 3
	minRounds  = 3
	// settleTime is how long after a crash the replica's next heartbeats may show that it has not crashed.
	settleTime = 5 * time.Second
	// Duration is how long a quarantine lasts after the last crash. One more crash after it renews the quarantine.
	Duration = 10 * time.Minute
	// maxPartialServices is in how many services replicas may crash for a request over shards to be kept from these services alone.
	maxPartialServices = 2
	// maxSuspects bounds the records; those with the oldest crash are dropped first.
	maxSuspects = 512
	// maxCrashes bounds the crashes in a record. It covers two replicas of each of a hundred shards.
	maxCrashes = 200
	// recordTTL is how long after the last crash a record is kept.
	recordTTL = 2 * Duration
)

// Quarantiner is the table of suspect requests, built by applying reports in order. Times are Unix milliseconds of one clock.
type Quarantiner struct {
	suspects map[uint64]*wire.SuspectRequest
	// crashed counts the crashes of each incarnation in the records.
	crashed map[incarnation]int
}

// incarnation is one process of a replica.
type incarnation struct {
	replica string
	bornMs  int64
}

// New returns a table with the given records, such as those of a snapshot.
func New(saved []*wire.SuspectRequest) *Quarantiner {
	q := &Quarantiner{
		suspects: map[uint64]*wire.SuspectRequest{},
		crashed:  map[incarnation]int{},
	}
	for _, suspect := range saved {
		q.store(suspect)
	}
	return q
}

// store adds a record or replaces the one with the same fingerprint.
func (q *Quarantiner) store(suspect *wire.SuspectRequest) {
	q.remove(suspect.GetFingerprint())
	q.suspects[suspect.GetFingerprint()] = suspect
	for _, crash := range suspect.GetCrashes() {
		q.crashed[incarnationOf(crash)]++
	}
}

func (q *Quarantiner) remove(fingerprint uint64) {
	for _, crash := range q.suspects[fingerprint].GetCrashes() {
		key := incarnationOf(crash)
		if q.crashed[key]--; q.crashed[key] <= 0 {
			delete(q.crashed, key)
		}
	}
	delete(q.suspects, fingerprint)
}

func incarnationOf(crash *wire.ReplicaCrash) incarnation {
	return incarnation{
		replica: crash.GetReplica(),
		bornMs:  crash.GetBornMs(),
	}
}

// Find returns the record of the request with the fingerprint, or nil.
func (q *Quarantiner) Find(fingerprint uint64) *wire.SuspectRequest { return q.suspects[fingerprint] }

// Put adds a record or replaces the one with the same fingerprint.
func (q *Quarantiner) Put(suspect *wire.SuspectRequest) {
	q.store(suspect)
	q.evict(suspect.GetLastCrashMs())
}

// Suspects returns the records last changed at fromIndex or later, in the order of the journal.
func (q *Quarantiner) Suspects(fromIndex uint64) []*wire.SuspectRequest {
	var suspects []*wire.SuspectRequest
	for _, suspect := range q.suspects {
		if suspect.GetIndex() >= fromIndex {
			suspects = append(suspects, suspect)
		}
	}
	slices.SortFunc(suspects, func(a, b *wire.SuspectRequest) int {
		return cmp.Or(cmp.Compare(a.GetIndex(), b.GetIndex()), cmp.Compare(a.GetFingerprint(), b.GetFingerprint()))
	})
	return suspects
}

// IsUpdate reports whether the end of an attempt would change the table.
func (q *Quarantiner) IsUpdate(attempt *wire.AttemptEnd) bool {
	if isLifeSign(attempt) {
		return q.crashed[signOf(attempt)] > 0
	}
	crashes := q.suspects[attempt.GetFingerprint()].GetCrashes()
	if attempt.GetCrashed() {
		return !slices.ContainsFunc(crashes, func(c *wire.ReplicaCrash) bool { return isSameReplica(c, attempt) })
	}
	return slices.ContainsFunc(crashes, func(c *wire.ReplicaCrash) bool { return isRefuted(c, attempt) })
}

// Report applies the end of an attempt that is committed at a journal index and reports whether it changed the table.
func (q *Quarantiner) Report(nowMs int64, attempt *wire.AttemptEnd, index uint64) bool {
	if !q.IsUpdate(attempt) {
		return false
	}
	if isLifeSign(attempt) {
		q.refute(signOf(attempt), index)
		return true
	}
	suspect := &wire.SuspectRequest{
		Fingerprint: attempt.GetFingerprint(),
	}
	if existing := q.suspects[attempt.GetFingerprint()]; existing != nil {
		suspect = proto.CloneOf(existing)
	}
	if attempt.GetCrashed() {
		addCrash(suspect, attempt)
		suspect.LastCrashMs = max(suspect.GetLastCrashMs(), nowMs-int64(attempt.GetEndedMsAgo()))
	} else {
		suspect.Crashes = slices.DeleteFunc(suspect.GetCrashes(), func(c *wire.ReplicaCrash) bool { return isRefuted(c, attempt) })
	}
	suspect.Index = index
	q.store(suspect)
	q.evict(nowMs)
	return true
}

func addCrash(suspect *wire.SuspectRequest, attempt *wire.AttemptEnd) {
	suspect.Crashes = append(suspect.Crashes, &wire.ReplicaCrash{
		Service: attempt.GetService(),
		Replica: attempt.GetReplica(),
		BornMs:  attempt.GetBornMs(),
		Round:   min(attempt.GetRound(), NextRound(suspect)),
	})
	if excess := len(suspect.GetCrashes()) - maxCrashes; excess > 0 {
		suspect.Crashes = suspect.GetCrashes()[excess:]
	}
}

// isRefuted reports whether the service of the crash has answered an attempt that was sent after it.
func isRefuted(crash *wire.ReplicaCrash, answer *wire.AttemptEnd) bool {
	return crash.GetService() == answer.GetService() && crash.GetRound() < answer.GetRound()
}

// NextRound returns the round of an attempt that is sent now: the one after the last in which a replica crashed. Rounds need no clock that the instances share.
func NextRound(suspect *wire.SuspectRequest) uint32 {
	last := uint32(0)
	for _, crash := range suspect.GetCrashes() {
		last = max(last, crash.GetRound())
	}
	return last + 1
}

// evict deletes the records whose last crash is long ago, and the oldest ones beyond maxSuspects.
func (q *Quarantiner) evict(nowMs int64) {
	for fingerprint, suspect := range q.suspects {
		if nowMs-suspect.GetLastCrashMs() > recordTTL.Milliseconds() {
			q.remove(fingerprint)
		}
	}
	for len(q.suspects) > maxSuspects {
		q.remove(q.oldest())
	}
}

// oldest returns the fingerprint of the record with the oldest crash; ties are broken in the same way on all instances.
func (q *Quarantiner) oldest() uint64 {
	oldest, oldestMs := uint64(math.MaxUint64), int64(math.MaxInt64)
	for fingerprint, suspect := range q.suspects {
		if last := suspect.GetLastCrashMs(); last < oldestMs || last == oldestMs && fingerprint < oldest {
			oldest, oldestMs = fingerprint, last
		}
	}
	return oldest
}

// IsSuspect reports whether the request may be the cause of the crashes, so that it must not be sent to many replicas at once. A single crash does not suffice.
func IsSuspect(suspect *wire.SuspectRequest) bool {
	return len(suspect.GetCrashes()) >= minCrashes || countRounds(suspect) > 1
}

// Remaining returns how much longer the request is quarantined, 0 if it is not.
func Remaining(suspect *wire.SuspectRequest, nowMs int64) time.Duration {
	if len(suspect.GetCrashes()) < minCrashes || countRounds(suspect) < minRounds {
		return 0
	}
	return min(Duration, max(0, Duration-time.Duration(nowMs-suspect.GetLastCrashMs())*time.Millisecond))
}

// RetryAfter returns when the caller of a quarantined request may come again: once the last crash is known to be none, or at the end of the quarantine.
func RetryAfter(suspect *wire.SuspectRequest, nowMs int64) time.Duration {
	remaining := Remaining(suspect, nowMs)
	if settled := remaining - (Duration - settleTime); settled > 0 {
		return settled
	}
	return remaining
}

// AffectsShard reports whether the quarantine of a request over shards covers the shard. If replicas of only a few shards have crashed, it covers these alone.
func AffectsShard(suspect *wire.SuspectRequest, service string) bool {
	services := map[string]bool{}
	for _, crash := range suspect.GetCrashes() {
		services[crash.GetService()] = true
	}
	return services[service] || len(services) > maxPartialServices
}

// HasCrashed reports whether replicas of the service have crashed under the request and not answered it since.
func HasCrashed(suspect *wire.SuspectRequest, service string) bool {
	return slices.ContainsFunc(suspect.GetCrashes(), func(c *wire.ReplicaCrash) bool { return c.GetService() == service })
}

func isSameReplica(crash *wire.ReplicaCrash, attempt *wire.AttemptEnd) bool {
	return crash.GetReplica() == attempt.GetReplica() && crash.GetBornMs() == attempt.GetBornMs()
}

func countRounds(suspect *wire.SuspectRequest) int {
	rounds := map[uint32]bool{}
	for _, crash := range suspect.GetCrashes() {
		rounds[crash.GetRound()] = true
	}
	return len(rounds)
}
