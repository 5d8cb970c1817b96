package scatterer

import (
	"slices"
	"time"
)

// shard is the state of the request at one service.
type shard struct {
	service string
	// pending holds the attempts in flight.
	pending       []*Attempt
	triedReplicas []string
	// pendingSpace and triedSpace hold them while there are few.
	pendingSpace [2]*Attempt
	triedSpace   [2]string
	// unsentCount counts the attempts at them of which nothing was sent.
	unsentCount int
	// wasPlaced is set once there has been an attempt, even one that was not sent.
	wasPlaced bool
	// possibleRuns counts the attempts that have run or may have run, including those in flight.
	possibleRuns int
	// reachedReplica is set once a replica may have received the request; each further attempt is then a repeat.
	reachedReplica bool
	reply          *Reply
	// failureReply is the last reply without success.
	failureReply *Reply
	// sawRejection and sawBroken record how earlier attempts ended.
	sawRejection bool
	sawBroken    bool
	// skipped is set if the service is too congested to answer in time.
	skipped bool
	// retryAt is when a retry that the budget denied is reconsidered; zero if there is none.
	retryAt time.Time
}

// applyOutcome updates the shard with the outcome of one of its attempts.
func (s *shard) applyOutcome(a *Attempt, outcome Outcome) {
	if outcome.Kind == OutcomeUnsent && outcome.Cause == CausePeerFailed {
		// The peer did not relay the attempt; another peer or a direct connection may reach the replica.
		s.triedReplicas = slices.DeleteFunc(s.triedReplicas, func(id string) bool { return id == a.Replica.ID })
	}
	switch outcome.Kind {
	case OutcomeReplied:
		if outcome.Reply.IsSuccess() {
			s.reply = outcome.Reply
		} else {
			s.failureReply = outcome.Reply
		}
	case OutcomeRejected:
		s.possibleRuns--
		s.sawRejection = true
	case OutcomeMisdirected:
		s.possibleRuns--
	case OutcomeUnsent:
		s.possibleRuns--
		if outcome.Cause != CausePeerFailed {
			s.unsentCount++
		}
	default:
		s.sawBroken = true
	}
	if outcome.Kind != OutcomeUnsent {
		s.reachedReplica = true
	}
}
