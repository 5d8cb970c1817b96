package scatterer

import (
	"slices"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/balancer"
	"pimentogate.example/pimentogate/internal/coordination/shedder"
)

const (
	// responseMargin is reserved between the end of waiting and the caller's deadline or the route's timeout.
	responseMargin = 15 * time.Millisecond
	// defaultTimeout applies if the caller sent no deadline.
	defaultTimeout = time.Minute
	// maxExtraRejections is how many replicas beyond the route's MaxRuns may be tried, to make up for replicas that rejected the request without running it.
	maxExtraRejections = 2
	// recheckInterval is the delay before a denied retry or hedge is reconsidered.
	recheckInterval = 10 * time.Millisecond
	// minHedgeDelay is the shortest delay before an attempt is hedged.
	minHedgeDelay = 3 * time.Millisecond
	// minAdmittedShareToHedge is the admitted share of a service's load below which stragglers are not hedged. A pause of a single replica leaves the share above it.
	minAdmittedShareToHedge = 0.97
	// minAnsweredShareToHedge is the share of shards that must have answered before the others are hedged. It tolerates the loss of one of four availability zones and some pauses.
	minAnsweredShareToHedge = 0.6
	// lateReplyShare is the share of the target latency for which replicas may work past the soft deadline, for requests that still lack required shards by then.
	lateReplyShare = 0.2
	// hedgeReplyMedians is the time that a hedge's reply takes, in median latencies of first attempts.
	hedgeReplyMedians = 1.25
	// defaultHedgeShare is the share of the target latency used as the hedge delay until a latency has been observed.
	defaultHedgeShare = 0.35
	// minObservedShare is the share of the target latency that an attempt must have had for its lateness to count as congestion.
	minObservedShare = 0.3
	// RetryAfterFailure is the Retry-After of a request that found no replica, failed or expired: about one short backoff of a replica.
	RetryAfterFailure = 250 * time.Millisecond
	// RetryAfterStopping is the Retry-After of a request that an instance which stops can't finish. Others serve meanwhile.
	RetryAfterStopping = 20 * time.Millisecond
	// RetryAfterMemory is the Retry-After of a request for which there is no memory. Requests in progress end meanwhile.
	RetryAfterMemory = 250 * time.Millisecond
	// retryAfterOverload is the Retry-After of a request that was refused because of load.
	retryAfterOverload = 100 * time.Millisecond
)

// Job is the state of one caller's request; it is not safe for concurrent use.
type Job struct {
	request  Request
	policies *Policies
	shards   []*shard
	// firstAttempts holds the first attempt of each shard.
	firstAttempts []Attempt
	class         string
	// softDeadline is when a partial answer becomes better than waiting, and hardDeadline is when waiting ends.
	softDeadline time.Time
	hardDeadline time.Time
	decision     *Decision
	// answeredShards counts the shards that have a reply, and deadShards those that get none, if deadShardsKnown is set.
	answeredShards  int
	deadShards      int
	deadShardsKnown bool
	// nextTick is the result of NextTick if nextTickKnown is set.
	nextTick      time.Time
	nextTickKnown bool
	// hasGivenUp is set once nothing more is sent, because what was not sent by then would be late.
	hasGivenUp bool
	// work is what is known of the request's work.
	work requestWork
	// screening guards the replicas against a request that may crash them.
	screening screening
	// isRegional is set if the request may go to some regions only.
	isRegional bool
}

// New returns a job that has sent no attempt yet.
func New(request Request, policies *Policies) *Job {
	r := request.Route
	if request.Deadline.IsZero() {
		request.Deadline = request.ArrivedAt.Add(defaultTimeout)
	}
	j := &Job{
		request:      request,
		policies:     policies,
		class:        r.Name,
		isRegional:   request.IsRegional(),
		hardDeadline: earlier(request.Deadline, request.ArrivedAt.Add(r.Timeout)).Add(-responseMargin),
	}
	allowance := policies.CallerAllowance + policies.Overrun.AllowanceFor(r.TargetLatency)
	j.softDeadline = earlier(request.ArrivedAt.Add(max(r.TargetLatency-allowance, r.TargetLatency/2)), j.hardDeadline)
	j.work.expected = policies.Balancer.ExpectedWork(j.class).Mean
	if !r.IsSharded() {
		j.addShards(r.ServiceFor(request.ID))
		return j
	}
	j.work.replies = make([]balancer.ReplyTime, 0, len(r.Shards))
	j.addShards(r.Shards...)
	return j
}

// addShards adds shards. Those of a request, and their first attempts, are allocated together.
func (j *Job) addShards(services ...string) {
	shards := make([]shard, len(services))
	j.shards = make([]*shard, len(services))
	j.firstAttempts = make([]Attempt, len(services))
	for i, service := range services {
		s := &shards[i]
		s.service = service
		s.possibleRuns = j.request.Runs[service]
		s.reachedReplica = s.possibleRuns > 0
		s.pending = s.pendingSpace[:0]
		s.triedReplicas = s.triedSpace[:0]
		j.shards[i] = s
	}
}

// Runs returns how many replicas of each service may have run the request.
func (j *Job) Runs() map[string]int {
	runs := map[string]int{}
	for _, s := range j.shards {
		if s.possibleRuns > 0 {
			runs[s.service] = s.possibleRuns
		}
	}
	return runs
}

// Decision returns the decision, or nil while there is none.
func (j *Job) Decision() *Decision { return j.decision }

// RecordWritten records when the answer was written to the caller. For a partial answer sent at the soft deadline, the delay since that deadline goes into the overrun estimate.
func (j *Job) RecordWritten(now time.Time) {
	if j.decision != nil && j.decision.Kind == Gathered && j.decision.Reason == ReasonCutAtTarget {
		j.policies.Overrun.Observe(now.Sub(j.softDeadline))
	}
}

// Pending returns the attempts in flight.
func (j *Job) Pending() []*Attempt {
	var attempts []*Attempt
	for _, s := range j.shards {
		attempts = append(attempts, s.pending...)
	}
	return attempts
}

// Start returns the first attempt of every shard. It refuses the request without sending anything if too few shards are free of congestion and have a replica that accepts an attempt now.
func (j *Job) Start(now time.Time) []*Attempt {
	if wait := j.screen(now); wait > 0 {
		j.setDecision(Decision{
			Kind:       Refused,
			Reason:     ReasonQuarantined,
			RetryAfter: wait,
		})
		return nil
	}
	if reason := j.unavailability(now); reason != ReasonNone {
		j.refuseUnavailable(reason)
		return nil
	}
	if wait := j.apportion(now); wait > 0 {
		j.setDecision(Decision{
			Kind:       Refused,
			Reason:     ReasonOverShare,
			RetryAfter: wait,
		})
		return nil
	}
	if !j.shedShards(now) {
		j.setDecision(Decision{
			Kind:       Refused,
			Reason:     ReasonCongested,
			RetryAfter: retryAfterOverload,
		})
		return nil
	}
	if wait := j.acceptDelay(now); wait > 0 {
		j.setDecision(Decision{
			Kind:       Refused,
			Reason:     ReasonLimited,
			RetryAfter: max(wait, retryAfterOverload),
		})
		return nil
	}
	if wait := j.rejectionDelay(now); wait > 0 {
		j.setDecision(Decision{
			Kind:       Refused,
			Reason:     ReasonRejecting,
			RetryAfter: wait,
		})
		return nil
	}
	j.noteChange()
	attempts := make([]*Attempt, 0, len(j.shards))
	for _, i := range j.sendOrder() {
		if s := j.shards[i]; !s.skipped {
			attempts = append(attempts, j.sendShard(now, i, s)...)
		}
	}
	j.tryDecide(now)
	return j.discardIfDecided(attempts)
}

// shedShards skips the congested shards of a sharded route, and reports whether enough are left for an answer.
func (j *Job) shedShards(now time.Time) bool {
	if !j.request.Route.IsSharded() {
		return true
	}
	admitted := 0
	for _, s := range j.shards {
		s.skipped = s.skipped || !j.policies.Shedder.Admit(now, j.traffic(s.service))
		if !s.skipped && j.policies.Balancer.CountAmong(now, s.service, j.allowsReplica) > 0 {
			admitted++
		}
	}
	return admitted >= j.requiredCount()
}

// acceptDelay returns how long it takes until replicas of enough shards for an answer accept an attempt, by their rate limits and pauses. Sending fewer would use up permits without an answer.
func (j *Job) acceptDelay(now time.Time) time.Duration {
	var sendTimes []time.Time
	accepting := 0
	for _, s := range j.shards {
		next, ok := j.policies.Balancer.NextSend(now, s.service, j.allowsReplica)
		switch {
		case !ok || s.skipped:
		case next.After(now):
			sendTimes = append(sendTimes, next)
		default:
			accepting++
		}
	}
	required := j.requiredCount() - accepting
	if required <= 0 || len(sendTimes) < required {
		return 0
	}
	slices.SortFunc(sendTimes, time.Time.Compare)
	return sendTimes[required-1].Sub(now)
}

func (j *Job) traffic(service string) shedder.Traffic {
	return shedder.Traffic{
		Service:  service,
		Class:    j.class,
		Priority: j.request.Priority(),
	}
}

// HandleOutcome handles the outcome of an attempt and returns the attempts to send next.
func (j *Job) HandleOutcome(now time.Time, a *Attempt, outcome Outcome) []*Attempt {
	return j.HandleResults(now, []Result{{
		Attempt: a,
		Outcome: outcome,
	}})
}

// HandleResults handles the outcomes of attempts that have ended together and returns the attempts to send next. No decision is made between two of them.
func (j *Job) HandleResults(now time.Time, results []Result) []*Attempt {
	for i := range results {
		a := results[i].Attempt
		s := j.shards[a.Shard]
		s.pending = slices.DeleteFunc(s.pending, func(other *Attempt) bool { return other == a })
		j.recordOutcome(now, a, results[i].Outcome)
	}
	if j.decision != nil {
		for i := range results {
			results[i].Outcome.Reply.Release()
		}
		return nil
	}
	var attempts []*Attempt
	for i := range results {
		attempts = append(attempts, j.applyResult(now, &results[i])...)
	}
	attempts = append(attempts, j.releaseShards(now)...)
	j.tryDecide(now)
	return j.discardIfDecided(attempts)
}

// applyResult updates the shard of an attempt and returns its next attempt. A merged reply takes the place of a single one, which can be left out while the merged one can't.
func (j *Job) applyResult(now time.Time, r *Result) []*Attempt {
	s := j.shards[r.Attempt.Shard]
	hadReply := s.reply != nil
	if hadReply && !r.Outcome.IsMerged {
		r.Outcome.Reply.Release()
		return nil
	}
	s.applyOutcome(r.Attempt, r.Outcome)
	if s.reply != nil && !hadReply {
		j.answeredShards++
		j.nextTickKnown = j.nextTickKnown && j.answeredShards != j.requiredCount()
	}
	j.updateScreening(r.Attempt, r.Outcome)
	if s.reply != nil {
		return nil
	}
	j.noteChange()
	if len(s.pending) > 0 {
		return nil
	}
	return j.sendShard(now, r.Attempt.Shard, s)
}

// noteChange has the shards that may still answer and the next tick determined anew. An answer alone makes the tick no earlier, except by the soft deadline.
func (j *Job) noteChange() {
	j.deadShardsKnown = false
	j.nextTickKnown = false
}

// Tick returns the hedges and postponed retries that are due, and decides the request if a deadline has passed.
func (j *Job) Tick(now time.Time) []*Attempt {
	if j.decision != nil {
		return nil
	}
	j.noteChange()
	var attempts []*Attempt
	for i, s := range j.shards {
		switch {
		case s.reply != nil:
		case !s.retryAt.IsZero() && !now.Before(s.retryAt):
			attempts = append(attempts, j.sendShard(now, i, s)...)
		case len(s.pending) == 1 && !now.Before(s.pending[0].hedgeAt):
			attempts = append(attempts, j.hedgeShard(now, i, s)...)
		}
	}
	j.tryDecide(now)
	return j.discardIfDecided(attempts)
}

// Withdrawal says which attempts that have had no connection are withdrawn.
type Withdrawal int

// The withdrawals of attempts.
const (
	WithdrawNone Withdrawal = iota
	// WithdrawDialing withdraws those for which a connection is being opened.
	WithdrawDialing
	// WithdrawAll withdraws also those that wait for a connection in use.
	WithdrawAll
)

// GiveUp returns which attempts are to be withdrawn before Tick is called, because their answers would be late: those to one service at the soft deadline, all at the hard one. No attempt follows them, so that a request that has reached no replica is refused.
func (j *Job) GiveUp(now time.Time) Withdrawal {
	switch {
	case j.decision != nil:
		return WithdrawNone
	case !now.Before(j.hardDeadline):
		j.hasGivenUp = true
		j.noteChange()
		return WithdrawAll
	case j.request.Route.IsSharded() || j.hasGivenUp || now.Before(j.softDeadline):
		return WithdrawNone
	default:
		j.hasGivenUp = true
		j.noteChange()
		return WithdrawDialing
	}
}

// LimitDeadline ends waiting at the given time if it would last longer.
func (j *Job) LimitDeadline(deadline time.Time) {
	j.hardDeadline = earlier(j.hardDeadline, deadline)
	j.softDeadline = earlier(j.softDeadline, deadline)
	j.noteChange()
}

// StopSending has no attempt follow those that are then withdrawn.
func (j *Job) StopSending() {
	j.hasGivenUp = true
	j.noteChange()
}

// NextTick returns when Tick is due next, or an earlier time.
func (j *Job) NextTick() time.Time {
	if !j.nextTickKnown {
		j.nextTick = j.findNextTick()
		j.nextTickKnown = true
	}
	return j.nextTick
}

func (j *Job) findNextTick() time.Time {
	next := j.hardDeadline
	if !j.request.Route.IsSharded() && !j.hasGivenUp {
		next = j.softDeadline
	}
	if j.request.Route.IsSharded() && j.answeredCount() >= j.requiredCount() {
		next = earlier(next, j.softDeadline)
	}
	for _, s := range j.shards {
		switch {
		case s.reply != nil:
		case !s.retryAt.IsZero():
			next = earlier(next, s.retryAt)
		case len(s.pending) == 1 && j.canHedge(s):
			next = earlier(next, s.pending[0].hedgeAt)
		}
	}
	return next
}

// discardIfDecided drops attempts that have not been sent when the decision is made.
func (j *Job) discardIfDecided(attempts []*Attempt) []*Attempt {
	if j.decision == nil {
		return attempts
	}
	for _, a := range attempts {
		s := j.shards[a.Shard]
		s.pending = slices.DeleteFunc(s.pending, func(other *Attempt) bool { return other == a })
		j.policies.Balancer.RecordEnd(a.Replica, a.StartedAt)
	}
	return nil
}

// recordOutcome updates the statistics of the replica and, for first attempts of sharded routes, those of the shedder.
func (j *Job) recordOutcome(now time.Time, a *Attempt, outcome Outcome) {
	b := j.policies.Balancer
	b.RecordEnd(a.Replica, a.StartedAt)
	if outcome.Notice != nil {
		b.RecordNotice(now, a.Replica, *outcome.Notice)
	}
	if j.isIsolated() && !outcome.IsResponse() {
		// The path to all replicas has failed, which says nothing about this one.
		return
	}
	j.recordSuspicion(now, a, outcome)
	elapsed := now.Sub(a.StartedAt)
	expired := !now.Before(a.Deadline)
	switch {
	case outcome.Kind == OutcomeReplied && outcome.Reply.IsSuccess():
		j.recordReplyTime(now, a, elapsed)
	case outcome.Kind == OutcomeRejected:
		b.RecordRejection(now, a.Replica)
	case outcome.Cause == CausePeerFailed, outcome.Cause == CauseNotAccepting:
	case outcome.Cause == CauseCancelled, expired && outcome.Kind != OutcomeBroken:
		if outcome.Kind != OutcomeUnsent {
			b.RecordMinLatency(now, a.Replica, j.work.known, elapsed)
		}
	default:
		b.RecordFailure(now, a.Replica)
	}
	if j.request.Route.IsSharded() && a.Kind == AttemptFirst {
		j.observeCongestion(now, a, outcome)
	}
}

// observeCongestion tells the shedder whether the attempt was rejected or too late to be useful. Attempts that were not sent because no connection could be opened, and those that had little time from the start, say nothing about the load of the service.
func (j *Job) observeCongestion(now time.Time, a *Attempt, outcome Outcome) {
	available := j.softDeadline.Sub(a.StartedAt)
	isUnreachable := outcome.Kind == OutcomeUnsent && outcome.Cause != CauseCancelled
	if isUnreachable || available < time.Duration(minObservedShare*float64(j.request.Route.TargetLatency)) {
		return
	}
	// An answer in the last quarter of the available time counts as congestion, since the next one may be too late.
	usefulUntil := a.StartedAt.Add(available * 3 / 4)
	isCongested := outcome.Kind == OutcomeRejected || now.After(usefulUntil)
	j.policies.Shedder.Observe(now, j.traffic(a.Service), isCongested)
	j.observeForApportioner(now, isCongested)
}

// CauseCancelled is the cause of an attempt that this instance cancelled. Its replica counts as slow, not as failed.
const CauseCancelled = "given-up"

// CauseNoConnection is the cause of an attempt that was withdrawn because it had no connection in time.
const CauseNoConnection = "no connection in time"

// CausePeerFailed is the cause of an attempt that a peer entry instance did not relay or returned no result for, because the call failed or the peer does not know the replica. It does not count against the replica.
const CausePeerFailed = "peer"

// CauseNotAccepting is the cause of an attempt that a peer entry instance did not relay because the replica accepts no requests from it. It does not count against the replica.
const CauseNotAccepting = "not-accepting"

// MinAdmittedShare returns the smallest admitted share among the request's services.
func (j *Job) MinAdmittedShare(now time.Time) float64 {
	minShare := 1.0
	for _, s := range j.shards {
		minShare = min(minShare, j.policies.Shedder.AdmittedShare(now, j.traffic(s.service)))
	}
	return minShare
}

// MinRetryBudget returns the smallest remaining share of the retry budget among the request's services.
func (j *Job) MinRetryBudget(now time.Time) float64 {
	minLeft := 1.0
	for _, s := range j.shards {
		minLeft = min(minLeft, j.policies.RetryBudget(s.service).RemainingShare(now))
	}
	return minLeft
}

// Refuse refuses a job of which nothing was sent.
func (j *Job) Refuse(reason Reason) {
	j.setDecision(Decision{
		Kind:       Refused,
		Reason:     reason,
		RetryAfter: RetryAfterFailure,
	})
}

// isIsolated reports whether the job was abandoned because this instance reaches no replica.
func (j *Job) isIsolated() bool { return j.decision != nil && j.decision.Reason == ReasonIsolated }

// Abandon ends a job that has no decision yet for the given reason. The request is refused if nothing of it was sent.
func (j *Job) Abandon(reason Reason) {
	if j.decision != nil {
		return
	}
	d := Decision{
		Kind:       Failed,
		Reason:     reason,
		RetryAfter: RetryAfterFailure,
	}
	if len(j.Runs()) == 0 {
		d.Kind = Refused
	}
	j.setDecision(d)
}
