package runner

import (
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

// Run is one request's life.
type Run struct {
	request Request
	attempt uint64
	targets []Target
	granted bool
}

// New returns the run of a request that may go to one of the targets, whose one written dispatch has the attempt id.
func New(request Request, attempt uint64, targets []Target) *Run {
	return &Run{
		request: request,
		attempt: attempt,
		targets: targets,
	}
}

// Start asks for the claim; without a target it asks just for what was recorded, and that this call never runs.
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

// Refuse ends a request that was sent neither to the journal nor to an upstream.
func Refuse(request Request, reason Reason, wait time.Duration) Answer {
	if request.Call > 0 {
		return Answer{
			Outcome:    wire.Outcome_OUTCOME_UNKNOWN,
			Reason:     reason,
			RetryAfter: wait,
		}
	}
	return Answer{
		Outcome:    wire.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: wait,
		Earlier:    EarlierUnknown,
	}
}

// Claimed takes the journal's verdict.
func (r *Run) Claimed(now time.Time, verdict *wire.ClaimResponse) Step {
	switch verdict.GetVerdict() {
	case wire.ClaimVerdict_CLAIM_VERDICT_GRANTED:
		r.granted = true
		return r.dispatch(now, ReasonDeadline)
	case wire.ClaimVerdict_CLAIM_VERDICT_RECORDED:
		return r.repeat(verdict)
	case wire.ClaimVerdict_CLAIM_VERDICT_HELD:
		return r.unknown(ReasonInProgress, retryAfter)
	case wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED:
		// An earlier call of the key may have run, so this is no not-run.
		return r.unknown(ReasonKeyExpired, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		return r.refuse(ReasonKeyConflict, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_FULL:
		return r.refuse(ReasonTooManyKeys, retryAfter)
	case wire.ClaimVerdict_CLAIM_VERDICT_SUPERSEDED:
		return r.refuse(ReasonSuperseded, 0)
	case wire.ClaimVerdict_CLAIM_VERDICT_CLOSED:
		return r.notRun(ReasonNoUpstream)
	default:
		return r.ClaimFailed()
	}
}

// ClaimFailed takes the loss of contact with the journal before a verdict; the claim may still land, so it is given up.
func (r *Run) ClaimFailed() Step {
	step := r.refuse(ReasonNoQuorum, retryAfter)
	step.Record = r.record(Answer{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN,
	})
	step.RecordLater = true
	return step
}

// MayWrite reports whether the one dispatch may still be written; called again right before the first byte.
func (r *Run) MayWrite(now time.Time) bool {
	return r.granted && now.Before(r.request.Deadline)
}

// Dispatched takes the end of a dispatch; the next target is tried where not one byte was written.
func (r *Run) Dispatched(now time.Time, end DispatchEnd) Step {
	switch {
	case end.Response != nil && end.Response.GetAttempt() == r.attempt:
		return r.finish(Answer{
			Outcome: wire.Outcome_OUTCOME_ANSWERED,
			Result:  end.Response.GetResult(),
		})
	case end.NotWritten:
		r.targets = r.targets[1:]
		return r.dispatch(now, ReasonNotSent)
	case end.NotStarted:
		return r.notRun(ReasonRefused)
	default:
		return r.unknown(ReasonLostReply, 0)
	}
}

// dispatch goes to the first target that is left, or ends for the reason.
func (r *Run) dispatch(now time.Time, reason Reason) Step {
	if !r.MayWrite(now) || len(r.targets) == 0 {
		return r.notRun(reason)
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

func (r *Run) repeat(verdict *wire.ClaimResponse) Step {
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

// refuse ends a request whose key this call knows nothing about.
func (r *Run) refuse(reason Reason, wait time.Duration) Step {
	answer := Refuse(r.request, reason, wait)
	return Step{
		Answer: &answer,
	}
}

// notRun ends a request under whose key the journal says that nothing has run.
func (r *Run) notRun(reason Reason) Step {
	return r.finish(Answer{
		Outcome:    wire.Outcome_OUTCOME_NOT_RUN,
		Reason:     reason,
		RetryAfter: retryAfter,
		Earlier:    EarlierNone,
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
		step.Record = r.record(answer)
	}
	return step
}

func (r *Run) record(answer Answer) *wire.RecordRequest {
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
