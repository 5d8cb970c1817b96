package integration

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/caller"
)

// TestCallerIsToldTheTruth sends runs through pkg/caller while an entry instance is killed and the control leader is frozen, and compares each answer with the number of times an upstream started the run.
func TestCallerIsToldTheTruth(t *testing.T) {
	f := newFleet(t, topology{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   1,
		replicas: 2,
		workMs:   20,
	})
	f.waitRunsAccepted()
	var addresses []string
	for _, e := range f.entries {
		addresses = append(addresses, e.callerAddress)
	}
	client := caller.New(http.DefaultClient, addresses)
	const runs = 60
	answers := make(chan *caller.RunAnswer, runs)
	for i := range runs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			answer, err := client.Run(ctx, service, caller.Run{
				Key:     fmt.Sprint("caller-", i),
				KeyTime: time.Now(),
			})
			if err != nil {
				t.Error(err)
				answer = &caller.RunAnswer{}
			}
			answers <- answer
		}()
		time.Sleep(10 * time.Millisecond)
		if i == runs/3 {
			f.entries[0].kill()
		}
		if i == runs/2 {
			f.waitLeader().freeze()
		}
	}
	outcomes := map[string]int{}
	for range runs {
		answer := <-answers
		outcomes[answer.Outcome]++
		starts := f.countStarts(answer.Key)
		if starts > 1 || (answer.Outcome == caller.Answered && starts != 1) || (answer.Outcome == caller.NotRun && starts != 0) {
			t.Errorf("answer %+v, but started %d times", answer, starts)
		}
	}
	t.Logf("outcomes: %v", outcomes)
	if outcomes[caller.Answered] < runs*3/4 {
		t.Errorf("outcomes: %v; want at least three quarters answered, as two entry instances and a quorum remained", outcomes)
	}
}
