package gatherer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/queuer"
	"pimentogate.example/pimentogate/internal/coordination/registrar"
	"pimentogate.example/pimentogate/internal/coordination/router"
	"pimentogate.example/pimentogate/internal/coordination/versioner"
	"pimentogate.example/pimentogate/pkg/wire"
)

// gather is one query pinned to one version.
type gather struct {
	query    Query
	manifest *wire.Manifest
	shards   []*shardState
	restarts int
	over     bool
	// forwarded is the peer's sub-request that this is, or nil for a caller's query.
	forwarded *Forwarded
}

type shardState struct {
	gather   *gather
	name     string
	weight   uint64
	rows     []*wire.Row
	done     bool
	tried    []string
	attempts []*attempt
	// waiting is the sub-request's place in the queues, or nil.
	waiting *queuer.Item[*task]
}

// task is a sub-request that waits for a slot.
type task struct {
	shard *shardState
	kind  AttemptKind
	since time.Time
}

type attempt struct {
	id      uint64
	shard   *shardState
	version uint64
	replica *registrar.Replica
	sentAt  time.Time
	// via is the owner it was handed to with these upstreams, or nil.
	via       *router.Instance
	upstreams []string
}

func newGather(query Query, manifest *wire.Manifest) *gather {
	g := &gather{
		query: query,
	}
	g.pin(manifest)
	return g
}

// pin sets the version, and forgets whatever was gathered from another.
func (g *gather) pin(manifest *wire.Manifest) {
	g.manifest = manifest
	g.shards = make([]*shardState, 0, len(manifest.GetShards()))
	for _, shard := range manifest.GetShards() {
		g.shards = append(g.shards, &shardState{
			gather: g,
			name:   shard.GetShard(),
			weight: shard.GetWeight(),
		})
	}
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

// deadline is when gathering ends, in time for the answer.
func (g *gather) deadline() time.Time { return g.query.Deadline.Add(-answerMargin) }

// fits reports whether the reply is the whole answer to this very attempt.
func (a *attempt) fits(reply *wire.SearchResponse) bool {
	return reply.GetAttempt() == a.id &&
		reply.GetShard() == a.shard.name &&
		reply.GetVersion() == a.version &&
		reply.GetComplete() &&
		int(reply.GetRowCount()) == len(reply.GetRows())
}

func (s *shardState) remove(a *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(other *attempt) bool { return other == a })
}

// isPending reports whether a reply may still come.
func (s *shardState) isPending() bool {
	return !s.done && (len(s.attempts) > 0 || s.waiting != nil)
}

// isLost reports whether the shard is neither answered nor asked.
func (s *shardState) isLost() bool {
	return !s.done && !s.isPending()
}

// isOver reports whether no reply is awaited.
func (g *gather) isOver() bool {
	return !slices.ContainsFunc(g.shards, (*shardState).isPending)
}

// reachable is the coverage if every reply awaited comes.
func (g *gather) reachable() uint32 {
	var covered uint64
	for _, s := range g.shards {
		if !s.isLost() {
			covered += s.weight
		}
	}
	return versioner.Coverage(covered, versioner.TotalWeight(g.manifest))
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
		Coverage: versioner.Coverage(covered, versioner.TotalWeight(g.manifest)),
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
