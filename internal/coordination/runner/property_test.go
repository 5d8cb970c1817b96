package runner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pimentogate.example/pimentogate/internal/state/claimer"
	"pimentogate.example/pimentogate/pkg/wire"
)

// life is one call on one entry instance, and every message of it that may still arrive.
type life struct {
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

// world is a ledger, the calls on several entry instances, and what upstreams started.
type world struct {
	t      *rapid.T
	now    time.Time
	ledger *claimer.Ledger
	lives  []*life
	calls  map[string]uint32
}

func TestRunsAtMostOnceUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:      t,
			now:    time.UnixMilli(1_000_000),
			ledger: claimer.New(),
			calls:  map[string]uint32{},
		}
		w.ledger.Advance(w.now.UnixMilli())
		t.Repeat(map[string]func(*rapid.T){
			"call":          w.call,
			"land claim":    w.landClaim,
			"take verdict":  w.takeVerdict,
			"lose claim":    w.loseClaim,
			"end dispatch":  w.endDispatch,
			"land record":   w.landRecord,
			"crash entry":   w.crash,
			"restart state": func(*rapid.T) { w.ledger = claimer.Restore(w.ledger.NowMs(), w.ledger.Claims()) },
			"pass time":     w.passTime,
			"":              func(*rapid.T) { w.check() },
		})
		w.settle()
		w.check()
		w.checkNoneHeldInVain()
	})
}

func (w *world) call(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
	number := w.calls[key]
	w.calls[key]++
	l := &life{
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
	l.run = New(l.request, uint64(len(w.lives)), targets)
	w.lives = append(w.lives, l)
	l.follow(l.run.Start(w.now))
}

func (l *life) follow(step Step) {
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

// pick draws one of the calls that fit, or skips the action.
func (w *world) pick(t *rapid.T, fits func(*life) bool) *life {
	var fitting []*life
	for _, l := range w.lives {
		if fits(l) {
			fitting = append(fitting, l)
		}
	}
	if len(fitting) == 0 {
		t.Skip("no call fits")
	}
	return rapid.SampledFrom(fitting).Draw(t, "call")
}

func (l *life) waitsForVerdict() bool {
	return !l.crashed && l.answer == nil && l.dispatch == nil
}

// landClaim applies a claim command, which may be late or repeated, also after its holder gave up or crashed.
func (w *world) landClaim(t *rapid.T) {
	l := w.pick(t, func(l *life) bool { return l.claim != nil })
	l.verdicts = append(l.verdicts, w.ledger.Claim(l.claim))
}

func (w *world) takeVerdict(t *rapid.T) {
	l := w.pick(t, func(l *life) bool { return l.waitsForVerdict() && len(l.verdicts) > 0 })
	l.follow(l.run.Claimed(w.now, rapid.SampledFrom(l.verdicts).Draw(t, "verdict")))
}

func (w *world) loseClaim(t *rapid.T) {
	l := w.pick(t, (*life).waitsForVerdict)
	l.follow(l.run.ClaimFailed())
}

func (w *world) endDispatch(t *rapid.T) {
	l := w.pick(t, func(l *life) bool { return !l.crashed && l.answer == nil && l.dispatch != nil })
	attempt := l.dispatch.Request.GetAttempt()
	l.dispatch = nil
	end := DispatchEnd{}
	switch rapid.SampledFrom([]string{"not written", "refused", "lost before start", "lost after start", "another's reply", "answered"}).Draw(t, "end") {
	case "not written":
		end.NotWritten = true
	case "refused":
		end.NotStarted = w.mayStart(l)
	case "lost before start":
	case "lost after start":
		l.started = w.mayStart(l)
	case "another's reply":
		l.started = w.mayStart(l)
		end.Response = &wire.RunResponse{
			Attempt: attempt + 1000,
		}
	case "answered":
		l.started = w.mayStart(l)
		end.NotWritten = !l.started
		if l.started {
			end.Response = &wire.RunResponse{
				Attempt: attempt,
				Result:  l.request.ClaimID,
			}
		}
	}
	l.follow(l.run.Dispatched(w.now, end))
}

// mayStart is the sender's last question before the first byte.
func (w *world) mayStart(l *life) bool { return l.run.MayWrite(w.now) }

func (w *world) landRecord(t *rapid.T) {
	l := w.pick(t, func(l *life) bool { return len(l.records) > 0 })
	w.ledger.Record(l.records[0])
}

func (w *world) crash(t *rapid.T) {
	l := w.pick(t, func(l *life) bool { return !l.crashed })
	// What was dispatched can start after the entry instance is gone.
	l.started = l.started || (l.dispatch != nil && w.mayStart(l) && rapid.Bool().Draw(t, "reached"))
	l.crashed = true
}

func (w *world) passTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
	w.ledger.Advance(w.now.UnixMilli())
}

// settle ends every call that is left, and lands every message.
func (w *world) settle() {
	for _, l := range w.lives {
		if l.waitsForVerdict() {
			l.follow(l.run.ClaimFailed())
		}
		if l.answer == nil && !l.crashed {
			l.follow(l.run.Dispatched(w.now.Add(time.Hour), DispatchEnd{
				NotWritten: true,
			}))
		}
	}
	for range 2 {
		for _, l := range w.lives {
			for _, record := range l.records {
				w.ledger.Record(record)
			}
			if l.claim != nil {
				w.ledger.Claim(l.claim)
			}
		}
	}
}

func (w *world) check() {
	starts := map[string]string{}
	for _, l := range w.lives {
		if !l.started {
			continue
		}
		if other, ok := starts[l.request.Key]; ok {
			w.t.Fatalf("key %s started by %s and by %s", l.request.Key, other, l.request.ClaimID)
		}
		starts[l.request.Key] = l.request.ClaimID
	}
	for _, l := range w.lives {
		if l.answer != nil {
			w.checkAnswer(l, starts[l.request.Key])
		}
	}
}

func (w *world) checkAnswer(l *life, startedBy string) {
	switch l.answer.Outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		if l.started {
			w.t.Fatalf("%s was told not-run and started", l.request.ClaimID)
		}
		if l.answer.Earlier == EarlierNone {
			w.checkNoEarlier(l)
		}
	case wire.Outcome_OUTCOME_ANSWERED:
		if startedBy == "" || l.answer.Result != startedBy {
			w.t.Fatalf("%s was answered %q, started by %q", l.request.ClaimID, l.answer.Result, startedBy)
		}
	default:
	}
}

// checkNoEarlier holds for good: what was said of earlier calls must not become untrue later.
func (w *world) checkNoEarlier(l *life) {
	for _, other := range w.lives {
		if other.request.Key == l.request.Key && other.request.Call <= l.request.Call && other.started {
			w.t.Fatalf("%s was told that no earlier call ran, and %s did", l.request.ClaimID, other.request.ClaimID)
		}
	}
}

// checkNoneHeldInVain wants every key free or ended, but for those whose holder crashed.
func (w *world) checkNoneHeldInVain() {
	crashed := map[string]bool{}
	for _, l := range w.lives {
		crashed[l.request.ClaimID] = l.crashed
	}
	for _, state := range w.ledger.Claims() {
		holder := state.GetClaim().GetClaimId()
		if state.GetOutcome() == wire.Outcome_OUTCOME_UNSPECIFIED && !crashed[holder] {
			w.t.Fatalf("key %s is held by %s, which has given up", state.GetClaim().GetKey(), holder)
		}
	}
}
