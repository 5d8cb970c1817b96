package checker

import "pimentogate.example/pimentogate/pkg/wire"

// Effect is one figure of a plan before and after.
type Effect struct {
	Subject string `json:"subject"`
	Figure  string `json:"figure"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// Plan is the file of a plan, as it is printed and confirmed.
type Plan struct {
	Intent   Intent   `json:"intent"`
	Revision uint64   `json:"revision"`
	Digest   string   `json:"digest"`
	Steps    []string `json:"steps"`
	Effects  []Effect `json:"effects"`
	Warnings []string `json:"warnings"`
}

// PlanOf returns a plan as its file says it.
func PlanOf(plan *wire.Plan) Plan {
	file := Plan{
		Intent:   intentOf(plan.GetIntent()),
		Revision: plan.GetRevision(),
		Digest:   plan.GetDigest(),
		Steps:    plan.GetSteps(),
		Effects:  []Effect{},
		Warnings: append([]string{}, plan.GetWarnings()...),
	}
	for _, effect := range plan.GetEffects() {
		file.Effects = append(file.Effects, Effect{
			Subject: effect.GetSubject(),
			Figure:  effect.GetFigure(),
			Before:  effect.GetBefore(),
			After:   effect.GetAfter(),
		})
	}
	return file
}

// DecodePlan reads what a confirm needs of a plan's file; mistakes come as a MistakesError.
func DecodePlan(source []byte) (*wire.Plan, error) {
	plan := &Plan{}
	w, err := decode(source, plan)
	if err != nil {
		return nil, err
	}
	checkIntent(w, "intent", &plan.Intent)
	w.needAll("", "revision")
	w.needText("digest", plan.Digest)
	if err := w.err(); err != nil {
		return nil, err
	}
	return &wire.Plan{
		Intent:   plan.Intent.wire(),
		Revision: plan.Revision,
		Digest:   plan.Digest,
	}, nil
}

// Confirmed is the printed answer to a confirm.
type Confirmed struct {
	ConfirmID    string   `json:"confirm-id"`
	Accepted     bool     `json:"accepted"`
	Revision     uint64   `json:"revision"`
	Reason       string   `json:"reason,omitempty"`
	ChangedSince []string `json:"changed-since,omitempty"`
}

// ConfirmedOf returns the answer to the confirm of the id as it is printed.
func ConfirmedOf(id string, response *wire.ConfirmResponse) Confirmed {
	return Confirmed{
		ConfirmID:    id,
		Accepted:     response.GetAccepted(),
		Revision:     response.GetRevision(),
		Reason:       response.GetReason(),
		ChangedSince: response.GetChangedSince(),
	}
}
