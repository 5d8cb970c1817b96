package gateway

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// claimTimeout is how long the journal may take over a claim before the request is refused.
	claimTimeout  = 500 * time.Millisecond
	recordTimeout = 500 * time.Millisecond
)

func (g *Gateway) serveRun(ctx iris.Context) {
	arrived := time.Now()
	body, err := parser.ReadRun(ctx.Request().Body)
	if err != nil {
		g.refuseMistake(ctx, "", err)
		return
	}
	requestID := requestIDOf(body.RequestID)
	deadline, err := parser.Deadline(arrived, body.TimeoutMs, body.Deadline)
	if err != nil {
		g.refuseMistake(ctx, requestID, err)
		return
	}
	request := runner.Request{
		RequestID:  requestID,
		ClaimID:    uuid.NewString(),
		Tenant:     body.Tenant,
		Service:    ctx.Params().Get("service"),
		Key:        body.Key,
		KeyTimeMs:  body.KeyTimeMs(),
		Body:       body.Body,
		BodyDigest: body.BodyDigest(),
		Deadline:   deadline,
	}
	answer, revision := g.runOnce(request)
	g.log.Info("run", "request-id", requestID, "tenant", request.Tenant, "service", request.Service, "key", request.Key,
		"outcome", parser.OutcomeName(answer.Outcome), "reason", answer.Reason, "repeated", answer.Repeated, "latency-us", time.Since(arrived).Microseconds())
	g.writeRun(ctx, request, answer, revision)
}

// target is where a non-idempotent request may go, or why it may not.
type target struct {
	replica  *registrar.Replica
	reason   runner.Reason
	wait     time.Duration
	revision uint64
}

// runOnce drives one request from its claim to its answer; it goes on when the caller has gone.
func (g *Gateway) runOnce(request runner.Request) (runner.Answer, uint64) {
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	chosen := g.chooseTarget(ctx, request)
	if chosen.reason != runner.ReasonNone {
		return runner.Answer{
			Outcome:    wire.Outcome_OUTCOME_NOT_RUN,
			Reason:     chosen.reason,
			RetryAfter: chosen.wait,
		}, chosen.revision
	}
	run := runner.New(request, g.lastRun.Add(1))
	step := run.Start(time.Now())
	for step.Answer == nil {
		step = g.carryOutStep(ctx, run, step, chosen.replica)
	}
	if step.Record != nil {
		g.record(step.Record)
	}
	return *step.Answer, chosen.revision
}

func (g *Gateway) carryOutStep(ctx context.Context, run *runner.Run, step runner.Step, replica *registrar.Replica) runner.Step {
	if step.Claim != nil {
		claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		verdict, err := g.control.claim(claimCtx, step.Claim)
		if err != nil {
			g.log.Info("claim failed", "request-id", step.Claim.GetRequestId(), "key", step.Claim.GetKey(), "error", err.Error())
			return run.ClaimFailed()
		}
		return run.Claimed(time.Now(), verdict)
	}
	g.log.Info("dispatched", "service", step.Dispatch.GetService(), "key", step.Dispatch.GetKey(), "attempt", step.Dispatch.GetAttempt(), "upstream", replica.Upstream)
	return run.Dispatched(g.sender.Once(ctx, replica.Address, step.Dispatch, run.MayWrite))
}

func (g *Gateway) chooseTarget(ctx context.Context, request runner.Request) target {
	chosen := target{
		reason: runner.ReasonShuttingDown,
		wait:   time.Second,
	}
	_ = g.ask(ctx, func(now time.Time) {
		chosen = g.decideTarget(now, request)
	})
	return chosen
}

func (g *Gateway) decideTarget(now time.Time, request runner.Request) target {
	config := g.machine.Config()
	chosen := target{
		revision: config.GetRevision(),
	}
	if cataloger.FindService(config, request.Service) == nil {
		chosen.reason = runner.ReasonUnknownService
		return chosen
	}
	if ok, wait := g.machine.Tenants.Admit(now, request.Tenant); !ok {
		chosen.reason = runner.ReasonTenantLimit
		chosen.wait = wait
		return chosen
	}
	chosen.replica = g.machine.Router.Pick(g.machine.Registrar.Holders(request.Service), nil)
	if chosen.replica == nil {
		chosen.reason = runner.ReasonNoUpstream
		chosen.wait = time.Second
	}
	return chosen
}

// record stores the outcome for resends; where that fails they are told unknown.
func (g *Gateway) record(request *wire.RecordRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if _, err := g.control.record(ctx, request); err != nil {
		g.log.Info("record failed", "key", request.GetKey(), "error", err.Error())
	}
}

func (g *Gateway) writeRun(ctx iris.Context, request runner.Request, answer runner.Answer, revision uint64) {
	if answer.RetryAfter > 0 {
		setRetryAfter(ctx, answer.RetryAfter)
	}
	ctx.StatusCode(runStatus(answer))
	_ = ctx.JSON(parser.RunAnswer{
		RequestID:       request.RequestID,
		Key:             request.Key,
		Outcome:         parser.OutcomeName(answer.Outcome),
		Reason:          string(answer.Reason),
		Result:          answer.Result,
		Repeated:        answer.Repeated,
		ConfigRevision:  revision,
		ConfigConfirmed: g.watcher.confirmed(),
		RetryAfterMs:    parser.Milliseconds(answer.RetryAfter),
	})
}

func runStatus(answer runner.Answer) int {
	switch {
	case answer.Outcome == wire.Outcome_OUTCOME_ANSWERED:
		return iris.StatusOK
	case answer.Reason == runner.ReasonKeyExpired:
		return iris.StatusGone
	case answer.Reason == runner.ReasonKeyConflict:
		return iris.StatusConflict
	case answer.Reason == runner.ReasonUnknownService:
		return iris.StatusNotFound
	case answer.Reason == runner.ReasonTenantLimit:
		return iris.StatusTooManyRequests
	case answer.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
		return iris.StatusGatewayTimeout
	default:
		return iris.StatusServiceUnavailable
	}
}
