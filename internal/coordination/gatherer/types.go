package gatherer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

// Query is a caller's search.
type Query struct {
	ID        uint64
	RequestID string
	Tenant    string
	Service   string
	Text      string
	Limit     int
	// Required is the coverage the answer must meet, in millionths.
	Required uint32
	Arrived  time.Time
	Deadline time.Time
}

// Reason says why an answer is not a whole one.
type Reason string

// The reasons of answers.
const (
	ReasonNone           Reason = ""
	ReasonUnknownService Reason = "unknown-service"
	ReasonTenantLimit    Reason = "tenant-limit"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonOverload       Reason = "overload"
	ReasonShuttingDown   Reason = "shutting-down"
	ReasonDeadline       Reason = "deadline"
	ReasonUpstreams      Reason = "upstreams-failed"
)

// Answer is the one thing a caller is told about its query.
type Answer struct {
	Query    Query
	Outcome  wire.Outcome
	Reason   Reason
	Version  uint64
	Coverage uint32
	// Missing are the shards of the version that are not in the answer, in the manifest's order.
	Missing    []string
	Rows       []*wire.Row
	Revision   uint64
	RetryAfter time.Duration
	Finished   time.Time
}

// Send asks the driver to send one attempt of a sub-request.
type Send struct {
	Query     uint64
	RequestID string
	Upstream  string
	Address   string
	// Via is the owner that the sub-request is handed to with the upstreams it may choose from, or nil.
	Via       *router.Instance
	Upstreams []string
	Request   *wire.SearchRequest
	Deadline  time.Time
	// Kind is first, retry or hedge.
	Kind AttemptKind
	// Waited is how long the sub-request was queued.
	Waited time.Duration
}

// AttemptKind says why an attempt was made.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = "first"
	AttemptRetry AttemptKind = "retry"
	AttemptHedge AttemptKind = "hedge"
)

// Actions is what the driver must do, cancels before sends.
type Actions struct {
	// Cancels are attempts whose reply is no longer wanted.
	Cancels  []uint64
	Sends    []Send
	Answers  []Answer
	Restarts []Restart
	Returns  []Return
}

// Restart says that a query was begun anew on a newer version.
type Restart struct {
	Query     uint64
	RequestID string
	From      uint64
	To        uint64
}

// Failure is how an attempt ended without a reply.
type Failure struct {
	// Shed says that the upstream refused it for load.
	Shed bool
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// NotHeld says that the upstream no longer holds the version.
	NotHeld bool
	// Overload says that the owner did not queue it, for want of time.
	Overload bool
	// OwnerLost says that the owner gave no word at all, or does not own the replicas.
	OwnerLost bool
	// Tried are the upstreams that the owner has asked in vain.
	Tried []string
	// Wait is how long the owner expects the next sub-request to be queued.
	Wait time.Duration
}
