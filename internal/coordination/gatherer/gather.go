package gatherer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/versioner"
	"pimentogate.example/pimentogate/pkg/wire"
)

// gather is one query pinned to one version.
type gather struct {
	query    Query
	manifest *wire.Manifest
	shards   []*shardState
}

type shardState struct {
	name     string
	weight   uint64
	rows     []*wire.Row
	done     bool
	failed   bool
	tried    []string
	attempts []*attempt
}

type attempt struct {
	id          uint64
	gather      *gather
	shard       *shardState
	upstream    string
	incarnation uint64
	sentAt      time.Time
}

func newGather(query Query, manifest *wire.Manifest) *gather {
	g := &gather{
		query:    query,
		manifest: manifest,
	}
	for _, shard := range manifest.GetShards() {
		g.shards = append(g.shards, &shardState{
			name:   shard.GetShard(),
			weight: shard.GetWeight(),
		})
	}
	return g
}

func (g *gather) request(a *attempt) *wire.SearchRequest {
	return &wire.SearchRequest{
		Attempt: a.id,
		Service: g.query.Service,
		Shard:   a.shard.name,
		Version: g.manifest.GetVersion(),
		Query:   g.query.Text,
		Limit:   uint32(g.query.Limit),
	}
}

// fits reports whether the reply is the whole answer to this very attempt.
func (a *attempt) fits(reply *wire.SearchResponse) bool {
	return reply.GetAttempt() == a.id &&
		reply.GetShard() == a.shard.name &&
		reply.GetVersion() == a.gather.manifest.GetVersion() &&
		reply.GetComplete() &&
		int(reply.GetRowCount()) == len(reply.GetRows())
}

func (s *shardState) remove(a *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(other *attempt) bool { return other == a })
}

// isOver reports whether no shard can still be answered.
func (g *gather) isOver() bool {
	for _, s := range g.shards {
		if !s.done && !s.failed {
			return false
		}
	}
	return true
}

func (g *gather) answer(now time.Time, revision uint64, reason Reason) Answer {
	var covered uint64
	var missing []string
	var parts [][]*wire.Row
	for _, s := range g.shards {
		if !s.done {
			missing = append(missing, s.name)
			continue
		}
		covered += s.weight
		parts = append(parts, s.rows)
	}
	answer := Answer{
		Query:    g.query,
		Outcome:  wire.Outcome_OUTCOME_ANSWERED,
		Version:  g.manifest.GetVersion(),
		Coverage: versioner.Coverage(covered, versioner.Total(g.manifest)),
		Missing:  missing,
		Rows:     merger.Merge(parts, g.query.Limit),
		Revision: revision,
		Finished: now,
	}
	if len(missing) > 0 {
		answer.Reason = reason
	}
	if len(parts) == 0 {
		answer.Outcome = wire.Outcome_OUTCOME_UNKNOWN
		answer.RetryAfter = retryAfterBusy
	}
	return answer
}
