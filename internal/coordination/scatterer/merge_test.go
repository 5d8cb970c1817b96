package scatterer

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/merger"
)

// mergeFixture plays a request whose first attempts are answered in merged messages and whose other attempts are answered singly.
type mergeFixture struct {
	t      *testing.T
	random *rand.Rand
	job    *Job
	now    time.Time
	// messages holds the first attempts that are answered together, and singles the other attempts.
	messages [][]*Attempt
	singles  []*Attempt
	// records holds the records of each stamp.
	records map[string][]byte
}

func newMergeFixture(t *testing.T, seed uint64) *mergeFixture {
	const shards = 12
	mf := &mergeFixture{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     start,
		records: map[string][]byte{},
	}
	mf.job = newJob(shardedRoute(shards, 0.5), newPolicies(100, shardNames(shards)...))
	first := mf.job.Start(start)
	mf.random.Shuffle(len(first), func(i, j int) { first[i], first[j] = first[j], first[i] })
	for len(first) > 0 {
		size := min(len(first), 1+mf.random.IntN(4))
		mf.messages = append(mf.messages, first[:size])
		first = first[size:]
	}
	return mf
}

// newReply returns a success with three records of its own.
func (mf *mergeFixture) newReply(a *Attempt) *Reply {
	stamp := fmt.Sprintf("%s/%s", a.Replica.ID, a.Kind)
	for range 3 {
		record := fmt.Sprintf("%016d", mf.random.IntN(1_000_000))
		mf.records[stamp] = append(mf.records[stamp], record...)
	}
	return &Reply{
		Status: 200,
		Stamp:  stamp,
		Body:   mf.records[stamp],
	}
}

// answerMessage answers the first attempts of one message, some of them with a failure.
func (mf *mergeFixture) answerMessage() []*Attempt {
	group := mf.messages[0]
	mf.messages = mf.messages[1:]
	var results []Result
	var bodies [][]byte
	firstMerged := -1
	for i, a := range group {
		outcome := replied(500)
		if mf.random.IntN(8) > 0 {
			outcome.Reply = mf.newReply(a)
			outcome.IsMerged = true
			bodies = append(bodies, outcome.Reply.Body)
			outcome.Reply.Body = nil
			if firstMerged < 0 {
				firstMerged = i
			}
		}
		results = append(results, Result{
			Attempt: a,
			Outcome: outcome,
		})
	}
	if firstMerged >= 0 {
		results[firstMerged].Outcome.Reply.Body = merger.TopRecords(bodies, mf.job.request.Route.TopK)
	}
	return mf.job.HandleResults(mf.now, results)
}

func (mf *mergeFixture) answerSingle() []*Attempt {
	i := mf.random.IntN(len(mf.singles))
	a := mf.singles[i]
	mf.singles = append(mf.singles[:i], mf.singles[i+1:]...)
	outcome := replied(200)
	outcome.Reply = mf.newReply(a)
	return mf.job.HandleOutcome(mf.now, a, outcome)
}

// step lets time pass, or answers a message or a single attempt.
func (mf *mergeFixture) step() {
	var sent []*Attempt
	switch choice := mf.random.IntN(3); {
	case choice == 0 && len(mf.messages) > 0:
		sent = mf.answerMessage()
	case choice == 1 && len(mf.singles) > 0:
		sent = mf.answerSingle()
	default:
		mf.now = mf.now.Add(time.Duration(mf.random.IntN(12)) * time.Millisecond)
		sent = mf.job.Tick(mf.now)
	}
	mf.singles = append(mf.singles, sent...)
}

// requireTrueAnswer checks that the merged records are those of the parts that the answer names.
func (mf *mergeFixture) requireTrueAnswer() {
	mf.t.Helper()
	d := mf.job.Decision()
	var bodies, parts [][]byte
	for _, reply := range d.Replies {
		bodies = append(bodies, reply.Body)
		parts = append(parts, mf.records[reply.Stamp])
	}
	topK := mf.job.request.Route.TopK
	if got, want := merger.TopRecords(bodies, topK), merger.TopRecords(parts, topK); !bytes.Equal(got, want) {
		mf.t.Errorf("records %s of %d parts, want %s", got, len(parts), want)
	}
	if named := len(d.Replies) + d.MissingShards; named != len(mf.job.shards) {
		mf.t.Errorf("%d shards are in the answer or missing from it, of %d", named, len(mf.job.shards))
	}
}

// TestMergedRepliesStayTogether guards against an answer that holds records of a part that it doesn't name, or of two replicas of one shard.
func TestMergedRepliesStayTogether(t *testing.T) {
	answered, cut := 0, 0
	for seed := range uint64(3000) {
		mf := newMergeFixture(t, seed)
		for mf.job.Decision() == nil {
			mf.step()
		}
		d := mf.job.Decision()
		if d.Kind != Gathered {
			continue
		}
		answered++
		if d.MissingShards > 0 {
			cut++
		}
		mf.requireTrueAnswer()
	}
	if answered < 1000 || cut < 100 {
		t.Errorf("%d answers, %d of them partial", answered, cut)
	}
}
