package gateway

import "time"

// pacer is a ticker with a short period while queries are in flight and a long one while there are none.
type pacer struct {
	ticker *time.Ticker
	isIdle bool
}

func newPacer() *pacer {
	return &pacer{
		ticker: time.NewTicker(idleTickPeriod),
		isIdle: true,
	}
}

// afterTick switches to the long period if nothing is in flight at a tick. The switch never happens between ticks,
// because each reset of the ticker postpones the next tick.
func (p *pacer) afterTick(isIdle bool) {
	if !isIdle || p.isIdle {
		return
	}
	p.isIdle = true
	p.ticker.Reset(idleTickPeriod)
}

// afterTurn switches to the short period if a turn of the event loop has put a query in flight.
func (p *pacer) afterTurn(isIdle bool) {
	if isIdle || !p.isIdle {
		return
	}
	p.isIdle = false
	p.ticker.Reset(activeTickPeriod)
}
