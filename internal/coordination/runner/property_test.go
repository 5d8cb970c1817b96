package runner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentogate.example/pimentogate/internal/state/claimer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// simulatedCall is one call on one entry instance, with all its messages that may still arrive.
type simulatedCall struct {
	run      *Run
	request  Request
	claim    *wire.ClaimRequest
	verdicts []*wire.ClaimResponse
	dispatch *Dispatch
	records  []*wire.RecordRequest
	answer   *Answer
	crashed  bool
	started  bool
}

// simulation is a ledger, the calls on several entry instances and the requests that upstreams have started.
type simulation struct {
	t        *rapid.T
	now      time.Time
	ledger   *claimer.Ledger
	calls    []*simulatedCall
	nextCall map[string]uint32
}

func TestRunsAtMostOnceUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:        t,
			now:      time.UnixMilli(1_000_000),
			ledger:   claimer.New(),
			nextCall: map[string]uint32{},
		}
		s.ledger.Advance(s.now.UnixMilli())
		t.Repeat(map[string]func(*rapid.T){
			"call":             s.call,
			"journal claim":    s.journalClaim,
			"return verdict":   s.returnVerdict,
			"lose claim reply": s.loseClaimReply,
			"end dispatch":     s.endDispatch,
			"journal record":   s.journalRecord,
			"crash entry":      s.crash,
			"restart state":    func(*rapid.T) { s.ledger = claimer.Restore(s.ledger.NowMs(), s.ledger.Claims()) },
			"pass time":        s.advanceTime,
			"":                 func(*rapid.T) { s.checkInvariants() },
		})
		s.finishCalls()
		s.checkInvariants()
		s.checkNoStaleHolders()
	})
}

func (s *simulation) call(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	number := s.nextCall[key]
	s.nextCall[key]++
	c := &simulatedCall{
		request: Request{
			ClaimID:    fmt.Sprintf("%s-%d", key, number),
			Service:    "s",
			Key:        key,
			KeyTimeMs:  1_000_000,
			BodyDigest: key,
			Call:       number,
			Deadline:   s.now.Add(time.Second),
		},
	}
	targets := make([]Target, rapid.IntRange(0, 2).Draw(t, "targets"))
	c.run = New(c.request, uint64(len(s.calls)), targets)
	s.calls = append(s.calls, c)
	c.applyStep(c.run.Start(s.now))
}

func (c *simulatedCall) applyStep(step Step) {
	switch {
	case step.Claim != nil:
		c.claim = step.Claim
	case step.Dispatch != nil:
		c.dispatch = step.Dispatch
	default:
		c.answer = step.Answer
		if step.Record != nil {
			c.records = append(c.records, step.Record)
		}
	}
}

// drawCall draws one of the matching calls, or skips the action if there is none.
func (s *simulation) drawCall(t *rapid.T, matches func(*simulatedCall) bool) *simulatedCall {
	var matching []*simulatedCall
	for _, c := range s.calls {
		if matches(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		t.Skip("no call matches")
	}
	return rapid.SampledFrom(matching).Draw(t, "call")
}

func (c *simulatedCall) awaitsVerdict() bool {
	return !c.crashed && c.answer == nil && c.dispatch == nil
}

// journalClaim applies a claim command, which may be late or repeated, even after its holder gave up or
// crashed.
func (s *simulation) journalClaim(t *rapid.T) {
	c := s.drawCall(t, func(c *simulatedCall) bool { return c.claim != nil })
	c.verdicts = append(c.verdicts, s.ledger.Claim(c.claim))
}

func (s *simulation) returnVerdict(t *rapid.T) {
	c := s.drawCall(t, func(c *simulatedCall) bool { return c.awaitsVerdict() && len(c.verdicts) > 0 })
	c.applyStep(c.run.HandleVerdict(s.now, rapid.SampledFrom(c.verdicts).Draw(t, "verdict")))
}

func (s *simulation) loseClaimReply(t *rapid.T) {
	c := s.drawCall(t, (*simulatedCall).awaitsVerdict)
	c.applyStep(c.run.HandleClaimFailure())
}

func (s *simulation) endDispatch(t *rapid.T) {
	c := s.drawCall(t, func(c *simulatedCall) bool { return !c.crashed && c.answer == nil && c.dispatch != nil })
	attempt := c.dispatch.Request.GetAttempt()
	c.dispatch = nil
	end := DispatchResult{}
	switch rapid.SampledFrom([]string{"not written", "refused", "lost before start", "lost after start", "reply for another attempt", "answered"}).Draw(t, "end") {
	case "not written":
		end.NotWritten = true
	case "refused":
		end.NotStarted = s.canStart(c)
	case "lost before start":
	case "lost after start":
		c.started = s.canStart(c)
	case "reply for another attempt":
		c.started = s.canStart(c)
		end.Response = &wire.RunResponse{
			Attempt: attempt + 1000,
		}
	case "answered":
		c.started = s.canStart(c)
		end.NotWritten = !c.started
		if c.started {
			end.Response = &wire.RunResponse{
				Attempt: attempt,
				Result:  c.request.ClaimID,
			}
		}
	}
	c.applyStep(c.run.HandleDispatchResult(s.now, end))
}

// canStart is the sender's last check before the first byte.
func (s *simulation) canStart(c *simulatedCall) bool { return c.run.MayWrite(s.now) }

func (s *simulation) journalRecord(t *rapid.T) {
	c := s.drawCall(t, func(c *simulatedCall) bool { return len(c.records) > 0 })
	s.ledger.Record(c.records[0])
}

func (s *simulation) crash(t *rapid.T) {
	c := s.drawCall(t, func(c *simulatedCall) bool { return !c.crashed })
	// A dispatched request can start after the entry instance has crashed.
	c.started = c.started || (c.dispatch != nil && s.canStart(c) && rapid.Bool().Draw(t, "reached"))
	c.crashed = true
}

func (s *simulation) advanceTime(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	s.ledger.Advance(s.now.UnixMilli())
}

// finishCalls ends every open call and delivers every message.
func (s *simulation) finishCalls() {
	for _, c := range s.calls {
		if c.awaitsVerdict() {
			c.applyStep(c.run.HandleClaimFailure())
		}
		if c.answer == nil && !c.crashed {
			c.applyStep(c.run.HandleDispatchResult(s.now.Add(time.Hour), DispatchResult{
				NotWritten: true,
			}))
		}
	}
	for range 2 {
		for _, c := range s.calls {
			for _, record := range c.records {
				s.ledger.Record(record)
			}
			if c.claim != nil {
				s.ledger.Claim(c.claim)
			}
		}
	}
}

func (s *simulation) checkInvariants() {
	startedBy := map[string]string{}
	for _, c := range s.calls {
		if !c.started {
			continue
		}
		if other, ok := startedBy[c.request.Key]; ok {
			s.t.Fatalf("key %s started by %s and by %s", c.request.Key, other, c.request.ClaimID)
		}
		startedBy[c.request.Key] = c.request.ClaimID
	}
	for _, c := range s.calls {
		if c.answer != nil {
			s.checkAnswer(c, startedBy[c.request.Key])
		}
	}
}

func (s *simulation) checkAnswer(c *simulatedCall, startedBy string) {
	switch c.answer.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		if c.started {
			s.t.Fatalf("%s was answered not-run, but it started", c.request.ClaimID)
		}
		if c.answer.EarlierCalls == EarlierNone {
			s.checkNoEarlierStart(c)
		}
	case wire.Outcome_OUTCOME_ANSWERED:
		if startedBy == "" || c.answer.Result != startedBy {
			s.t.Fatalf("%s was answered %q, but the request was started by %q", c.request.ClaimID, c.answer.Result, startedBy)
		}
	default:
	}
}

// checkNoEarlierStart runs after every action, because an answer about earlier calls must also hold later.
func (s *simulation) checkNoEarlierStart(c *simulatedCall) {
	for _, other := range s.calls {
		if other.request.Key == c.request.Key && other.request.Call <= c.request.Call && other.started {
			s.t.Fatalf("%s was answered that no earlier call ran, but %s did", c.request.ClaimID, other.request.ClaimID)
		}
	}
}

// checkNoStaleHolders checks that every key is free or has an outcome, except for keys whose holder crashed.
func (s *simulation) checkNoStaleHolders() {
	crashed := map[string]bool{}
	for _, c := range s.calls {
		crashed[c.request.ClaimID] = c.crashed
	}
	for _, state := range s.ledger.Claims() {
		holder := state.GetClaim().GetClaimId()
		if state.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED && !crashed[holder] {
			s.t.Fatalf("key %s is held by %s, which has given up", state.GetClaim().GetKey(), holder)
		}
	}
}
