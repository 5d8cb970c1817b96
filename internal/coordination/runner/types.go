package runner

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// retryAfter is when a caller whose request was not run may come back.
	retryAfter = time.Second
	// MaxTargets is the number of upstreams that one request may be tried on, of which one at most is written to.
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
	// Call counts the caller's sends of the key from 0.
	Call uint32
}

// Target is an upstream that may be sent the request.
type Target struct {
	Upstream    string
	Incarnation uint64
	Address     string
}

// Reason says why a request has no result.
type Reason string

// The reasons of answers to non-idempotent requests.
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

// EarlierCalls says what a not-run answer knows of earlier calls with the same key.
type EarlierCalls string

// What a not-run answer can know of earlier calls.
const (
	// EarlierNotSaid goes with every answer but a not-run one.
	EarlierNotSaid EarlierCalls = ""
	// EarlierNone says that no earlier call has run, or can still run.
	EarlierNone EarlierCalls = "none"
	// EarlierUnknown says that an earlier call may have run.
	EarlierUnknown EarlierCalls = "unknown"
)

// Answer is the one thing a caller is told about its request.
type Answer struct {
	Outcome    wire.Outcome
	Reason     Reason
	Result     string
	RetryAfter time.Duration
	// Repeated says that the outcome was recorded for an earlier call of the same key.
	Repeated bool
	// Earlier goes with a not-run answer.
	Earlier EarlierCalls
}

// DispatchEnd is how a dispatch ended.
type DispatchEnd struct {
	// Response is the upstream's reply, or nil.
	Response *wire.RunResponse
	// NotWritten says that not one byte was handed to a connection.
	NotWritten bool
	// NotStarted says that the upstream refused before it started.
	NotStarted bool
	// Leaving says that the upstream takes no new work.
	Leaving bool
}

// Dispatch is one request to one upstream.
type Dispatch struct {
	Target  Target
	Request *wire.RunRequest
}

// Step is what the driver must do next: a claim, a dispatch, or the answer.
type Step struct {
	Claim    *wire.ClaimRequest
	Dispatch *Dispatch
	Answer   *Answer
	// Record goes with an answer: the outcome to be recorded in the journal.
	Record *wire.RecordRequest
	// RecordLater says that the journal is out of reach, so the answer waits for no record.
	RecordLater bool
}
