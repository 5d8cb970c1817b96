package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pimentogate.example/pimentogate/internal/protocol/parser"
)

const (
	// slowWork is long enough for a fault to fall into a run.
	slowWork = 300 * time.Millisecond
	// linkDelay keeps a claim or a record on its way for long enough that a fault falls before it lands.
	linkDelay = 250 * time.Millisecond
	settled   = 15 * time.Second
)

// call is one send of a non-idempotent request.
type call struct {
	key     string
	at      time.Time
	resend  int
	timeout time.Duration
}

func newCall(key string) call {
	return call{
		key:     key,
		at:      time.Now(),
		timeout: runTimeout,
	}
}

func (c call) again() call {
	c.resend++
	return c
}

func (c call) body() map[string]any {
	return map[string]any{
		"key":        c.key,
		"key-time":   c.at.UTC().Format(time.RFC3339),
		"body":       "body of " + c.key,
		"resend":     c.resend,
		"timeout-ms": c.timeout.Milliseconds(),
	}
}

func (p *process) send(c call) (parser.RunAnswer, int) {
	var answer parser.RunAnswer
	status := p.post("run", c.body(), &answer)
	return answer, status
}

// sendAsync sends in the background; an answer that was lost comes as an empty one.
func (p *process) sendAsync(c call) <-chan parser.RunAnswer {
	told := make(chan parser.RunAnswer, 1)
	go func() {
		answer, _ := p.send(c)
		told <- answer
	}()
	return told
}

// sendAndLeave sends, and goes away before the answer as soon as gone is closed.
func (p *process) sendAndLeave(gone context.Context, c call) {
	encoded, err := json.Marshal(c.body())
	check(p.t, err)
	url := fmt.Sprintf("http://%s/v1/services/%s/run", p.callers, service)
	request, err := http.NewRequestWithContext(gone, http.MethodPost, url, bytes.NewReader(encoded))
	check(p.t, err)
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

// delay holds up one direction of the entry instance's links to control.
func (f *fleet) delay(e *process, way string) {
	for _, c := range f.controls {
		toxic := fmt.Sprintf(`{"name":"delay-%s","type":"latency","stream":%q,"attributes":{"latency":%d}}`, way, way, linkDelay.Milliseconds())
		_, err := f.proxies[linkName(e.name, c.name)].Toxics.AddToxicJson(bytes.NewBufferString(toxic))
		check(f.t, err)
	}
}

func (f *fleet) healControl(e *process) {
	for _, c := range f.controls {
		f.heal(e.name, c.name)
	}
}

func (f *fleet) cutControl(e *process) {
	for _, c := range f.controls {
		f.cut(e.name, c.name)
	}
}

// waitStarted waits until an upstream says that it started the key.
func (f *fleet) waitStarted(key string) {
	f.t.Helper()
	waitFor(f.t, settled, key+" is started", func() bool { return f.runsOf(key) > 0 })
}

// waitRecorded resends through the entry instance until it gets a recorded outcome.
func (f *fleet) waitRecorded(e *process, c call) parser.RunAnswer {
	f.t.Helper()
	var answer parser.RunAnswer
	waitFor(f.t, settled, c.key+" has a recorded outcome", func() bool {
		c = c.again()
		answer, _ = e.send(c)
		return answer.Repeated
	})
	return answer
}

// waitServing waits until every entry instance runs non-idempotent requests.
func (f *fleet) waitServing() {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, settled, e.name+" runs requests", func() bool {
			answer, _ := e.send(newCall(fmt.Sprintf("probe-%s-%d", e.name, time.Now().UnixNano())))
			return answer.Outcome == "answered"
		})
	}
}

// checkStarts compares what upstreams started with what the caller was told.
func (f *fleet) checkStarts(c call, told parser.RunAnswer) {
	f.t.Helper()
	starts := f.runsOf(c.key)
	if starts > 1 || (told.Outcome == "not-run" && starts > 0) || (told.Outcome == "answered" && starts != 1) {
		f.t.Errorf("%s: told %+v, started %d times", c.key, told, starts)
	}
}

func claimsFleet(t *testing.T) *fleet {
	f := newFleet(t, plan{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   1,
		replicas: 2,
		workMs:   float64(slowWork.Milliseconds()),
		links:    true,
	})
	f.waitServing()
	return f
}

func TestSameKeyThroughEveryEntryAtOnce(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   1,
		replicas: 2,
		workMs:   20,
	})
	f.waitServing()
	for i := range 20 {
		c := newCall(fmt.Sprintf("at-once-%d", i))
		var told []<-chan parser.RunAnswer
		for _, e := range f.entries {
			told = append(told, e.sendAsync(c))
		}
		result := ""
		for _, answers := range told {
			answer := <-answers
			if answer.Outcome == "answered" {
				result = answer.Result
			} else if answer.Outcome != "unknown" || answer.RetryAfterMs == 0 {
				t.Errorf("%s: %+v", c.key, answer)
			}
		}
		for _, e := range f.entries {
			answer := f.waitRecorded(e, c)
			if answer.Outcome != "answered" || answer.Result == "" || answer.Result != result {
				t.Errorf("%s through %s: %+v, want result %q", c.key, e.name, answer, result)
			}
			f.checkStarts(c, answer)
		}
	}
}

func TestEntryLostDuringRun(t *testing.T) {
	f := claimsFleet(t)
	e, other := f.entries[0], f.entries[1]
	cases := []struct {
		name    string
		lose    func(c call)
		outcome string
		starts  int
	}{
		{"killed after the claim", func(c call) {
			f.delay(e, "downstream")
			leader := f.leader()
			before := leader.status().GetCommit()
			e.sendAsync(c)
			waitFor(t, settled, "the claim is committed", func() bool { return leader.status().GetCommit() > before })
			e.kill()
		}, "unknown", 0},
		{"killed after the dispatch", func(c call) {
			e.sendAsync(c)
			f.waitStarted(c.key)
			e.kill()
		}, "unknown", 1},
		{"killed after the reply, before its record", func(c call) {
			told := e.sendAsync(c)
			f.waitStarted(c.key)
			f.cutControl(e)
			if answer := <-told; answer.Outcome != "answered" {
				t.Errorf("cut off from control after the dispatch: %+v", answer)
			}
			e.kill()
		}, "unknown", 1},
		{"killed after the record", func(c call) {
			if answer := <-e.sendAsync(c); answer.Outcome != "answered" {
				t.Errorf("run: %+v", answer)
			}
			e.kill()
		}, "answered", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := newCall("entry " + c.name)
			c.lose(first)
			answer, _ := other.send(first.again())
			if answer.Outcome != c.outcome {
				t.Errorf("resend: %+v, want %s", answer, c.outcome)
			}
			f.checkStarts(first, answer)
			if starts := f.runsOf(first.key); starts != c.starts {
				t.Errorf("started %d times, want %d", starts, c.starts)
			}
			f.healControl(e)
			e.start()
			f.waitServing()
		})
	}
}

func TestEntryFrozenBetweenClaimAndWrite(t *testing.T) {
	f := claimsFleet(t)
	e := f.entries[0]
	c := newCall("frozen")
	c.timeout = 2 * linkDelay
	f.delay(e, "downstream")
	leader := f.leader()
	before := leader.status().GetCommit()
	told := e.sendAsync(c)
	waitFor(t, settled, "the claim is committed", func() bool { return leader.status().GetCommit() > before })
	e.freeze()
	time.Sleep(c.timeout + linkDelay)
	e.thaw()
	answer := <-told
	if answer.Outcome != "not-run" {
		t.Errorf("thawed after the deadline: %+v", answer)
	}
	f.healControl(e)
	f.checkStarts(c, answer)
	answer = f.waitAnswered(f.entries[1], c)
	f.checkStarts(c, answer)
}

// waitAnswered resends until the request has run.
func (f *fleet) waitAnswered(e *process, c call) parser.RunAnswer {
	f.t.Helper()
	var answer parser.RunAnswer
	waitFor(f.t, settled, c.key+" is answered", func() bool {
		c = c.again()
		answer, _ = e.send(c)
		return answer.Outcome == "answered"
	})
	return answer
}

func TestReplyLost(t *testing.T) {
	f := claimsFleet(t)
	t.Run("to the caller", func(t *testing.T) {
		c := newCall("lost to the caller")
		gone, leave := context.WithCancel(t.Context())
		left := make(chan struct{})
		go func() {
			defer close(left)
			f.entries[0].sendAndLeave(gone, c)
		}()
		f.waitStarted(c.key)
		leave()
		<-left
		answer := f.waitRecorded(f.entries[2], c)
		if answer.Outcome != "answered" || answer.Result == "" {
			t.Errorf("resend: %+v", answer)
		}
		f.checkStarts(c, answer)
	})
	t.Run("by an upstream", func(t *testing.T) {
		c := newCall("lost by an upstream")
		told := f.entries[0].sendAsync(c)
		f.waitStarted(c.key)
		for _, s := range f.standins {
			f.cutWay("entries", s.name, "downstream")
		}
		if answer := <-told; answer.Outcome != "unknown" {
			t.Errorf("the reply was lost: %+v", answer)
		}
		for _, s := range f.standins {
			f.heal("entries", s.name)
		}
		answer := f.waitRecorded(f.entries[1], c)
		if answer.Outcome != "unknown" {
			t.Errorf("resend: %+v", answer)
		}
		f.checkStarts(c, answer)
	})
}

func TestUpstreamGoneBeforeWrite(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 2,
	})
	f.waitServing()
	f.standins[0].kill()
	for i := range 8 {
		c := newCall(fmt.Sprintf("gone-%d", i))
		answer, _ := f.entries[i%len(f.entries)].send(c)
		if answer.Outcome != "answered" {
			t.Errorf("one of two upstreams is left: %+v", answer)
		}
		f.checkStarts(c, answer)
	}
}

func TestCutOffResend(t *testing.T) {
	f := claimsFleet(t)
	e := f.entries[0]
	c := newCall("cut-resend")
	if answer, _ := f.entries[1].send(c); answer.Outcome != "answered" {
		t.Fatalf("first call: %+v", answer)
	}
	f.cutControl(e)
	waitFor(t, settled, "the configuration is no longer confirmed", func() bool {
		answer, _ := e.query("cut", 1000)
		return !answer.ConfigConfirmed
	})
	sent := time.Now()
	fresh, _ := e.send(newCall("cut-fresh"))
	if took := time.Since(sent); fresh.Outcome != "not-run" || fresh.RetryAfterMs == 0 || took > slowWork {
		t.Errorf("first call while cut off: %+v in %s", fresh, took)
	}
	if again, _ := e.send(c.again()); again.Outcome != "unknown" || again.RetryAfterMs == 0 {
		t.Errorf("resend while cut off: %+v; an earlier call has run", again)
	}
	if blind, _ := e.send(c); blind.Outcome != "not-run" || blind.EarlierCalls != "unknown" {
		t.Errorf("resend that does not say so: %+v", blind)
	}
	f.healControl(e)
	waitFor(t, settled, "the recorded outcome after the cut", func() bool {
		again, _ := e.send(c.again())
		return again.Outcome == "answered" && again.Repeated
	})
	expired := newCall("old-key")
	expired.at = time.Now().Add(-25 * time.Hour)
	answer, status := e.send(expired)
	if status != http.StatusGone || answer.Outcome != "unknown" || answer.Reason != "key-expired" || f.runsOf(expired.key) != 0 {
		t.Errorf("after the key's window: status %d, %+v", status, answer)
	}
}

func TestControlLeaderKilledDuringRun(t *testing.T) {
	checkLeaderLostDuringRun(t, func(_ *fleet, leader *process) func() {
		leader.kill()
		return leader.start
	})
}

func TestControlLeaderFrozenDuringRun(t *testing.T) {
	checkLeaderLostDuringRun(t, func(_ *fleet, leader *process) func() {
		leader.freeze()
		return leader.thaw
	})
}

func TestControlLeaderCutOffDuringRun(t *testing.T) {
	checkLeaderLostDuringRun(t, func(f *fleet, leader *process) func() {
		return f.cutOffLeader(leader)
	})
}

// cutOffLeader cuts the leader off from the other control instances only, so that entry instances still reach it.
func (f *fleet) cutOffLeader(leader *process) func() {
	var pairs [][2]string
	for _, c := range f.controls {
		if c != leader {
			pairs = append(pairs, [2]string{leader.name, c.name}, [2]string{c.name, leader.name})
		}
	}
	for _, pair := range pairs {
		f.cut(pair[0], pair[1])
	}
	return func() {
		for _, pair := range pairs {
			f.heal(pair[0], pair[1])
		}
	}
}

func checkLeaderLostDuringRun(t *testing.T, lose func(*fleet, *process) func()) {
	f := claimsFleet(t)
	e, other := f.entries[0], f.entries[1]
	cases := []struct {
		name string
		// until brings the run to the moment of the fault, and returns where its answer comes.
		until    func(c call) <-chan parser.RunAnswer
		answered bool
	}{
		{"on its way to the claim", func(c call) <-chan parser.RunAnswer {
			f.delay(e, "upstream")
			return e.sendAsync(c)
		}, false},
		{"after the dispatch", func(c call) <-chan parser.RunAnswer {
			told := e.sendAsync(c)
			f.waitStarted(c.key)
			return told
		}, true},
		{"after the reply, while its record is on its way", func(c call) <-chan parser.RunAnswer {
			told := e.sendAsync(c)
			f.waitStarted(c.key)
			f.delay(e, "upstream")
			answer := <-told
			again := make(chan parser.RunAnswer, 1)
			again <- answer
			return again
		}, true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := f.leader()
			first := newCall(fmt.Sprintf("leader-%d", i))
			answers := c.until(first)
			back := lose(f, leader)
			told := <-answers
			f.checkStarts(first, told)
			if c.answered && told.Outcome != "answered" {
				t.Errorf("told %+v, want answered", told)
			}
			f.healControl(e)
			last := f.waitAnswered(other, first)
			f.checkStarts(first, last)
			if told.Outcome == "answered" && (!last.Repeated || last.Result != told.Result) {
				t.Errorf("told %+v, the resend %+v", told, last)
			}
			back()
			f.waitServing()
		})
	}
}
