package scatterer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/apportioner"
	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	ID string
	// Fingerprint is the same for all repeats of a request.
	Fingerprint uint64
	Route       *matcher.Route
	ArrivedAt   time.Time
	// Deadline is when the caller gives up; zero if the caller sent none.
	Deadline time.Time
	// Runs is how many replicas of a service may have run the request already, sent by another instance.
	Runs map[string]int
	// Organisation is the organisation that sent the request, or nil.
	Organisation *matcher.Organisation
}

// Priority ranks the request; 0 is the most urgent. The organisation's rank takes the place of the route's.
func (r *Request) Priority() int {
	if r.Organisation != nil && r.Organisation.Priority != nil {
		return *r.Organisation.Priority
	}
	return r.Route.Priority
}

// Statuses of HTTP.
const (
	minFinalStatus           = 200
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	maxStatus                = 599
)

// HeaderField is one header field of a reply.
type HeaderField struct {
	Name  string
	Value string
}

// Reply is a replica's complete response to one attempt.
type Reply struct {
	Status int
	// Stamp is the replica's signature of the response.
	Stamp  string
	Fields []HeaderField
	Body   []byte
	// Lease holds the memory of a large body; nil if none is counted. It is released with the reply at the latest.
	Lease *limiter.ByteLease
}

// Release ends the use of the reply, which may be nil. The body is dropped, since what refers to the reply may do so for longer, such as the timer of its request.
func (r *Reply) Release() {
	if r != nil {
		r.Body = nil
		r.Lease.Release()
	}
}

// IsSuccess reports whether the reply has a success status and a signature, as required of an answer.
func (r *Reply) IsSuccess() bool { return r.Status >= 200 && r.Status < 300 && r.Stamp != "" }

// IsFinalStatus reports whether the number is the status of a response, other than an interim one.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// PromisesNoRun reports whether callers take the reply's status as a promise that the request has not run and never will.
func (r *Reply) PromisesNoRun() bool {
	switch r.Status {
	case statusRequestTimeout, statusMisdirectedRequest, statusTooManyRequests, statusServiceUnavailable:
		return true
	default:
		return false
	}
}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The outcomes of an attempt.
const (
	// OutcomeBroken means that it is unknown whether the attempt ran.
	OutcomeBroken OutcomeKind = iota
	// OutcomeReplied means that a complete reply arrived, possibly one that reports a failure.
	OutcomeReplied
	// OutcomeUnsent means that no byte of the request was sent.
	OutcomeUnsent
	// OutcomeRejected means that the replica rejected the request and did not run it.
	OutcomeRejected
	// OutcomeMisdirected means that another replica uses the address; it did not run the request.
	OutcomeMisdirected
)

// String returns the name used in logs and metrics.
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

// Outcome is the result of an attempt; Reply is set only for OutcomeReplied.
type Outcome struct {
	Kind  OutcomeKind
	Reply *Reply
	// Notice is what the replica says of itself, or nil if it has not responded.
	Notice *balancer.Notice
	// ConnectionLost is set if the replica's side ended the connection before the response was complete, as when the replica crashes.
	ConnectionLost bool
	// ConnectedAt is when the connection of a response was opened; zero if a peer has relayed the attempt.
	ConnectedAt time.Time
	// NoConnection is set if the replica took no connection from this instance.
	NoConnection bool
	// IsMerged is set if the reply's records were merged with those of the other replies that arrived with it, so that all of them are used or none.
	IsMerged bool
	// Cause describes the failure in a few words for the log.
	Cause string
}

// IsResponse reports whether the replica, or another one at its address, has responded.
func (o *Outcome) IsResponse() bool {
	return o.Kind == OutcomeReplied || o.Kind == OutcomeRejected || o.Kind == OutcomeMisdirected
}

// Result is an attempt that has ended.
type Result struct {
	Attempt *Attempt
	Outcome Outcome
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
	Shard     int
	Service   string
	Replica   *balancer.ReplicaState
	Kind      AttemptKind
	StartedAt time.Time
	// Deadline is when the replica must stop working on the attempt.
	Deadline time.Time

	hedgeAt time.Time
	// round counts the crashes of which this instance knew when it sent the attempt.
	round uint32
}

// Reason says why a request got no complete answer.
type Reason string

// The reasons of decisions.
const (
	ReasonNone          Reason = ""
	ReasonNoReplica     Reason = "no-replica"
	ReasonCongested     Reason = "shards-congested"
	ReasonOverShare     Reason = "over-fair-share"
	ReasonQuarantined   Reason = "quarantined"
	ReasonLimited       Reason = "replicas-limited"
	ReasonRejected      Reason = "rejected-by-replicas"
	ReasonRejecting     Reason = "replicas-rejecting"
	ReasonReplicaFailed Reason = "replica-broke-off"
	ReasonDeadline      Reason = "deadline"
	ReasonCutAtTarget   Reason = "cut-at-target"
	ReasonShardsLost    Reason = "shards-lost"
	ReasonCallerGone    Reason = "caller-gone"
	ReasonIsolated      Reason = "instance-isolated"
	ReasonPeerFailed    Reason = "peer-failed"
	// ReasonOverAllotment and ReasonAllotmentUnknown refuse a request before it is sent, because its organisation has used its allotment or because that is not known.
	ReasonOverAllotment    Reason = "over-allotment"
	ReasonAllotmentUnknown Reason = "allotment-unknown"
	ReasonZoneDrained      Reason = "zone-drained"
	ReasonHomeRegions      Reason = "outside-home-regions"
	ReasonStopping         Reason = "instance-stopping"
	// ReasonMemory refuses a request before it is sent, because the requests in progress take all memory that they may.
	ReasonMemory Reason = "memory-in-use"
)

// DecisionKind says what kind of answer the caller gets.
type DecisionKind int

// The kinds of decisions.
const (
	// Relayed passes on the reply of one replica.
	Relayed DecisionKind = iota
	// Gathered answers with the shards' replies that have arrived.
	Gathered
	// Refused states that the request has not run and will not run.
	Refused
	// Failed leaves open whether the request has run.
	Failed
	// Expired is like Failed, and states that a deadline has passed.
	Expired
)

// String returns the name used in logs and metrics.
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

// Decision is the final answer to a request.
type Decision struct {
	Kind   DecisionKind
	Reason Reason
	// Replies holds the relayed reply, or the shards' replies.
	Replies []*Reply
	// MissingShards is the number of shards without a reply.
	MissingShards int
	RetryAfter    time.Duration
}

// Policies holds the components that all requests of an instance share.
type Policies struct {
	Balancer *balancer.Balancer
	Shedder  *shedder.Shedder
	Screener *screener.Screener
	// Apportioner refuses queries of organisations while replicas are congested; nil if it is not used.
	Apportioner *apportioner.Apportioner
	// RetryBudget returns the budget for the retries and hedges of a service.
	RetryBudget func(service string) *limiter.Window
	// CallerAllowance is the time reserved for the network between the caller and this instance, in both directions.
	CallerAllowance time.Duration
	// Overrun estimates the time that this instance itself needs beyond that.
	Overrun *Overrun
	// ZoneRegions holds the region of each availability zone.
	ZoneRegions map[string]string
}
