package gateway

import "time"

// pacer ticks fast while queries are in flight and slowly while there are none.
type pacer struct {
	ticker  *time.Ticker
	isQuiet bool
}

func newPacer() *pacer {
	return &pacer{
		ticker:  time.NewTicker(quietPeriod),
		isQuiet: true,
	}
}

// ticked slows down where nothing is in flight at a tick; never between ticks, since each change of the period puts the next tick off.
func (p *pacer) ticked(isQuiet bool) {
	if !isQuiet || p.isQuiet {
		return
	}
	p.isQuiet = true
	p.ticker.Reset(quietPeriod)
}

// took speeds up where an event has put something in flight.
func (p *pacer) took(isQuiet bool) {
	if isQuiet || !p.isQuiet {
		return
	}
	p.isQuiet = false
	p.ticker.Reset(tickPeriod)
}
