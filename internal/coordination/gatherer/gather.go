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

// gather is the state of one scatter-gather operation: a query in flight, pinned to one version.
type gather struct {
	query      Query
	manifest   *wire.Manifest
	shards     []*shardState
	restarts   int
	isFinished bool
	// forwarded is the request that a peer forwarded to this instance, or nil for a caller's query.
	forwarded *ForwardedRequest
}

// shardState is the progress of one shard's sub-request.
type shardState struct {
	gather     *gather
	name       string
	weight     uint64
	rows       []*wire.Row
	isAnswered bool
	// tried are the upstreams that must not get this shard's sub-request again.
	tried    []string
	attempts []*attempt
	// queued is the sub-request's item in the queues, or nil if it is not queued.
	queued *queuer.Item[*task]
}

// task is a sub-request that is queued until a replica has a free slot.
type task struct {
	shard    *shardState
	kind     AttemptKind
	queuedAt time.Time
}

// attempt is one search request in flight to a replica or to the replica's owner.
type attempt struct {
	id      uint64
	shard   *shardState
	version uint64
	replica *registrar.Replica
	sentAt  time.Time
	// owner is the instance that the sub-request was forwarded to, or nil if it was sent directly to the replica.
	owner *router.Instance
	// upstreams are the upstreams that the owner may choose from.
	upstreams []string
}

func newGather(query Query, manifest *wire.Manifest) *gather {
	g := &gather{
		query: query,
	}
	g.pinVersion(manifest)
	return g
}

// pinVersion sets the version to search and discards all progress made on the previous one.
func (g *gather) pinVersion(manifest *wire.Manifest) {
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

func (g *gather) searchRequest(a *attempt) *wire.SearchRequest {
	return &wire.SearchRequest{
		Attempt: a.id,
		Service: g.query.Service,
		Shard:   a.shard.name,
		Version: g.manifest.GetVersion(),
		Query:   g.query.Text,
		Limit:   uint32(g.query.Limit),
	}
}

// deadline returns when gathering ends, early enough to deliver the answer before the caller's deadline.
func (g *gather) deadline() time.Time { return g.query.Deadline.Add(-answerMargin) }

// matches reports whether the reply is complete and belongs to this attempt.
func (a *attempt) matches(reply *wire.SearchResponse) bool {
	return reply.GetAttempt() == a.id &&
		reply.GetShard() == a.shard.name &&
		reply.GetVersion() == a.version &&
		reply.GetComplete() &&
		int(reply.GetRowCount()) == len(reply.GetRows())
}

func (s *shardState) removeAttempt(a *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(other *attempt) bool { return other == a })
}

// isPending reports whether a reply may still arrive.
func (s *shardState) isPending() bool {
	return !s.isAnswered && (len(s.attempts) > 0 || s.queued != nil)
}

// isUnplaced reports whether the shard has neither an answer nor a queued or in-flight sub-request.
func (s *shardState) isUnplaced() bool {
	return !s.isAnswered && !s.isPending()
}

// isSettled reports whether no shard is pending.
func (g *gather) isSettled() bool {
	return !slices.ContainsFunc(g.shards, (*shardState).isPending)
}

// reachableCoverage returns the coverage that is reached if every pending shard replies.
func (g *gather) reachableCoverage() uint32 {
	var coveredWeight uint64
	for _, s := range g.shards {
		if !s.isUnplaced() {
			coveredWeight += s.weight
		}
	}
	return versioner.Coverage(coveredWeight, versioner.TotalWeight(g.manifest))
}

// buildAnswer merges the rows received so far; reason applies only if shards are missing.
func (g *gather) buildAnswer(now time.Time, revision uint64, reason Reason) Answer {
	var coveredWeight uint64
	var missing []string
	var parts [][]*wire.Row
	for _, s := range g.shards {
		if !s.isAnswered {
			missing = append(missing, s.name)
			continue
		}
		coveredWeight += s.weight
		parts = append(parts, s.rows)
	}
	answer := Answer{
		Query:          g.query,
		Outcome:        wire.Outcome_OUTCOME_ANSWERED,
		Version:        g.manifest.GetVersion(),
		Coverage:       versioner.Coverage(coveredWeight, versioner.TotalWeight(g.manifest)),
		MissingShards:  missing,
		Rows:           merger.Merge(parts, g.query.Limit),
		ConfigRevision: revision,
		FinishedAt:     now,
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
