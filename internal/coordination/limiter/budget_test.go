package limiter

import (
	"testing"
	"time"
)

// mostExtra is how many retries and hedges the promise allows for each sub-request.
const mostExtra = 0.05

func TestBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := NewBudget(100)
	spent := 0
	for i := 1; i <= 10_000; i++ {
		b.Earn()
		for range 3 {
			if b.Spend(now) {
				spent++
			}
		}
		if float64(spent) > mostExtra*float64(i) {
			t.Fatalf("%d retries and hedges for %d sub-requests", spent, i)
		}
	}
	if spent < 490 {
		t.Errorf("only %d of 500 were allowed", spent)
	}
	for range 1000 {
		b.Earn()
	}
	b.Shed(now)
	if b.Spend(now.Add(shedHold - 1)) {
		t.Errorf("a retry was allowed while upstreams shed load")
	}
	if !b.Spend(now.Add(shedHold)) {
		t.Errorf("no retry was allowed after the upstreams had stopped shedding")
	}
}
