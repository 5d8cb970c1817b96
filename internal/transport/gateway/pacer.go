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

// pace changes the period where the loop has become quiet or busy.
func (p *pacer) pace(isQuiet bool) {
	if isQuiet == p.isQuiet {
		return
	}
	p.isQuiet = isQuiet
	if isQuiet {
		p.ticker.Reset(quietPeriod)
		return
	}
	p.ticker.Reset(tickPeriod)
}
