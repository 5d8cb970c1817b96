package runner

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// retryAfter is when a caller whose request was not run may come back.
const retryAfter = time.Second

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
	ReasonInProgress     Reason = "in-progress"
	ReasonRefused        Reason = "upstream-refused"
	ReasonNotSent        Reason = "not-sent"
	ReasonLostReply      Reason = "lost-reply"
	ReasonShuttingDown   Reason = "shutting-down"
)

// Answer is the one thing a caller is told about its request.
type Answer struct {
	Outcome    wire.Outcome
	Reason     Reason
	Result     string
	RetryAfter time.Duration
	// Repeated says that the outcome was recorded for an earlier call of the same key.
	Repeated bool
}

// DispatchEnd is how a dispatch ended.
type DispatchEnd struct {
	// Response is the upstream's reply, or nil.
	Response *wire.RunResponse
	// NotWritten says that not one byte was handed to a connection.
	NotWritten bool
	// NotStarted says that the upstream refused before it started.
	NotStarted bool
}

// Step is what the driver must do next; one field is set.
type Step struct {
	Claim    *wire.ClaimRequest
	Dispatch *wire.RunRequest
	Answer   *Answer
	// Record goes with an answer: the outcome to be recorded in the journal.
	Record *wire.RecordRequest
}

// Run is one request's life.
type Run struct {
	request Request
	attempt uint64
	granted bool
	sent    bool
}

// New returns the run of a request, whose one dispatch has the attempt id.
func New(request Request, attempt uint64) *Run {
	return &Run{
		request: request,
		attempt: attempt,
	}
}

// Start asks for the claim.
func (r *Run) Start(now time.Time) Step {
	if !now.Before(r.request.Deadline) {
		return r.notRun(ReasonDeadline)
	}
	return Step{
		Claim: &wire.ClaimRequest{
			ClaimId:    r.request.ClaimID,
			Service:    r.request.Service,
			Key:        r.request.Key,
			Tenant:     r.request.Tenant,
			RequestId:  r.request.RequestID,
			BodyDigest: r.request.BodyDigest,
			KeyTimeMs:  r.request.KeyTimeMs,
		},
	}
}

// Claimed takes the journal's verdict.
func (r *Run) Claimed(now time.Time, verdict *wire.ClaimResponse) Step {
	switch verdict.GetVerdict() {
	case wire.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		r.granted = true
		return r.dispatch(now)
	case wire.ClaimVerdict_CLAIM_VERDICT_RECORDED:
		return r.repeat(verdict)
	case wire.ClaimVerdict_CLAIM_VERDICT_HELD:
		return r.unknown(ReasonInProgress, retryAfter)
	case wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED:
		// An earlier call of the key may have run, so this is no not-run.
		return r.unknown(ReasonKeyExpired, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		return r.notRunForGood(ReasonKeyConflict)
	default:
		return r.notRun(ReasonNoQuorum)
	}
}

// ClaimFailed takes the loss of contact with the journal before a verdict.
func (r *Run) ClaimFailed() Step {
	return r.notRun(ReasonNoQuorum)
}

// MayWrite reports whether the one dispatch may still be written; called again right before the first byte.
func (r *Run) MayWrite(now time.Time) bool {
	return r.granted && now.Before(r.request.Deadline)
}

// Dispatched takes the end of the dispatch.
func (r *Run) Dispatched(end DispatchEnd) Step {
	switch {
	case end.Response != nil && end.Response.GetAttempt() == r.attempt:
		return r.finish(Answer{
			Outcome: wire.Outcome_OUTCOME_ANSWERED,
			Result:  end.Response.GetResult(),
		})
	case end.NotWritten:
		return r.notRun(ReasonNotSent)
	case end.NotStarted:
		return r.notRun(ReasonRefused)
	default:
		return r.unknown(ReasonLostReply, 0)
	}
}

func (r *Run) dispatch(now time.Time) Step {
	if !r.MayWrite(now) {
		return r.notRun(ReasonDeadline)
	}
	r.sent = true
	return Step{
		Dispatch: &wire.RunRequest{
			Attempt: r.attempt,
			Service: r.request.Service,
			Key:     r.request.Key,
			Body:    r.request.Body,
		},
	}
}

func (r *Run) repeat(verdict *wire.ClaimResponse) Step {
	return Step{
		Answer: &Answer{
			Outcome:  verdict.GetOutcome(),
			Result:   verdict.GetResult(),
			Repeated: true,
		},
	}
}

func (r *Run) notRun(reason Reason) Step {
	return r.finish(Answer{
		Outcome:    wire.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: retryAfter,
	})
}

func (r *Run) notRunForGood(reason Reason) Step {
	return r.finish(Answer{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Reason:  reason,
	})
}

func (r *Run) unknown(reason Reason, wait time.Duration) Step {
	return r.finish(Answer{
		Outcome:    wire.Outcome_OUTCOME_UNKNOWN,
		Reason:     reason,
		RetryAfter: wait,
	})
}

// finish records the outcome too where this run holds the claim.
func (r *Run) finish(answer Answer) Step {
	step := Step{
		Answer: &answer,
	}
	if r.granted {
		step.Record = &wire.RecordRequest{
			ClaimId: r.request.ClaimID,
			Service: r.request.Service,
			Key:     r.request.Key,
			Outcome: answer.Outcome,
			Result:  answer.Result,
		}
	}
	return step
}
