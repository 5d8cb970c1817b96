package forwarder

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
)

// note writes the line of a request that was not answered whole.
func (f *Forwarder) note(call *exchanger.Call, request scatterer.Request, r *run, d scatterer.Decision) {
	if d.Reason == scatterer.ReasonNone {
		return
	}
	f.log.Info("request", "request", call.ID, "route", request.Route.Name, "outcome", int(d.Kind), "reason", d.Reason, "missing", d.Missing,
		"attempts", r.sent, "repeats", r.repeats, "took-ms", time.Since(request.Arrived).Milliseconds())
}

// noteFailure writes the line of an attempt that brought no answer.
func (f *Forwarder) noteFailure(call *exchanger.Call, a *scatterer.Attempt, outcome scatterer.Outcome) {
	f.log.Info("attempt", "request", call.ID, "service", a.Service, "replica", a.Replica.ID, "kind", a.Kind, "outcome", outcome.Kind.String(),
		"cause", outcome.Cause, "took-ms", time.Since(a.Began).Milliseconds())
}
