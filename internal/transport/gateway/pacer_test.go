package gateway

import (
	"testing"
	"time"
)

// TestPacerTicksUnderShortQueries puts queries in flight that end before any tick, one after the other.
func TestPacerTicksUnderShortQueries(t *testing.T) {
	p := newPacer()
	defer p.ticker.Stop()
	end := time.Now().Add(10 * quietPeriod)
	ticks := 0
	for time.Now().Before(end) {
		p.took(false)
		time.Sleep(time.Millisecond)
		p.took(true)
		select {
		case <-p.ticker.C:
			ticks++
			p.ticked(true)
		default:
		}
	}
	if ticks < 5 {
		t.Errorf("%d ticks in %s", ticks, 10*quietPeriod)
	}
}
