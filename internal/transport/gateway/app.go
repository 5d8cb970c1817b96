package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"pimentogate.example/pimentogate/internal/coordination/gatherer"
	"pimentogate.example/pimentogate/internal/protocol/parser"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
)

// newCallerHandler returns the HTTP handler for callers' requests, the health checks and the metrics.
func newCallerHandler(g *Gateway) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/services/{service}/query", g.serveQuery)
	app.Post("/v1/services/{service}/run", g.serveRun)
	app.Get("/ready", g.serveReady)
	app.Get("/live", g.serveLive)
	app.Get("/metrics", iris.FromStd(g.meter.handler()))
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("build the callers' HTTP handler: %w", err)
	}
	return app, nil
}

func (g *Gateway) serveReady(ctx iris.Context) {
	isReady := g.isReady()
	if !isReady {
		ctx.StatusCode(iris.StatusServiceUnavailable)
	}
	_, _ = ctx.WriteString("ready: " + strconv.FormatBool(isReady) + "\n")
}

func (g *Gateway) serveLive(ctx iris.Context) {
	_, _ = ctx.WriteString("live: true\n")
}

func (g *Gateway) serveQuery(ctx iris.Context) {
	arrivedAt := time.Now()
	body, err := parser.ReadQuery(ctx.Request().Body)
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
	service := g.findService(ctx)
	answer, err := g.query(ctx.Request().Context(), gatherer.Query{
		RequestID:        requestID,
		Tenant:           body.Tenant,
		Service:          ctx.Params().Get("service"),
		Text:             body.Query,
		Limit:            body.Limit,
		RequiredCoverage: body.RequiredCoverage(service.GetCoverageMillionths()),
		ArrivedAt:        arrivedAt,
		Deadline:         deadline,
	})
	if err != nil {
		ctx.StopWithStatus(iris.StatusServiceUnavailable)
		return
	}
	g.logAnswer(answer)
	g.writeQueryAnswer(ctx, answer)
}

func (g *Gateway) findService(ctx iris.Context) *wire.Service {
	var service *wire.Service
	_ = g.runInLoop(ctx.Request().Context(), func(time.Time) {
		service = cataloger.FindService(g.machine.Config(), ctx.Params().Get("service"))
	})
	return service
}

func (g *Gateway) logAnswer(answer gatherer.Answer) {
	g.log.Info("query", "request-id", answer.Query.RequestID, "tenant", answer.Query.Tenant, "service", answer.Query.Service,
		"outcome", parser.OutcomeName(answer.Outcome), "reason", answer.Reason, "version", answer.Version,
		"coverage", parser.CoverageFraction(answer.Coverage), "latency-us", answer.FinishedAt.Sub(answer.Query.ArrivedAt).Microseconds())
}

func (g *Gateway) writeQueryAnswer(ctx iris.Context, answer gatherer.Answer) {
	if answer.RetryAfter > 0 {
		setRetryAfter(ctx, answer.RetryAfter)
	}
	ctx.StatusCode(queryStatus(answer))
	missingShards := answer.MissingShards
	if missingShards == nil {
		missingShards = []string{}
	}
	_ = ctx.JSON(parser.QueryAnswer{
		RequestID:       answer.Query.RequestID,
		Outcome:         parser.OutcomeName(answer.Outcome),
		Reason:          string(answer.Reason),
		Field:           invalidField(answer.Reason == gatherer.ReasonUnknownService),
		IndexVersion:    answer.Version,
		Coverage:        parser.CoverageFraction(answer.Coverage),
		CoverageMet:     answer.Outcome == wire.Outcome_OUTCOME_ANSWERED && answer.Coverage >= answer.Query.RequiredCoverage,
		MissingShards:   missingShards,
		ConfigRevision:  answer.ConfigRevision,
		ConfigConfirmed: g.watcher.isConfigConfirmed(),
		RetryAfterMs:    parser.CeilMilliseconds(answer.RetryAfter),
		Rows:            parser.ConvertRows(answer.Rows),
	})
}

func queryStatus(answer gatherer.Answer) int {
	switch {
	case answer.Outcome == wire.Outcome_OUTCOME_ANSWERED:
		return iris.StatusOK
	case answer.Outcome == wire.Outcome_OUTCOME_UNKNOWN:
		return iris.StatusGatewayTimeout
	case answer.Reason == gatherer.ReasonUnknownService:
		return iris.StatusNotFound
	case answer.Reason == gatherer.ReasonTenantLimit:
		return iris.StatusTooManyRequests
	default:
		return iris.StatusServiceUnavailable
	}
}

const (
	// reasonMemory is the reason of a request that was not read because the requests in progress take all memory that they may.
	reasonMemory       = "memory-in-use"
	overloadRetryAfter = time.Second
)

func (g *Gateway) rejectInvalidRequest(ctx iris.Context, requestID string, err error) {
	answer := parser.ErrorAnswer{
		RequestID: requestID,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Field:     "body",
		Reason:    err.Error(),
	}
	status := iris.StatusBadRequest
	var requestErr *parser.RequestError
	if errors.As(err, &requestErr) {
		answer.Field = requestErr.Field
		answer.Reason = requestErr.Reason
		if requestErr.TooLarge {
			status = iris.StatusRequestEntityTooLarge
		}
	}
	if listener.IsOverload(err) {
		answer.Reason = reasonMemory
		status = iris.StatusServiceUnavailable
		setRetryAfter(ctx, overloadRetryAfter)
		// The rest of the body is not read.
		ctx.Header("Connection", "close")
	}
	g.outcomes.recordInvalidRequest(requestID, ctx.Params().Get("service"))
	ctx.StatusCode(status)
	_ = ctx.JSON(answer)
}

// invalidField returns the name of the path parameter that matches no declared service, or an empty string.
func invalidField(isUnknownService bool) string {
	if isUnknownService {
		return "service"
	}
	return ""
}

func setRetryAfter(ctx iris.Context, wait time.Duration) {
	seconds := int((wait + time.Second - 1) / time.Second)
	ctx.Header("Retry-After", strconv.Itoa(seconds))
}

func ensureRequestID(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}
