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

// claimTimeout is how long a claim may take before the request is refused.
const claimTimeout = 500 * time.Millisecond

func (g *Gateway) serveRun(ctx iris.Context) {
	arrivedAt := time.Now()
	body, err := parser.ReadRun(ctx.Request().Body)
	if err != nil {
		g.rejectInvalidRequest(ctx, "", err)
		return
	}
	requestID := ensureRequestID(body.RequestID)
	deadline, err := parser.ParseDeadline(arrivedAt, body.TimeoutMs, body.Deadline)
	if err != nil {
		g.rejectInvalidRequest(ctx, requestID, err)
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
	g.outcomes.recordRun(request, answer, time.Since(arrivedAt), decisions)
	g.log.Info("run", "request-id", requestID, "tenant", request.Tenant, "service", request.Service, "key", request.Key, "resend", request.Call,
		"outcome", parser.OutcomeName(answer.Outcome), "reason", answer.Reason, "repeated", answer.Repeated, "latency-us", time.Since(arrivedAt).Microseconds())
	g.writeRunAnswer(ctx, request, answer, revision)
}

// route lists the targets of a non-idempotent request, or gives the reason why it is refused.
type route struct {
	targets    []runner.Target
	reason     runner.Reason
	retryAfter time.Duration
	revision   uint64
}

// runOnce processes a request from its claim to its answer. It continues after the caller has disconnected, until the
// deadline of the request.
func (g *Gateway) runOnce(request runner.Request) (runner.Answer, uint64, []string) {
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	chosen := g.chooseRoute(ctx, request)
	if chosen.reason != runner.ReasonNone {
		return runner.Refuse(request, chosen.reason, chosen.retryAfter), chosen.revision, nil
	}
	d := &runDriver{
		gateway: g,
		run:     runner.New(request, g.lastRunID.Add(1), chosen.targets),
	}
	answer := d.drive(ctx, chosen.targets)
	return answer, chosen.revision, d.decisions
}

func (g *Gateway) chooseRoute(ctx context.Context, request runner.Request) route {
	chosen := route{
		reason:     runner.ReasonShuttingDown,
		retryAfter: time.Second,
	}
	_ = g.runInLoop(ctx, func(now time.Time) {
		chosen = g.chooseRouteInLoop(now, request)
	})
	return chosen
}

func (g *Gateway) chooseRouteInLoop(now time.Time, request runner.Request) route {
	config := g.machine.Config()
	chosen := route{
		revision: config.GetRevision(),
	}
	if cataloger.FindService(config, request.Service) == nil {
		chosen.reason = runner.ReasonUnknownService
		return chosen
	}
	if ok, retryAfter := g.machine.TenantLimiter.Admit(now, request.Tenant); !ok {
		chosen.reason = runner.ReasonTenantLimit
		chosen.retryAfter = retryAfter
		return chosen
	}
	if !g.watcher.isConfigConfirmed() {
		chosen.reason = runner.ReasonNoQuorum
		chosen.retryAfter = time.Second
		return chosen
	}
	chosen.targets = g.chooseTargets(now, request.Service)
	return chosen
}

// chooseTargets returns distinct upstreams in the order in which to try them.
func (g *Gateway) chooseTargets(now time.Time, service string) []runner.Target {
	candidates := slices.Clone(g.machine.Registrar.ServiceReplicas(service))
	var targets []runner.Target
	for range min(len(candidates), runner.MaxTargets) {
		replica := g.machine.Router.Pick(now, candidates)
		candidates = slices.DeleteFunc(candidates, func(other *registrar.Replica) bool { return other == replica })
		targets = append(targets, runner.Target{
			Upstream:    replica.Upstream,
			Incarnation: replica.Incarnation,
			Address:     replica.Address,
		})
	}
	return targets
}

// runDriver performs the steps of one non-idempotent request.
type runDriver struct {
	gateway *Gateway
	run     *runner.Run
	// preopened is the connection to the first target, opened while the claim is pending, or nil.
	preopened *sender.OneShotConn
	decisions []string
}

func (d *runDriver) drive(ctx context.Context, targets []runner.Target) runner.Answer {
	if len(targets) > 0 {
		d.preopened = d.gateway.sender.OpenOneShot(ctx, targets[0].Address)
	}
	step := d.run.Start(time.Now())
	for step.Answer == nil {
		step = d.performStep(ctx, step)
	}
	if d.preopened != nil {
		d.preopened.Close()
	}
	switch {
	case step.Record != nil && step.RecordAsync:
		d.gateway.runRecorder.enqueue(step.Record)
	case step.Record != nil:
		d.gateway.runRecorder.recordOrEnqueue(ctx, step.Record)
	}
	return *step.Answer
}

func (d *runDriver) performStep(ctx context.Context, step runner.Step) runner.Step {
	if step.Claim != nil {
		return d.claim(ctx, step.Claim)
	}
	return d.dispatch(ctx, step.Dispatch)
}

func (d *runDriver) claim(ctx context.Context, request *wire.ClaimRequest) runner.Step {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	response, err := d.gateway.control.claim(ctx, request)
	if err != nil {
		d.gateway.log.Info("claim failed", "request-id", request.GetRequestId(), "service", request.GetService(), "key", request.GetKey(), "error", err.Error())
		d.decisions = append(d.decisions, "claim failed")
		return d.run.HandleClaimFailure()
	}
	d.gateway.log.Info("claimed", "request-id", request.GetRequestId(), "service", request.GetService(), "key", request.GetKey(), "verdict", response.GetVerdict().String())
	d.decisions = append(d.decisions, fmt.Sprintf("claim %s: %s", request.GetClaimId(), response.GetVerdict()))
	return d.run.HandleVerdict(time.Now(), response)
}

func (d *runDriver) dispatch(ctx context.Context, dispatch *runner.Dispatch) runner.Step {
	connection := d.preopened
	d.preopened = nil
	if connection == nil {
		connection = d.gateway.sender.OpenOneShot(ctx, dispatch.Target.Address)
	}
	defer connection.Close()
	request := dispatch.Request
	result := connection.Send(ctx, request, d.run.MayWrite)
	if result.Leaving {
		d.gateway.markLeaving(dispatch.Target)
	}
	d.gateway.log.Info("dispatched", "service", request.GetService(), "key", request.GetKey(), "attempt", request.GetAttempt(), "upstream", dispatch.Target.Upstream,
		"written", !result.NotWritten, "refused", result.NotStarted, "replied", result.Response != nil)
	d.decisions = append(d.decisions, fmt.Sprintf("dispatched to %s: written %t, refused %t, replied %t", dispatch.Target.Upstream, !result.NotWritten, result.NotStarted, result.Response != nil))
	return d.run.HandleDispatchResult(time.Now(), result)
}

func (g *Gateway) writeRunAnswer(ctx iris.Context, request runner.Request, answer runner.Answer, configRevision uint64) {
	if answer.RetryAfter > 0 {
		setRetryAfter(ctx, answer.RetryAfter)
	}
	ctx.StatusCode(runStatus(answer))
	_ = ctx.JSON(parser.RunAnswer{
		RequestID:       request.RequestID,
		Key:             request.Key,
		Outcome:         parser.OutcomeName(answer.Outcome),
		Reason:          string(answer.Reason),
		Field:           invalidField(answer.Reason == runner.ReasonUnknownService),
		Result:          answer.Result,
		Repeated:        answer.Repeated,
		EarlierCalls:    string(answer.EarlierCalls),
		ConfigRevision:  configRevision,
		ConfigConfirmed: g.watcher.isConfigConfirmed(),
		RetryAfterMs:    parser.CeilMilliseconds(answer.RetryAfter),
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
