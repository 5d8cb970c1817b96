package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

// Request is a caller's request as far as decisions go.
type Request struct {
	ID      string
	Route   *matcher.Route
	Arrived time.Time
	// Deadline is when the caller gives up; the zero time where it has named none.
	Deadline time.Time
}

// Field is one header field of a reply.
type Field struct {
	Name  string
	Value string
}

// Reply is a replica's whole answer to one attempt.
type Reply struct {
	Status int
	// Stamp is the replica's signature under the answer.
	Stamp  string
	Fields []Field
	Body   []byte
}

// IsSuccess reports whether the answer may count as the request's.
func (r *Reply) IsSuccess() bool { return r.Status >= 200 && r.Status < 300 && r.Stamp != "" }

// OutcomeKind is how an attempt ended.
type OutcomeKind int

// The ways in which an attempt ends.
const (
	// OutcomeBroken is an attempt of which it is not known whether it ran.
	OutcomeBroken OutcomeKind = iota
	// OutcomeReplied is a whole answer, also one that says that the request failed.
	OutcomeReplied
	// OutcomeUnsent is an attempt of which no byte has left.
	OutcomeUnsent
	// OutcomeRejected is an attempt that the replica says it has not run.
	OutcomeRejected
	// OutcomeMisdirected is an attempt at an address that another replica holds, which has not run it.
	OutcomeMisdirected
)

// String names the way in logs and metrics.
func (k OutcomeKind) String() string {
	switch k {
	case OutcomeReplied:
		return "replied"
	case OutcomeUnsent:
		return "unsent"
	case OutcomeRejected:
		return "rejected"
	case OutcomeMisdirected:
		return "misdirected"
	default:
		return "broken"
	}
}

// Outcome is the end of an attempt; Reply is set for OutcomeReplied only.
type Outcome struct {
	Kind  OutcomeKind
	Reply *Reply
	// Cause says in a few words what broke, for the log.
	Cause string
}

// AttemptKind says why an attempt is made.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = "first"
	AttemptRetry AttemptKind = "retry"
	AttemptHedge AttemptKind = "hedge"
)

// Attempt is one sub-request to one replica.
type Attempt struct {
	Shard   int
	Service string
	Replica *balancer.State
	Kind    AttemptKind
	Began   time.Time
	// Deadline is when the replica is to stop working on it.
	Deadline time.Time

	hedgeAt time.Time
}

// Reason says why a request got no whole answer.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonNoReplica  Reason = "no-replica"
	ReasonCongested  Reason = "shards-congested"
	ReasonRejected   Reason = "rejected-by-replicas"
	ReasonBroken     Reason = "replica-broke-off"
	ReasonDeadline   Reason = "deadline"
	ReasonCut        Reason = "cut-at-target"
	ReasonShardsLost Reason = "shards-lost"
	ReasonAbandoned  Reason = "caller-gone"
)

// DecisionKind is what a caller is told.
type DecisionKind int

// The kinds of decisions.
const (
	// Relayed passes one replica's answer on.
	Relayed DecisionKind = iota
	// Gathered answers with the parts that are in.
	Gathered
	// Refused says that nothing has run nor will.
	Refused
	// Failed promises nothing.
	Failed
	// Expired promises nothing, and says that time ran out.
	Expired
)

// String names the decision in logs and metrics.
func (k DecisionKind) String() string {
	switch k {
	case Relayed:
		return "relayed"
	case Gathered:
		return "gathered"
	case Refused:
		return "refused"
	case Expired:
		return "expired"
	default:
		return "failed"
	}
}

// Decision is the one answer to a request.
type Decision struct {
	Kind   DecisionKind
	Reason Reason
	// Replies are the answer relayed, or the parts gathered.
	Replies []*Reply
	// Missing is how many shards are not in.
	Missing    int
	RetryAfter time.Duration
}

// Policies are what all requests of an instance share.
type Policies struct {
	Balancer *balancer.Balancer
	Shedder  *shedder.Shedder
	// Window returns the budget of repeats of a service.
	Window func(service string) *limiter.Window
	// Allowance is the time that an answer needs to its caller, and the request before it.
	Allowance time.Duration
	// Overrun is what this instance itself takes beyond that.
	Overrun *Overrun
}
