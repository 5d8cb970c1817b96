package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/runner"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/sender"
	"pimentogate.example/pimentogate/pkg/wire"
)

// claimTimeout is how long the journal may take over a claim before the request is refused.
const claimTimeout = 500 * time.Millisecond

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
		Call:       body.Resend,
	}
	answer, revision, decisions := g.runOnce(request)
	g.outcomes.noteRun(request, answer, time.Since(arrived), decisions)
	g.log.Info("run", "request-id", requestID, "tenant", request.Tenant, "service", request.Service, "key", request.Key, "resend", request.Call,
		"outcome", parser.OutcomeName(answer.Outcome), "reason", answer.Reason, "repeated", answer.Repeated, "latency-us", time.Since(arrived).Microseconds())
	g.writeRun(ctx, request, answer, revision)
}

// route is where a non-idempotent request may go, or why it may not go anywhere.
type route struct {
	targets  []runner.Target
	reason   runner.Reason
	wait     time.Duration
	revision uint64
}

// runOnce drives one request from its claim to its answer; it goes on when the caller has gone.
func (g *Gateway) runOnce(request runner.Request) (runner.Answer, uint64, []string) {
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	chosen := g.chooseRoute(ctx, request)
	if chosen.reason != runner.ReasonNone {
		return runner.Refuse(request, chosen.reason, chosen.wait), chosen.revision, nil
	}
	d := &driver{
		gateway: g,
		run:     runner.New(request, g.lastRun.Add(1), chosen.targets),
	}
	answer := d.drive(ctx, chosen.targets)
	return answer, chosen.revision, d.decisions
}

func (g *Gateway) chooseRoute(ctx context.Context, request runner.Request) route {
	chosen := route{
		reason: runner.ReasonShuttingDown,
		wait:   time.Second,
	}
	_ = g.ask(ctx, func(now time.Time) {
		chosen = g.decideRoute(now, request)
	})
	return chosen
}

func (g *Gateway) decideRoute(now time.Time, request runner.Request) route {
	config := g.machine.Config()
	chosen := route{
		revision: config.GetRevision(),
	}
	if cataloger.FindService(config, request.Service) == nil {
		chosen.reason = runner.ReasonUnknownService
		return chosen
	}
	if ok, wait := g.machine.TenantLimiter.Admit(now, request.Tenant); !ok {
		chosen.reason = runner.ReasonTenantLimit
		chosen.wait = wait
		return chosen
	}
	if !g.watcher.confirmed() {
		chosen.reason = runner.ReasonNoQuorum
		chosen.wait = time.Second
		return chosen
	}
	chosen.targets = g.chooseTargets(now, request.Service)
	return chosen
}

// chooseTargets returns different upstreams in the order in which they are to be tried.
func (g *Gateway) chooseTargets(now time.Time, service string) []runner.Target {
	holders := slices.Clone(g.machine.Registrar.ServiceReplicas(service))
	var targets []runner.Target
	for range min(len(holders), runner.MaxTargets) {
		replica := g.machine.Router.Pick(now, holders)
		holders = slices.DeleteFunc(holders, func(other *registrar.Replica) bool { return other == replica })
		targets = append(targets, runner.Target{
			Upstream:    replica.Upstream,
			Incarnation: replica.Incarnation,
			Address:     replica.Address,
		})
	}
	return targets
}

// driver carries out the steps of one run.
type driver struct {
	gateway *Gateway
	run     *runner.Run
	// early is the connection that opens while the claim is decided, or nil.
	early     *sender.OneShotConn
	decisions []string
}

func (d *driver) drive(ctx context.Context, targets []runner.Target) runner.Answer {
	if len(targets) > 0 {
		d.early = d.gateway.sender.OpenOneShot(ctx, targets[0].Address)
	}
	step := d.run.Start(time.Now())
	for step.Answer == nil {
		step = d.carryOut(ctx, step)
	}
	if d.early != nil {
		d.early.Close()
	}
	switch {
	case step.Record != nil && step.RecordAsync:
		d.gateway.concluder.push(step.Record)
	case step.Record != nil:
		d.gateway.concluder.conclude(ctx, step.Record)
	}
	return *step.Answer
}

func (d *driver) carryOut(ctx context.Context, step runner.Step) runner.Step {
	if step.Claim != nil {
		return d.claim(ctx, step.Claim)
	}
	return d.dispatch(ctx, step.Dispatch)
}

func (d *driver) claim(ctx context.Context, request *wire.ClaimRequest) runner.Step {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	verdict, err := d.gateway.control.claim(ctx, request)
	if err != nil {
		d.gateway.log.Info("claim failed", "request-id", request.GetRequestId(), "service", request.GetService(), "key", request.GetKey(), "error", err.Error())
		d.decisions = append(d.decisions, "claim failed")
		return d.run.HandleClaimFailure()
	}
	d.gateway.log.Info("claimed", "request-id", request.GetRequestId(), "service", request.GetService(), "key", request.GetKey(), "verdict", verdict.GetVerdict().String())
	d.decisions = append(d.decisions, fmt.Sprintf("claim %s: %s", request.GetClaimId(), verdict.GetVerdict()))
	return d.run.HandleVerdict(time.Now(), verdict)
}

func (d *driver) dispatch(ctx context.Context, dispatch *runner.Dispatch) runner.Step {
	once := d.early
	d.early = nil
	if once == nil {
		once = d.gateway.sender.OpenOneShot(ctx, dispatch.Target.Address)
	}
	defer once.Close()
	request := dispatch.Request
	end := once.Send(ctx, request, d.run.MayWrite)
	if end.Leaving {
		d.gateway.markLeaving(dispatch.Target)
	}
	d.gateway.log.Info("dispatched", "service", request.GetService(), "key", request.GetKey(), "attempt", request.GetAttempt(), "upstream", dispatch.Target.Upstream,
		"written", !end.NotWritten, "refused", end.NotStarted, "replied", end.Response != nil)
	d.decisions = append(d.decisions, fmt.Sprintf("dispatched to %s: written %t, refused %t, replied %t", dispatch.Target.Upstream, !end.NotWritten, end.NotStarted, end.Response != nil))
	return d.run.HandleDispatchResult(time.Now(), end)
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
		Field:           wrongField(answer.Reason == runner.ReasonUnknownService),
		Result:          answer.Result,
		Repeated:        answer.Repeated,
		EarlierCalls:    string(answer.EarlierCalls),
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
	case answer.Reason == runner.ReasonKeyConflict, answer.Reason == runner.ReasonSuperseded:
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
