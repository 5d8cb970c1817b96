package gateway

import (
	"testing"
	"time"
)

// TestPacerTicksUnderShortQueries checks that the pacer still ticks under consecutive queries that each end before a
// tick. A reset of the ticker at the end of each query would postpone the tick forever.
func TestPacerTicksUnderShortQueries(t *testing.T) {
	p := newPacer()
	defer p.ticker.Stop()
	end := time.Now().Add(10 * idleTickPeriod)
	ticks := 0
	for time.Now().Before(end) {
		p.afterTurn(false)
		time.Sleep(time.Millisecond)
		p.afterTurn(true)
		select {
		case <-p.ticker.C:
			ticks++
			p.afterTick(true)
		default:
		}
	}
	if ticks < 5 {
		t.Errorf("%d ticks in %s, want at least 5", ticks, 10*idleTickPeriod)
	}
}
