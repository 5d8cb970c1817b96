package runner

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Run is the state of one non-idempotent request.
type Run struct {
	request        Request
	attempt        uint64
	targets        []Target
	isClaimGranted bool
}

// New returns the run of a request that may be sent to one of the targets. attempt is the ID of the only
// dispatch that is written.
func New(request Request, attempt uint64, targets []Target) *Run {
	return &Run{
		request: request,
		attempt: attempt,
		targets: targets,
	}
}

// Start requests the claim. Without a target it requests only the recorded outcome, and that this call never
// runs if there is none.
func (r *Run) Start(now time.Time) Step {
	if !now.Before(r.request.Deadline) {
		return r.refuse(ReasonDeadline, retryAfter)
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
			Call:       r.request.Call,
			Closing:    len(r.targets) == 0,
		},
	}
}

// Refuse returns the answer to a request that this call has not dispatched, without knowledge of earlier calls
// with its key. The outcome of a repeated call is unknown because an earlier call may have run.
func Refuse(request Request, reason Reason, wait time.Duration) Answer {
	if request.Call > 0 {
		return Answer{
			Outcome:    wire.Outcome_OUTCOME_UNKNOWN,
			Reason:     reason,
			RetryAfter: wait,
		}
	}
	return Answer{
		Outcome:      wire.Outcome_OUTCOME_NOT_RUN,
		Reason:       reason,
		RetryAfter:   wait,
		EarlierCalls: EarlierUnknown,
	}
}

// HandleVerdict applies the journal's verdict on the claim.
func (r *Run) HandleVerdict(now time.Time, verdict *wire.ClaimResponse) Step {
	switch verdict.GetVerdict() {
	case wire.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		r.isClaimGranted = true
		return r.dispatchNext(now, ReasonDeadline)
	case wire.ClaimVerdict_CLAIM_VERDICT_RECORDED:
		return r.answerRecorded(verdict)
	case wire.ClaimVerdict_CLAIM_VERDICT_HELD:
		return r.finishUnknown(ReasonInProgress, retryAfter)
	case wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED:
		// An earlier call with the key may have run, so the outcome is unknown rather than not run.
		return r.finishUnknown(ReasonKeyExpired, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		return r.refuse(ReasonKeyConflict, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_FULL:
		return r.refuse(ReasonTooManyKeys, retryAfter)
	case wire.ClaimVerdict_CLAIM_VERDICT_SUPERSEDED:
		return r.refuse(ReasonSuperseded, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_CLOSED:
		return r.finishNotRun(ReasonNoUpstream)
	default:
		return r.HandleClaimFailure()
	}
}

// HandleClaimFailure handles a claim that got no verdict. The claim may still be granted later, so the step
// records that it was given up.
func (r *Run) HandleClaimFailure() Step {
	step := r.refuse(ReasonNoQuorum, retryAfter)
	step.Record = r.newRecordRequest(Answer{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN,
	})
	step.RecordAsync = true
	return step
}

// MayWrite reports whether the dispatch may still be written. It is called again right before the first byte.
func (r *Run) MayWrite(now time.Time) bool {
	return r.isClaimGranted && now.Before(r.request.Deadline)
}

// HandleDispatchResult handles the result of a dispatch. It tries the next target if no byte was written.
func (r *Run) HandleDispatchResult(now time.Time, result DispatchResult) Step {
	switch {
	case result.Response != nil && result.Response.GetAttempt() == r.attempt:
		return r.finish(Answer{
			Outcome: wire.Outcome_OUTCOME_ANSWERED,
			Result:  result.Response.GetResult(),
		})
	case result.NotWritten:
		r.targets = r.targets[1:]
		return r.dispatchNext(now, ReasonNotSent)
	case result.NotStarted:
		return r.finishNotRun(ReasonRefused)
	default:
		return r.finishUnknown(ReasonLostReply, 0)
	}
}

// dispatchNext dispatches to the next target, or ends the request with the reason if it may not.
func (r *Run) dispatchNext(now time.Time, reason Reason) Step {
	if !r.MayWrite(now) || len(r.targets) == 0 {
		return r.finishNotRun(reason)
	}
	return Step{
		Dispatch: &Dispatch{
			Target: r.targets[0],
			Request: &wire.RunRequest{
				Attempt: r.attempt,
				Service: r.request.Service,
				Key:     r.request.Key,
				Body:    r.request.Body,
			},
		},
	}
}

func (r *Run) answerRecorded(verdict *wire.ClaimResponse) Step {
	answer := &Answer{
		Outcome:  verdict.GetOutcome(),
		Result:   verdict.GetResult(),
		Repeated: true,
	}
	if answer.Outcome == wire.Outcome_OUTCOME_UNKNOWN {
		answer.Reason = ReasonLostReply
	}
	return Step{
		Answer: answer,
	}
}

// refuse ends a request that was not dispatched, without knowledge of earlier calls with its key.
func (r *Run) refuse(reason Reason, wait time.Duration) Step {
	answer := Refuse(r.request, reason, wait)
	return Step{
		Answer: &answer,
	}
}

// finishNotRun ends a request for whose key the journal states that nothing has run.
func (r *Run) finishNotRun(reason Reason) Step {
	return r.finish(Answer{
		Outcome:      wire.Outcome_OUTCOME_NOT_RUN,
		Reason:       reason,
		RetryAfter:   retryAfter,
		EarlierCalls: EarlierNone,
	})
}

func (r *Run) finishUnknown(reason Reason, wait time.Duration) Step {
	return r.finish(Answer{
		Outcome:    wire.Outcome_OUTCOME_UNKNOWN,
		Reason:     reason,
		RetryAfter: wait,
	})
}

// finish ends the request, and records the outcome if this run holds the claim.
func (r *Run) finish(answer Answer) Step {
	step := Step{
		Answer: &answer,
	}
	if r.isClaimGranted {
		step.Record = r.newRecordRequest(answer)
	}
	return step
}

func (r *Run) newRecordRequest(answer Answer) *wire.RecordRequest {
	return &wire.RecordRequest{
		ClaimId:    r.request.ClaimID,
		Service:    r.request.Service,
		Key:        r.request.Key,
		Tenant:     r.request.Tenant,
		KeyTimeMs:  r.request.KeyTimeMs,
		BodyDigest: r.request.BodyDigest,
		Outcome:    answer.Outcome,
		Result:     answer.Result,
	}
}
