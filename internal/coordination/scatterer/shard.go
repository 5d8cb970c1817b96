package scatterer

import (
	"slices"
	"time"
)

// shard is what one service owes to the request.
type shard struct {
	service string
	// pending are the attempts without an end.
	pending []*Attempt
	tried   []string
	// runs is how many attempts may have run, those in flight included.
	runs int
	// arrived says that a replica has seen the request, so that a further attempt is a repeat.
	arrived bool
	reply   *Reply
	// failure is the last answer that is no success.
	failure *Reply
	// rejected and broken say how attempts have ended.
	rejected bool
	broken   bool
	// skipped says that the service is too congested to be asked in time.
	skipped bool
	// retryAt is when a retry that the budget forbade is looked at again; zero while none is wanted.
	retryAt time.Time
}

// take keeps how an attempt of the shard ended.
func (s *shard) take(a *Attempt, outcome Outcome) {
	if outcome.Kind == OutcomeUnsent && outcome.Cause == CausePeer {
		// The replica was not reached by this way, and may be by another.
		s.tried = slices.DeleteFunc(s.tried, func(id string) bool { return id == a.Replica.ID })
	}
	switch outcome.Kind {
	case OutcomeReplied:
		if outcome.Reply.IsSuccess() {
			s.reply = outcome.Reply
		} else {
			s.failure = outcome.Reply
		}
	case OutcomeRejected:
		s.runs--
		s.rejected = true
	case OutcomeMisdirected, OutcomeUnsent:
		s.runs--
	default:
		s.broken = true
	}
	if outcome.Kind != OutcomeUnsent {
		s.arrived = true
	}
}
