package limiter

import (
	"testing"
	"time"
)

// maxRepeatRatio is the documented limit on retries and hedges per sub-request.
const maxRepeatRatio = 0.05

func TestBudget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := NewBudget(100)
	granted := 0
	for i := 1; i <= 10_000; i++ {
		b.Deposit()
		for range 3 {
			if b.TryWithdraw(now) {
				granted++
			}
		}
		if float64(granted) > maxRepeatRatio*float64(i) {
			t.Fatalf("granted %d retries and hedges for %d sub-requests", granted, i)
		}
	}
	if granted < 490 {
		t.Errorf("granted only %d retries and hedges, want at least 490", granted)
	}
	for range 1000 {
		b.Deposit()
	}
	b.Suspend(now)
	if b.TryWithdraw(now.Add(shedCooldown - 1)) {
		t.Errorf("retry granted before the end of the shed cooldown")
	}
	if !b.TryWithdraw(now.Add(shedCooldown)) {
		t.Errorf("retry denied after the shed cooldown")
	}
}
