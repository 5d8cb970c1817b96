package controller

import "time"

// journalClock estimates the current time by the clock of the journal, which is that of the leaders that wrote its entries.
type journalClock struct {
	// entryMs is the time of the last entry, and seenAt is when this instance first saw it.
	entryMs int64
	seenAt  time.Time
}

// journalTime returns the current time by the clock of the journal, in Unix milliseconds. It is called after entries are applied, in the event loop. While an instance applies old entries it is behind.
func (c *Controller) journalTime(now time.Time) int64 {
	clock := &c.journalClock
	if entryMs := c.state.Ledger.NowMs(); entryMs != clock.entryMs {
		clock.entryMs = entryMs
		clock.seenAt = now
	}
	return clock.entryMs + now.Sub(clock.seenAt).Milliseconds()
}
