package planner

import (
	"fmt"

	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
)

// New returns the plan of an intent against the configuration, or the intent's mistake; nothing changes.
func New(config *wire.Config, intent *wire.Intent) (*wire.Plan, error) {
	next, err := cataloger.Change(config, intent)
	if err != nil {
		return nil, err
	}
	return &wire.Plan{
		Intent:   intent,
		Revision: config.GetRevision(),
		Digest:   cataloger.Digest(intent, config.GetRevision()),
		Steps: []string{
			cataloger.Summary(intent),
			fmt.Sprintf("put revision %d in force on every entry instance", next.GetRevision()),
		},
	}, nil
}
