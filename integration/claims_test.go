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
	// slowWorkTime is the work time of a run, long enough to inject a fault while the run is in progress.
	slowWorkTime = 300 * time.Millisecond
	// linkDelay is the added latency of a control link, long enough to inject a fault while a claim or a record is in flight.
	linkDelay     = 250 * time.Millisecond
	settleTimeout = 15 * time.Second
)

// runRequest is one send of a non-idempotent request; resend counts the earlier sends with the same key.
type runRequest struct {
	key     string
	keyTime time.Time
	resend  int
	tenant  string
	timeout time.Duration
}

func newRunRequest(key string) runRequest {
	return runRequest{
		key:     key,
		keyTime: time.Now(),
		timeout: runTimeout,
	}
}

func (r runRequest) asResend() runRequest {
	r.resend++
	return r
}

func (r runRequest) body() map[string]any {
	return map[string]any{
		"key":        r.key,
		"key-time":   r.keyTime.UTC().Format(time.RFC3339),
		"body":       "body of " + r.key,
		"resend":     r.resend,
		"tenant":     r.tenant,
		"timeout-ms": r.timeout.Milliseconds(),
	}
}

func (p *process) send(r runRequest) (parser.RunAnswer, int) {
	var answer parser.RunAnswer
	status := p.post("run", r.body(), &answer)
	return answer, status
}

// sendAsync sends the request in the background and delivers its answer on the channel, or an empty answer if there was none.
func (p *process) sendAsync(r runRequest) <-chan parser.RunAnswer {
	answers := make(chan parser.RunAnswer, 1)
	go func() {
		answer, _ := p.send(r)
		answers <- answer
	}()
	return answers
}

// sendUntilCancelled sends the request, and drops the connection without waiting for the answer when ctx is cancelled.
func (p *process) sendUntilCancelled(ctx context.Context, r runRequest) {
	encoded, err := json.Marshal(r.body())
	must(p.t, err)
	url := fmt.Sprintf("http://%s/v1/services/%s/run", p.callerAddress, service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	must(p.t, err)
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
}

// delayControlLinks adds linkDelay to one direction of the entry instance's links to all control instances.
func (f *fleet) delayControlLinks(e *process, direction string) {
	for _, c := range f.controls {
		toxic := fmt.Sprintf(`{"name":"delay-%s","type":"latency","stream":%q,"attributes":{"latency":%d}}`, direction, direction, linkDelay.Milliseconds())
		_, err := f.proxies[linkName(e.name, c.name)].Toxics.AddToxicJson(bytes.NewBufferString(toxic))
		must(f.t, err)
	}
}

func (f *fleet) healControlLinks(e *process) {
	for _, c := range f.controls {
		f.healLink(e.name, c.name)
	}
}

func (f *fleet) cutControlLinks(e *process) {
	for _, c := range f.controls {
		f.cutLink(e.name, c.name)
	}
}

// waitStarted waits until an upstream records a start of a run with the key.
func (f *fleet) waitStarted(key string) {
	f.t.Helper()
	waitFor(f.t, settleTimeout, key+" has been started", func() bool { return f.countStarts(key) > 0 })
}

// waitRecorded resends the request through the entry instance until the answer repeats a recorded outcome.
func (f *fleet) waitRecorded(e *process, r runRequest) parser.RunAnswer {
	f.t.Helper()
	var answer parser.RunAnswer
	waitFor(f.t, settleTimeout, r.key+" has a recorded outcome", func() bool {
		r = r.asResend()
		answer, _ = e.send(r)
		return answer.Repeated
	})
	return answer
}

// waitRunsAccepted waits until a run is answered through every entry instance.
func (f *fleet) waitRunsAccepted() {
	f.t.Helper()
	for _, e := range f.entries {
		waitFor(f.t, settleTimeout, e.name+" accepts runs", func() bool {
			answer, _ := e.send(newRunRequest(fmt.Sprintf("probe-%s-%d", e.name, time.Now().UnixNano())))
			return answer.Outcome == "answered"
		})
	}
}

// checkStarts fails the test if the request was started more than once, or if its number of starts contradicts the answer.
func (f *fleet) checkStarts(r runRequest, answer parser.RunAnswer) {
	f.t.Helper()
	starts := f.countStarts(r.key)
	if starts > 1 || (answer.Outcome == "not-run" && starts > 0) || (answer.Outcome == "answered" && starts != 1) {
		f.t.Errorf("%s: answer %+v, but started %d times", r.key, answer, starts)
	}
}

func newClaimsFleet(t *testing.T) *fleet {
	f := newFleet(t, topology{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   1,
		replicas: 2,
		workMs:   float64(slowWorkTime.Milliseconds()),
		proxied:  true,
	})
	f.waitRunsAccepted()
	return f
}

func TestSameKeyThroughEveryEntryAtOnce(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  4,
		zones:    2,
		shards:   1,
		replicas: 2,
		workMs:   20,
	})
	f.waitRunsAccepted()
	for i := range 20 {
		r := newRunRequest(fmt.Sprintf("at-once-%d", i))
		var pending []<-chan parser.RunAnswer
		for _, e := range f.entries {
			pending = append(pending, e.sendAsync(r))
		}
		result := ""
		for _, reply := range pending {
			answer := <-reply
			if answer.Outcome == "answered" {
				result = answer.Result
			} else if answer.Outcome != "unknown" || answer.RetryAfterMs == 0 {
				t.Errorf("%s: concurrent send got %+v, want answered, or unknown with a retry delay", r.key, answer)
			}
		}
		for _, e := range f.entries {
			answer := f.waitRecorded(e, r)
			if answer.Outcome != "answered" || answer.Result == "" || answer.Result != result {
				t.Errorf("%s through %s: %+v, want result %q", r.key, e.name, answer, result)
			}
			f.checkStarts(r, answer)
		}
	}
}

func TestEntryLostDuringRun(t *testing.T) {
	f := newClaimsFleet(t)
	e, other := f.entries[0], f.entries[1]
	cases := []struct {
		name        string
		injectFault func(r runRequest)
		outcome     string
		starts      int
	}{
		{"killed after the claim", func(r runRequest) {
			f.delayControlLinks(e, "downstream")
			leader := f.waitLeader()
			before := leader.status().GetCommit()
			e.sendAsync(r)
			waitFor(t, settleTimeout, "the claim is committed", func() bool { return leader.status().GetCommit() > before })
			e.kill()
		}, "unknown", 0},
		{"killed after the dispatch", func(r runRequest) {
			e.sendAsync(r)
			f.waitStarted(r.key)
			e.kill()
		}, "unknown", 1},
		{"killed after the reply, before its record", func(r runRequest) {
			reply := e.sendAsync(r)
			f.waitStarted(r.key)
			f.cutControlLinks(e)
			if answer := <-reply; answer.Outcome != "answered" {
				t.Errorf("run cut off from control after the dispatch: %+v, want answered", answer)
			}
			e.kill()
		}, "unknown", 1},
		{"killed after the record", func(r runRequest) {
			if answer := <-e.sendAsync(r); answer.Outcome != "answered" {
				t.Errorf("run: %+v, want answered", answer)
			}
			e.kill()
		}, "answered", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first := newRunRequest("entry " + c.name)
			c.injectFault(first)
			answer, _ := other.send(first.asResend())
			if answer.Outcome != c.outcome {
				t.Errorf("resend: %+v, want %s", answer, c.outcome)
			}
			f.checkStarts(first, answer)
			if starts := f.countStarts(first.key); starts != c.starts {
				t.Errorf("started %d times, want %d", starts, c.starts)
			}
			f.healControlLinks(e)
			e.start()
			f.waitRunsAccepted()
		})
	}
}

func TestEntryFrozenBetweenClaimAndWrite(t *testing.T) {
	f := newClaimsFleet(t)
	e := f.entries[0]
	r := newRunRequest("frozen")
	r.timeout = 2 * linkDelay
	f.delayControlLinks(e, "downstream")
	leader := f.waitLeader()
	before := leader.status().GetCommit()
	reply := e.sendAsync(r)
	waitFor(t, settleTimeout, "the claim is committed", func() bool { return leader.status().GetCommit() > before })
	e.freeze()
	time.Sleep(r.timeout + linkDelay)
	e.thaw()
	answer := <-reply
	if answer.Outcome != "not-run" {
		t.Errorf("run through an entry instance thawed after the deadline: %+v, want not-run", answer)
	}
	f.healControlLinks(e)
	f.checkStarts(r, answer)
	answer = f.waitAnswered(f.entries[1], r)
	f.checkStarts(r, answer)
}

// waitAnswered resends the request through the entry instance until its outcome is answered.
func (f *fleet) waitAnswered(e *process, r runRequest) parser.RunAnswer {
	f.t.Helper()
	var answer parser.RunAnswer
	waitFor(f.t, settleTimeout, r.key+" is answered", func() bool {
		r = r.asResend()
		answer, _ = e.send(r)
		return answer.Outcome == "answered"
	})
	return answer
}

func TestReplyLost(t *testing.T) {
	f := newClaimsFleet(t)
	t.Run("to the caller", func(t *testing.T) {
		r := newRunRequest("lost to the caller")
		ctx, cancel := context.WithCancel(t.Context())
		sendDone := make(chan struct{})
		go func() {
			defer close(sendDone)
			f.entries[0].sendUntilCancelled(ctx, r)
		}()
		f.waitStarted(r.key)
		cancel()
		<-sendDone
		answer := f.waitRecorded(f.entries[2], r)
		if answer.Outcome != "answered" || answer.Result == "" {
			t.Errorf("resend: %+v", answer)
		}
		f.checkStarts(r, answer)
	})
	t.Run("by an upstream", func(t *testing.T) {
		r := newRunRequest("lost by an upstream")
		reply := f.entries[0].sendAsync(r)
		f.waitStarted(r.key)
		for _, s := range f.standins {
			f.cutDirection("entries", s.name, "downstream")
		}
		if answer := <-reply; answer.Outcome != "unknown" {
			t.Errorf("run whose upstream reply was lost: %+v, want unknown", answer)
		}
		for _, s := range f.standins {
			f.healLink("entries", s.name)
		}
		answer := f.waitRecorded(f.entries[1], r)
		if answer.Outcome != "unknown" {
			t.Errorf("resend: %+v", answer)
		}
		f.checkStarts(r, answer)
	})
}

func TestUpstreamGoneBeforeWrite(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  2,
		zones:    2,
		shards:   1,
		replicas: 2,
	})
	f.waitRunsAccepted()
	f.standins[0].kill()
	for i := range 8 {
		r := newRunRequest(fmt.Sprintf("gone-%d", i))
		answer, _ := f.entries[i%len(f.entries)].send(r)
		if answer.Outcome != "answered" {
			t.Errorf("run with one of two upstreams up: %+v, want answered", answer)
		}
		f.checkStarts(r, answer)
	}
}

func TestCutOffResend(t *testing.T) {
	f := newClaimsFleet(t)
	e := f.entries[0]
	r := newRunRequest("cut-resend")
	if answer, _ := f.entries[1].send(r); answer.Outcome != "answered" {
		t.Fatalf("first send: %+v", answer)
	}
	f.cutControlLinks(e)
	waitFor(t, settleTimeout, "the configuration is reported as unconfirmed", func() bool {
		answer, _ := e.query("cut", 1000)
		return !answer.ConfigConfirmed
	})
	sent := time.Now()
	firstSend, _ := e.send(newRunRequest("cut-fresh"))
	if elapsed := time.Since(sent); firstSend.Outcome != "not-run" || firstSend.RetryAfterMs == 0 || elapsed > slowWorkTime {
		t.Errorf("first send while cut off: %+v after %s, want not-run with a retry delay", firstSend, elapsed)
	}
	if resend, _ := e.send(r.asResend()); resend.Outcome != "unknown" || resend.RetryAfterMs == 0 {
		t.Errorf("resend while cut off: %+v, want unknown with a retry delay because an earlier send has run", resend)
	}
	if unmarked, _ := e.send(r); unmarked.Outcome != "not-run" || unmarked.EarlierCalls != "unknown" {
		t.Errorf("resend not marked as such while cut off: %+v, want not-run with unknown earlier calls", unmarked)
	}
	f.healControlLinks(e)
	waitFor(t, settleTimeout, "the recorded outcome is returned after the links are restored", func() bool {
		resend, _ := e.send(r.asResend())
		return resend.Outcome == "answered" && resend.Repeated
	})
	expired := newRunRequest("old-key")
	expired.keyTime = time.Now().Add(-25 * time.Hour)
	answer, status := e.send(expired)
	if status != http.StatusGone || answer.Outcome != "unknown" || answer.Reason != "key-expired" || f.countStarts(expired.key) != 0 {
		t.Errorf("run with an expired key: status %d, %+v, want status Gone, unknown, key-expired and no start", status, answer)
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
		return f.cutLeaderLinks(leader)
	})
}

// cutLeaderLinks cuts the links between the leader and the other control instances; entry instances still reach it. The returned function restores them.
func (f *fleet) cutLeaderLinks(leader *process) func() {
	var pairs [][2]string
	for _, c := range f.controls {
		if c != leader {
			pairs = append(pairs, [2]string{leader.name, c.name}, [2]string{c.name, leader.name})
		}
	}
	for _, pair := range pairs {
		f.cutLink(pair[0], pair[1])
	}
	return func() {
		for _, pair := range pairs {
			f.healLink(pair[0], pair[1])
		}
	}
}

func checkLeaderLostDuringRun(t *testing.T, injectFault func(*fleet, *process) func()) {
	f := newClaimsFleet(t)
	e, other := f.entries[0], f.entries[1]
	cases := []struct {
		name string
		// start sends the run, returns when the fault is due, and delivers the run's answer on the channel.
		start        func(r runRequest) <-chan parser.RunAnswer
		wantAnswered bool
	}{
		{"while its claim is in flight", func(r runRequest) <-chan parser.RunAnswer {
			f.delayControlLinks(e, "upstream")
			return e.sendAsync(r)
		}, false},
		{"after the dispatch", func(r runRequest) <-chan parser.RunAnswer {
			reply := e.sendAsync(r)
			f.waitStarted(r.key)
			return reply
		}, true},
		{"after the reply, while its record is in flight", func(r runRequest) <-chan parser.RunAnswer {
			reply := e.sendAsync(r)
			f.waitStarted(r.key)
			f.delayControlLinks(e, "upstream")
			answer := <-reply
			received := make(chan parser.RunAnswer, 1)
			received <- answer
			return received
		}, true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			leader := f.waitLeader()
			first := newRunRequest(fmt.Sprintf("leader-%d", i))
			reply := c.start(first)
			restore := injectFault(f, leader)
			answer := <-reply
			f.checkStarts(first, answer)
			if c.wantAnswered && answer.Outcome != "answered" {
				t.Errorf("run during the fault: %+v, want answered", answer)
			}
			f.healControlLinks(e)
			resent := f.waitAnswered(other, first)
			f.checkStarts(first, resent)
			if answer.Outcome == "answered" && (!resent.Repeated || resent.Result != answer.Result) {
				t.Errorf("first answer %+v, resend got %+v, want the same result repeated", answer, resent)
			}
			restore()
			f.waitRunsAccepted()
		})
	}
}
