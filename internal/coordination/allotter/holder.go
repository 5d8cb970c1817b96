package allotter

import (
	"math"
	"time"
)

const (
	// demandSpan is for how long ahead an instance asks for tokens.
	demandSpan = 250 * time.Millisecond
	// LeaseDuration is how long granted tokens may be used. It bounds what instances hold together to half a second of the rate.
	LeaseDuration = 500 * time.Millisecond
	// demandMemory is the time constant of the estimate of the demand.
	demandMemory = 2 * time.Second
	// maxWanted is the largest number of tokens asked for at once.
	maxWanted = 16
	// reportDelay is how long use waits for a call that carries it before it is reported by a call of its own.
	reportDelay = time.Second
)

type lease struct {
	tokens    float64
	expiresAt time.Time
}

// account is what an instance holds of one organisation.
type account struct {
	leases []lease
	demand average
	// used is the cost that is not reported yet, since unreportedSince.
	used            float64
	unreportedSince time.Time
	// returned is the number of tokens to return to the keeper.
	returned float64
}

// Report is what an instance tells the keeper of an organisation without asking for tokens.
type Report struct {
	Organisation string
	Returned     float64
	Used         float64
}

// Holder holds the tokens that keepers have leased to an instance. It is not safe for concurrent use.
type Holder struct {
	accounts map[string]*account
}

// NewHolder returns a holder without tokens.
func NewHolder() *Holder {
	return &Holder{
		accounts: map[string]*account{},
	}
}

func (h *Holder) accountOf(organisation string) *account {
	a, ok := h.accounts[organisation]
	if !ok {
		a = &account{}
		h.accounts[organisation] = a
	}
	return a
}

// Take records a request and takes a token for it if one is held.
func (h *Holder) Take(now time.Time, organisation string) bool {
	a := h.accountOf(organisation)
	a.demand.add(now, demandMemory, 1)
	return a.take(now)
}

// take takes a token from the leases that expire first.
func (a *account) take(now time.Time) bool {
	valid := a.leases[:0]
	for _, l := range a.leases {
		if now.Before(l.expiresAt) {
			valid = append(valid, l)
		}
	}
	a.leases = valid
	if len(a.leases) == 0 {
		return false
	}
	a.leases[0].tokens--
	if a.leases[0].tokens < 1 {
		a.leases = append(a.leases[:0], a.leases[1:]...)
	}
	return true
}

// Wanted returns how many tokens to ask for: one for the request, and those of the requests expected soon.
func (h *Holder) Wanted(now time.Time, organisation string) float64 {
	expected := h.accountOf(organisation).demand.perSecond(now, demandMemory) * demandSpan.Seconds()
	return min(1+math.Floor(expected), maxWanted)
}

// Accept adds granted tokens, of which one is for the request that asked, and reports whether there is one.
func (h *Holder) Accept(now time.Time, organisation string, tokens float64, lifetime time.Duration) bool {
	if tokens < 1 {
		return false
	}
	if tokens >= 2 {
		a := h.accountOf(organisation)
		a.leases = append(a.leases, lease{
			tokens:    math.Floor(tokens) - 1,
			expiresAt: now.Add(min(lifetime, LeaseDuration)),
		})
	}
	return true
}

// Return gives back the token of a request that has not run.
func (h *Holder) Return(organisation string) { h.accountOf(organisation).returned++ }

// AddUse adds the expected cost of an admitted request.
func (h *Holder) AddUse(now time.Time, organisation string, cost float64) {
	a := h.accountOf(organisation)
	if a.used == 0 {
		a.unreportedSince = now
	}
	a.used += cost
}

// TakeUse returns the cost that is not reported yet, and counts it as reported.
func (h *Holder) TakeUse(organisation string) float64 {
	a := h.accountOf(organisation)
	used := a.used
	a.used = 0
	return used
}

// TakeReports returns what has to be reported by calls of their own, and counts it as reported.
func (h *Holder) TakeReports(now time.Time) []Report {
	var reports []Report
	for organisation, a := range h.accounts {
		if a.returned == 0 && (a.used == 0 || now.Sub(a.unreportedSince) < reportDelay) {
			continue
		}
		reports = append(reports, Report{
			Organisation: organisation,
			Returned:     a.returned,
			Used:         a.used,
		})
		a.returned, a.used = 0, 0
	}
	return reports
}

// Retain forgets all organisations that keep does not name.
func (h *Holder) Retain(keep func(organisation string) bool) {
	for organisation := range h.accounts {
		if !keep(organisation) {
			delete(h.accounts, organisation)
		}
	}
}
