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
	"pimentogate.example/pimentogate/pkg/wire"
)

// newApp returns the handler of callers' requests.
func newApp(g *Gateway) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/services/{service}/query", g.serveQuery)
	app.Post("/v1/services/{service}/run", g.serveRun)
	app.Get("/ready", g.serveReady)
	app.Get("/live", g.serveLive)
	app.Get("/metrics", iris.FromStd(g.meter.handler()))
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("callers' interface: %w", err)
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
	arrived := time.Now()
	body, err := parser.ReadQuery(ctx.Request().Body)
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
	service := g.findService(ctx)
	answer, err := g.query(ctx.Request().Context(), gatherer.Query{
		RequestID:        requestID,
		Tenant:           body.Tenant,
		Service:          ctx.Params().Get("service"),
		Text:             body.Query,
		Limit:            body.Limit,
		RequiredCoverage: body.RequiredCoverage(service.GetCoverageMillionths()),
		ArrivedAt:        arrived,
		Deadline:         deadline,
	})
	if err != nil {
		ctx.StopWithStatus(iris.StatusServiceUnavailable)
		return
	}
	g.logAnswer(answer)
	g.writeQuery(ctx, answer)
}

func (g *Gateway) findService(ctx iris.Context) *wire.Service {
	var service *wire.Service
	_ = g.ask(ctx.Request().Context(), func(time.Time) {
		service = cataloger.FindService(g.machine.Config(), ctx.Params().Get("service"))
	})
	return service
}

func (g *Gateway) logAnswer(answer gatherer.Answer) {
	g.log.Info("query", "request-id", answer.Query.RequestID, "tenant", answer.Query.Tenant, "service", answer.Query.Service,
		"outcome", parser.OutcomeName(answer.Outcome), "reason", answer.Reason, "version", answer.Version,
		"coverage", parser.CoverageShare(answer.Coverage), "latency-us", answer.FinishedAt.Sub(answer.Query.ArrivedAt).Microseconds())
}

func (g *Gateway) writeQuery(ctx iris.Context, answer gatherer.Answer) {
	if answer.RetryAfter > 0 {
		setRetryAfter(ctx, answer.RetryAfter)
	}
	ctx.StatusCode(queryStatus(answer))
	missing := answer.MissingShards
	if missing == nil {
		missing = []string{}
	}
	_ = ctx.JSON(parser.QueryAnswer{
		RequestID:       answer.Query.RequestID,
		Outcome:         parser.OutcomeName(answer.Outcome),
		Reason:          string(answer.Reason),
		Field:           wrongField(answer.Reason == gatherer.ReasonUnknownService),
		IndexVersion:    answer.Version,
		Coverage:        parser.CoverageShare(answer.Coverage),
		CoverageMet:     answer.Outcome == wire.Outcome_OUTCOME_ANSWERED && answer.Coverage >= answer.Query.RequiredCoverage,
		MissingShards:   missing,
		ConfigRevision:  answer.ConfigRevision,
		ConfigConfirmed: g.watcher.confirmed(),
		RetryAfterMs:    parser.Milliseconds(answer.RetryAfter),
		Rows:            parser.Rows(answer.Rows),
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

func (g *Gateway) refuseMistake(ctx iris.Context, requestID string, err error) {
	answer := parser.Mistake{
		RequestID: requestID,
		Outcome:   parser.OutcomeName(wire.Outcome_OUTCOME_NOT_RUN),
		Field:     "body",
		Reason:    err.Error(),
	}
	status := iris.StatusBadRequest
	var mistake *parser.RequestError
	if errors.As(err, &mistake) {
		answer.Field = mistake.Field
		answer.Reason = mistake.Reason
		if mistake.TooLarge {
			status = iris.StatusRequestEntityTooLarge
		}
	}
	g.outcomes.noteMistake(requestID, ctx.Params().Get("service"))
	ctx.StatusCode(status)
	_ = ctx.JSON(answer)
}

// wrongField names the part of the path that no configuration knows, or nothing.
func wrongField(isUnknownService bool) string {
	if isUnknownService {
		return "service"
	}
	return ""
}

func setRetryAfter(ctx iris.Context, wait time.Duration) {
	seconds := int((wait + time.Second - 1) / time.Second)
	ctx.Header("Retry-After", strconv.Itoa(seconds))
}

func requestIDOf(given string) string {
	if given != "" {
		return given
	}
	return uuid.NewString()
}
