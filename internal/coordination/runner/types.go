package runner

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// retryAfter is the delay that answers ask callers to wait before a retry.
	retryAfter = time.Second
	// MaxTargets is the maximum number of upstreams tried for one request, of which at most one is written to.
	MaxTargets = 3
)

// Request is a caller's non-idempotent request.
type Request struct {
	RequestID  string
	ClaimID    string
	Tenant     string
	Service    string
	Key        string
	KeyTimeMs  int64
	Body       string
	BodyDigest string
	Deadline   time.Time
	// Call is the number of times that the caller has sent the key before.
	Call uint32
}

// Target is an upstream to which the request may be sent.
type Target struct {
	Upstream    string
	Incarnation uint64
	Address     string
}

// Reason is why a request has no result.
type Reason string

// Reasons in the answers to non-idempotent requests.
const (
	ReasonNone           Reason = ""
	ReasonUnknownService Reason = "unknown-service"
	ReasonTenantLimit    Reason = "tenant-limit"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonNoQuorum       Reason = "control-unreachable"
	ReasonDeadline       Reason = "deadline"
	ReasonKeyExpired     Reason = "key-expired"
	ReasonKeyConflict    Reason = "key-conflict"
	ReasonTooManyKeys    Reason = "too-many-keys"
	ReasonSuperseded     Reason = "superseded"
	ReasonInProgress     Reason = "in-progress"
	ReasonRefused        Reason = "upstream-refused"
	ReasonNotSent        Reason = "not-sent"
	ReasonLostReply      Reason = "lost-reply"
	ReasonShuttingDown   Reason = "shutting-down"
)

// EarlierCalls is what a not-run answer states about earlier calls with the same key.
type EarlierCalls string

// Statements of a not-run answer about earlier calls.
const (
	// EarlierUnspecified is set in every answer other than a not-run one.
	EarlierUnspecified EarlierCalls = ""
	// EarlierNone states that no earlier call has run or can still run.
	EarlierNone EarlierCalls = "none"
	// EarlierUnknown states that an earlier call may have run.
	EarlierUnknown EarlierCalls = "unknown"
)

// Answer is the only answer that a caller gets to its request.
type Answer struct {
	Outcome    wire.Outcome
	Reason     Reason
	Result     string
	RetryAfter time.Duration
	// Repeated reports whether the outcome was recorded for an earlier call with the same key.
	Repeated bool
	// EarlierCalls is set in a not-run answer.
	EarlierCalls EarlierCalls
}

// DispatchResult is how a dispatch ended.
type DispatchResult struct {
	// Response is the upstream's reply, or nil.
	Response *wire.RunResponse
	// NotWritten reports whether no byte was written to a connection.
	NotWritten bool
	// NotStarted reports whether the upstream refused the request before starting it.
	NotStarted bool
	// Leaving reports whether the upstream is draining and accepts no new requests.
	Leaving bool
}

// Dispatch is one request to one upstream.
type Dispatch struct {
	Target  Target
	Request *wire.RunRequest
}

// Step is the next action of a run: to send a claim, to dispatch the request or to return the answer.
type Step struct {
	Claim    *wire.ClaimRequest
	Dispatch *Dispatch
	Answer   *Answer
	// Record is the outcome to record in the journal along with an answer, if any.
	Record *wire.RecordRequest
	// RecordAsync reports whether the answer must not wait for the record because the journal is unreachable.
	RecordAsync bool
}
