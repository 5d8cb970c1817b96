package checker

import "pimentogate.example/pimentogate/pkg/wire"

// Effect is one figure before and after the planned change.
type Effect struct {
	Subject string `json:"subject"`
	Figure  string `json:"figure"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// Plan is the file format of a plan, as printed and confirmed.
type Plan struct {
	Intent   Intent   `json:"intent"`
	Revision uint64   `json:"revision"`
	Digest   string   `json:"digest"`
	Steps    []string `json:"steps"`
	Effects  []Effect `json:"effects"`
	Warnings []string `json:"warnings"`
}

// NewPlan converts a plan to its file format.
func NewPlan(plan *wire.Plan) Plan {
	file := Plan{
		Intent:   newIntent(plan.GetIntent()),
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

// DecodePlan decodes the parts of a plan file that a confirm needs; mistakes are returned as a MistakesError.
func DecodePlan(source []byte) (*wire.Plan, error) {
	plan := &Plan{}
	v, err := decode(source, plan)
	if err != nil {
		return nil, err
	}
	checkIntent(v, "intent", &plan.Intent)
	v.requirePresent("", "revision")
	v.requireNonEmpty("digest", plan.Digest)
	if err := v.err(); err != nil {
		return nil, err
	}
	return &wire.Plan{
		Intent:   plan.Intent.toWire(),
		Revision: plan.Revision,
		Digest:   plan.Digest,
	}, nil
}

// ConfirmReply is the printed result of a confirm.
type ConfirmReply struct {
	ConfirmID    string   `json:"confirm-id"`
	Accepted     bool     `json:"accepted"`
	Revision     uint64   `json:"revision"`
	Reason       string   `json:"reason,omitempty"`
	ChangedSince []string `json:"changed-since,omitempty"`
}

// NewConfirmReply converts the response to the confirm with the id to its printed form.
func NewConfirmReply(id string, response *wire.ConfirmResponse) ConfirmReply {
	return ConfirmReply{
		ConfirmID:    id,
		Accepted:     response.GetAccepted(),
		Revision:     response.GetRevision(),
		Reason:       response.GetReason(),
		ChangedSince: response.GetChangedSince(),
	}
}
