package subscriber

import (
	"math"
	"time"
)

const (
	// minStartDelay and maxStartDelay bound the delay between the calls of an instance without a state. It
	// doubles with each call, so that 300 instances that start at once make some 1,500 calls in the first two
	// seconds, whatever the answers.
	minStartDelay = 50 * time.Millisecond
	maxStartDelay = time.Second
	// answeredStartCalls bounds the number of calls by which the delay is chosen after an answer that doesn't
	// suffice, such as an unconfirmed one, so that the next call follows within 400 ms.
	answeredStartCalls = 4
	// unreachableStartCalls is how many further calls a control instance that has not answered its last call counts
	// as having received.
	unreachableStartCalls = 2
)

// StartCall says which control instance an instance without a state asks for it next, and when.
type StartCall struct {
	Address string
	Delay   time.Duration
}

// NextStartCall returns the next call of an instance without a state. It calls one control instance at a time:
// one that was called least often, chosen at random, so that the calls of many instances spread over all that
// are known. One that has not answered its last call counts as called more often. An instance that has refused a call is not called before the time that it has given, but another
// one may be. It returns false if no control instance is known.
func (s *Subscriber) NextStartCall(now time.Time) (StartCall, bool) {
	delay := s.startDelay()
	chosen := s.chooseForStart(now.Add(delay))
	if chosen == nil {
		return StartCall{}, false
	}
	s.startCalls++
	chosen.startCalls++
	return StartCall{
		Address: chosen.Address,
		Delay:   max(delay, chosen.refusedUntil.Sub(now)),
	}, true
}

// RecordRefusal records that a control instance has refused a call because of load, and when to call it again.
// It counts as reachable.
func (s *Subscriber) RecordRefusal(now time.Time, address string, retryAfter time.Duration) {
	source := s.sources[address]
	if source == nil {
		return
	}
	source.refusedUntil = now.Add(retryAfter)
	source.isReachable = true
	source.hasQuorum = false
	s.selectPrimary()
}

// startDelay returns the delay before the next call, at random between half of its value and the whole. The
// first call is made at once.
func (s *Subscriber) startDelay() time.Duration {
	if s.startCalls == 0 {
		return 0
	}
	return s.jitter(backoff(minStartDelay, s.startCalls-1, maxStartDelay))
}

// chooseForStart returns a control instance that may be called at the time, or the one that may be called first.
func (s *Subscriber) chooseForStart(at time.Time) *sourceState {
	var chosen *sourceState
	ties := 0
	for _, address := range s.order {
		candidate := s.sources[address]
		switch comparison := compareForStart(candidate, chosen, at); {
		case comparison < 0:
			chosen, ties = candidate, 1
		case comparison == 0:
			// Each of n equal candidates is chosen with a probability of 1/n.
			ties++
			if s.random.IntN(ties) == 0 {
				chosen = candidate
			}
		}
	}
	return chosen
}

// compareForStart returns a negative number if a is to be called before b at the time, which may be nil.
func compareForStart(a, b *sourceState, at time.Time) int {
	if b == nil {
		return -1
	}
	aRefuses, bRefuses := a.refusedUntil.After(at), b.refusedUntil.After(at)
	switch {
	case aRefuses && bRefuses:
		return a.refusedUntil.Compare(b.refusedUntil)
	case aRefuses:
		return 1
	case bRefuses:
		return -1
	default:
		return a.startRank() - b.startRank()
	}
}

func (s *sourceState) startRank() int {
	if s.called && !s.isReachable {
		return s.startCalls + unreachableStartCalls
	}
	return s.startCalls
}

// jitter returns a random duration between half of the given one and the whole.
func (s *Subscriber) jitter(duration time.Duration) time.Duration {
	return duration - time.Duration(s.random.Int64N(int64(duration)/2+1))
}

// backoff returns the first delay, doubled for each repeat, up to the limit.
func backoff(first time.Duration, repeats int, limit time.Duration) time.Duration {
	return time.Duration(min(float64(first)*math.Pow(2, float64(repeats)), float64(limit)))
}
