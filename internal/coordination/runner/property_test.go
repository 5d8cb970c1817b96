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
		w := &simulation{
			t:        t,
			now:      time.UnixMilli(1_000_000),
			ledger:   claimer.New(),
			nextCall: map[string]uint32{},
		}
		w.ledger.Advance(w.now.UnixMilli())
		t.Repeat(map[string]func(*rapid.T){
			"call":             w.call,
			"journal claim":    w.journalClaim,
			"return verdict":   w.returnVerdict,
			"lose claim reply": w.loseClaimReply,
			"end dispatch":     w.endDispatch,
			"journal record":   w.journalRecord,
			"crash entry":      w.crash,
			"restart state":    func(*rapid.T) { w.ledger = claimer.Restore(w.ledger.NowMs(), w.ledger.Claims()) },
			"pass time":        w.advanceTime,
			"":                 func(*rapid.T) { w.checkInvariants() },
		})
		w.finishCalls()
		w.checkInvariants()
		w.checkNoStaleHolders()
	})
}

func (w *simulation) call(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	number := w.nextCall[key]
	w.nextCall[key]++
	l := &simulatedCall{
		request: Request{
			ClaimID:    fmt.Sprintf("%s-%d", key, number),
			Service:    "s",
			Key:        key,
			KeyTimeMs:  1_000_000,
			BodyDigest: key,
			Call:       number,
			Deadline:   w.now.Add(time.Second),
		},
	}
	targets := make([]Target, rapid.IntRange(0, 2).Draw(t, "targets"))
	l.run = New(l.request, uint64(len(w.calls)), targets)
	w.calls = append(w.calls, l)
	l.applyStep(l.run.Start(w.now))
}

func (l *simulatedCall) applyStep(step Step) {
	switch {
	case step.Claim != nil:
		l.claim = step.Claim
	case step.Dispatch != nil:
		l.dispatch = step.Dispatch
	default:
		l.answer = step.Answer
		if step.Record != nil {
			l.records = append(l.records, step.Record)
		}
	}
}

// drawCall draws one of the matching calls, or skips the action if there is none.
func (w *simulation) drawCall(t *rapid.T, matches func(*simulatedCall) bool) *simulatedCall {
	var matching []*simulatedCall
	for _, l := range w.calls {
		if matches(l) {
			matching = append(matching, l)
		}
	}
	if len(matching) == 0 {
		t.Skip("no call matches")
	}
	return rapid.SampledFrom(matching).Draw(t, "call")
}

func (l *simulatedCall) awaitsVerdict() bool {
	return !l.crashed && l.answer == nil && l.dispatch == nil
}

// journalClaim applies a claim command, which may be late or repeated, even after its holder gave up or
// crashed.
func (w *simulation) journalClaim(t *rapid.T) {
	l := w.drawCall(t, func(l *simulatedCall) bool { return l.claim != nil })
	l.verdicts = append(l.verdicts, w.ledger.Claim(l.claim))
}

func (w *simulation) returnVerdict(t *rapid.T) {
	l := w.drawCall(t, func(l *simulatedCall) bool { return l.awaitsVerdict() && len(l.verdicts) > 0 })
	l.applyStep(l.run.HandleVerdict(w.now, rapid.SampledFrom(l.verdicts).Draw(t, "verdict")))
}

func (w *simulation) loseClaimReply(t *rapid.T) {
	l := w.drawCall(t, (*simulatedCall).awaitsVerdict)
	l.applyStep(l.run.HandleClaimFailure())
}

func (w *simulation) endDispatch(t *rapid.T) {
	l := w.drawCall(t, func(l *simulatedCall) bool { return !l.crashed && l.answer == nil && l.dispatch != nil })
	attempt := l.dispatch.Request.GetAttempt()
	l.dispatch = nil
	end := DispatchResult{}
	switch rapid.SampledFrom([]string{"not written", "refused", "lost before start", "lost after start", "reply for another attempt", "answered"}).Draw(t, "end") {
	case "not written":
		end.NotWritten = true
	case "refused":
		end.NotStarted = w.canStart(l)
	case "lost before start":
	case "lost after start":
		l.started = w.canStart(l)
	case "reply for another attempt":
		l.started = w.canStart(l)
		end.Response = &wire.RunResponse{
			Attempt: attempt + 1000,
		}
	case "answered":
		l.started = w.canStart(l)
		end.NotWritten = !l.started
		if l.started {
			end.Response = &wire.RunResponse{
				Attempt: attempt,
				Result:  l.request.ClaimID,
			}
		}
	}
	l.applyStep(l.run.HandleDispatchResult(w.now, end))
}

// canStart is the sender's last check before the first byte.
func (w *simulation) canStart(l *simulatedCall) bool { return l.run.MayWrite(w.now) }

func (w *simulation) journalRecord(t *rapid.T) {
	l := w.drawCall(t, func(l *simulatedCall) bool { return len(l.records) > 0 })
	w.ledger.Record(l.records[0])
}

func (w *simulation) crash(t *rapid.T) {
	l := w.drawCall(t, func(l *simulatedCall) bool { return !l.crashed })
	// A dispatched request can start after the entry instance has crashed.
	l.started = l.started || (l.dispatch != nil && w.canStart(l) && rapid.Bool().Draw(t, "reached"))
	l.crashed = true
}

func (w *simulation) advanceTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	w.ledger.Advance(w.now.UnixMilli())
}

// finishCalls ends every open call and delivers every message.
func (w *simulation) finishCalls() {
	for _, l := range w.calls {
		if l.awaitsVerdict() {
			l.applyStep(l.run.HandleClaimFailure())
		}
		if l.answer == nil && !l.crashed {
			l.applyStep(l.run.HandleDispatchResult(w.now.Add(time.Hour), DispatchResult{
				NotWritten: true,
			}))
		}
	}
	for range 2 {
		for _, l := range w.calls {
			for _, record := range l.records {
				w.ledger.Record(record)
			}
			if l.claim != nil {
				w.ledger.Claim(l.claim)
			}
		}
	}
}

func (w *simulation) checkInvariants() {
	startedBy := map[string]string{}
	for _, l := range w.calls {
		if !l.started {
			continue
		}
		if other, ok := startedBy[l.request.Key]; ok {
			w.t.Fatalf("key %s started by %s and by %s", l.request.Key, other, l.request.ClaimID)
		}
		startedBy[l.request.Key] = l.request.ClaimID
	}
	for _, l := range w.calls {
		if l.answer != nil {
			w.checkAnswer(l, startedBy[l.request.Key])
		}
	}
}

func (w *simulation) checkAnswer(l *simulatedCall, startedBy string) {
	switch l.answer.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		if l.started {
			w.t.Fatalf("%s was answered not-run, but it started", l.request.ClaimID)
		}
		if l.answer.EarlierCalls == EarlierNone {
			w.checkNoEarlierStart(l)
		}
	case wire.Outcome_OUTCOME_ANSWERED:
		if startedBy == "" || l.answer.Result != startedBy {
			w.t.Fatalf("%s was answered %q, but the request was started by %q", l.request.ClaimID, l.answer.Result, startedBy)
		}
	default:
	}
}

// checkNoEarlierStart runs after every action, because an answer about earlier calls must also hold later.
func (w *simulation) checkNoEarlierStart(l *simulatedCall) {
	for _, other := range w.calls {
		if other.request.Key == l.request.Key && other.request.Call <= l.request.Call && other.started {
			w.t.Fatalf("%s was answered that no earlier call ran, but %s did", l.request.ClaimID, other.request.ClaimID)
		}
	}
}

// checkNoStaleHolders checks that every key is free or has an outcome, except for keys whose holder crashed.
func (w *simulation) checkNoStaleHolders() {
	crashed := map[string]bool{}
	for _, l := range w.calls {
		crashed[l.request.ClaimID] = l.crashed
	}
	for _, state := range w.ledger.Claims() {
		holder := state.GetClaim().GetClaimId()
		if state.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED && !crashed[holder] {
			w.t.Fatalf("key %s is held by %s, which has given up", state.GetClaim().GetKey(), holder)
		}
	}
}
