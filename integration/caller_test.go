package integration

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pimentogate.example/pimentogate/pkg/caller"
)

// TestCallerIsToldTheTruth sends through pkg/caller while an entry instance is killed and the control leader frozen.
func TestCallerIsToldTheTruth(t *testing.T) {
	f := newFleet(t, plan{
		controls: 3,
		entries:  3,
		zones:    3,
		shards:   1,
		replicas: 2,
		workMs:   20,
	})
	f.waitServing()
	var addresses []string
	for _, e := range f.entries {
		addresses = append(addresses, e.callers)
	}
	client := caller.New(http.DefaultClient, addresses)
	const runs = 60
	told := make(chan *caller.RunAnswer, runs)
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
			told <- answer
		}()
		time.Sleep(10 * time.Millisecond)
		if i == runs/3 {
			f.entries[0].kill()
		}
		if i == runs/2 {
			f.leader().freeze()
		}
	}
	outcomes := map[string]int{}
	for range runs {
		answer := <-told
		outcomes[answer.Outcome]++
		starts := f.runsOf(answer.Key)
		if starts > 1 || (answer.Outcome == caller.Answered && starts != 1) || (answer.Outcome == caller.NotRun && starts != 0) {
			t.Errorf("told %+v, started %d times", answer, starts)
		}
	}
	t.Logf("told: %v", outcomes)
	if outcomes[caller.Answered] < runs*3/4 {
		t.Errorf("told: %v; two entry instances and a quorum were left", outcomes)
	}
}
