package gatherer

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/pkg/wire"
)

// Query is a caller's search request.
type Query struct {
	ID        uint64
	RequestID string
	Tenant    string
	Service   string
	Text      string
	Limit     int
	// RequiredCoverage is the lowest coverage that the caller accepts, in millionths.
	RequiredCoverage uint32
	ArrivedAt        time.Time
	Deadline         time.Time
}

// Reason says why a query was refused or its answer is incomplete.
type Reason string

// The reasons for refused queries and incomplete answers.
const (
	ReasonNone            Reason = ""
	ReasonUnknownService  Reason = "unknown-service"
	ReasonTenantLimit     Reason = "tenant-limit"
	ReasonNoUpstream      Reason = "no-upstream"
	ReasonOverload        Reason = "overload"
	ReasonShuttingDown    Reason = "shutting-down"
	ReasonDeadline        Reason = "deadline"
	ReasonUpstreamsFailed Reason = "upstreams-failed"
)

// Answer is the final response to a query, which gets at most one.
type Answer struct {
	Query    Query
	Outcome  wire.Outcome
	Reason   Reason
	Version  uint64
	Coverage uint32
	// MissingShards are the shards of the version that the answer lacks, in the order of the manifest.
	MissingShards  []string
	Rows           []*wire.Row
	ConfigRevision uint64
	RetryAfter     time.Duration
	FinishedAt     time.Time
}

// Send tells the driver to send one attempt of a sub-request.
type Send struct {
	QueryID   uint64
	RequestID string
	Upstream  string
	Address   string
	// Owner is the owner that the sub-request is forwarded to, or nil if it is sent to Address.
	Owner *router.Instance
	// Upstreams are the upstreams that the owner may choose from.
	Upstreams []string
	Request   *wire.SearchRequest
	Deadline  time.Time
	Kind      AttemptKind
	// QueueTime is how long the sub-request was queued on this instance.
	QueueTime time.Duration
}

// AttemptKind says why an attempt was made.
type AttemptKind string

// The kinds of attempts.
const (
	AttemptFirst AttemptKind = "first"
	AttemptRetry AttemptKind = "retry"
	AttemptHedge AttemptKind = "hedge"
)

// Actions are the operations that the driver must carry out, cancellations before sends.
type Actions struct {
	// Cancels are attempts whose reply is no longer needed.
	Cancels        []uint64
	Sends          []Send
	Answers        []Answer
	Restarts       []Restart
	ForwardResults []ForwardResult
}

// Restart reports that a query was restarted on a newer version.
type Restart struct {
	QueryID     uint64
	RequestID   string
	FromVersion uint64
	ToVersion   uint64
}

// Failure describes why an attempt ended without a usable reply.
type Failure struct {
	// Shed means that the upstream refused the attempt because of load.
	Shed bool
	// Leaving means that the upstream is draining and takes no new work.
	Leaving bool
	// NotHeld means that the upstream no longer holds the version.
	NotHeld bool
	// OwnerOverloaded means that the owner refused to queue the sub-request because it could not run in time.
	OwnerOverloaded bool
	// OwnerLost means that the owner did not respond, or that it does not own the replicas.
	OwnerLost bool
	// TriedUpstreams are the upstreams that the owner has tried without success.
	TriedUpstreams []string
	// ExpectedWait is how long the owner expects the next sub-request to be queued.
	ExpectedWait time.Duration
}
