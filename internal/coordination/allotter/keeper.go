package allotter

import (
	"math"
	"time"
)

const (
	// takeoverDelay is how long an instance must have ranked first before it earns the zone's rate. The previous keeper learns of it meanwhile and stops earning.
	takeoverDelay = time.Second
	// settleDelay is how long a new process waits after the first list of instances before it keeps tokens. First lists may be short while a fleet starts, and each instance on one would take itself for the keeper of everything.
	settleDelay = 250 * time.Millisecond
	// suspensionLimit is the longest time between two events of a process that was not suspended. The owner calls Tick every 250 ms.
	suspensionLimit = time.Second
	// forgetDelay is how long an instance keeps the tokens of organisations for which it has no rank any more. It exceeds any window, so that an instance that regains its rank does not get its start tokens twice in one.
	forgetDelay = 30 * time.Second
	// lendRetry is the longest time for which a lender without tokens is not asked again.
	lendRetry = 200 * time.Millisecond
	// cutDelay is how long no lender must have responded for a keeper without tokens to count as cut off.
	cutDelay = 500 * time.Millisecond
	// maxQueue is the longest time by which retry times are spread beyond the time of the next token.
	maxQueue = 10 * time.Second
	// minPromiseRate is the lowest rate in tokens per second by which retry times are computed; it limits them to some minutes.
	minPromiseRate = 0.005
	// grantMemory is the time constant of the estimated rate of grants.
	grantMemory = 3 * time.Second
)

// Grant is a keeper's answer to an instance that asks for tokens.
type Grant struct {
	Tokens float64
	// Missing is how many tokens to borrow if there is none: what is missing for one, and what is expected to be granted soon.
	Missing float64
	// RetryAfter is when the missing token is expected.
	RetryAfter time.Duration
	// IsUnknown is set if the keeper can't know whether the organisation is over its allotment, because it is a backup that reaches no lender.
	IsUnknown bool
}

// Loan is a lender's answer.
type Loan struct {
	Tokens float64
	// RetryAfter is when the lender expects to have a token to lend.
	RetryAfter time.Duration
}

// bucket holds the tokens of one organisation in the availability zone.
type bucket struct {
	limit Limit
	share share
	level float64
	// advancedAt is up to when the level was computed.
	advancedAt time.Time
	rank       int
	// firstSince is since when the instance has ranked first; zero while it does not. unrankedSince is the same for no rank.
	firstSince    time.Time
	unrankedSince time.Time
	// promisedUntil is the last retry time that was given to a caller.
	promisedUntil time.Time
	// grants and borrowed are the rates at which tokens were granted and borrowed.
	grants   average
	borrowed average
	// askLenderAt holds when to ask a lender again that had nothing.
	askLenderAt map[string]time.Time
	// lenderRetryAt is the earliest time at which a lender expects to have a token.
	lenderRetryAt time.Time
	lenderSeenAt  time.Time
	// isCut is set while no lender responds.
	isCut bool
}

// Keeper holds the tokens of the organisations for which an instance is the keeper or a backup of its availability zone. It is not safe for concurrent use.
type Keeper struct {
	roster   *Roster
	terms    Terms
	limits   map[string]Limit
	buckets  map[string]*bucket
	revision uint64
	// configuredAt is when the limits were received, and isConfigured whether any were.
	configuredAt time.Time
	isConfigured bool
	// startsFirst is set if the first configuration was received at the first start of the whole deployment.
	startsFirst bool
	lastEvent   time.Time
	// inContact is set while the instance knows that its list of instances is current, or that it reaches most of its zone.
	inContact bool
	usage     map[string]*usage
}

// NewKeeper returns a keeper without limits that ranks by the roster.
func NewKeeper(roster *Roster, now time.Time) *Keeper {
	return &Keeper{
		roster:    roster,
		limits:    map[string]Limit{},
		buckets:   map[string]*bucket{},
		usage:     map[string]*usage{},
		lastEvent: now,
		inContact: true,
	}
}

// Configure applies the limits of a configuration. Tokens are kept, up to the new burst. An organisation that is new since a configuration that was in force for a window has used nothing, so its bucket is full, as are all buckets if the whole deployment starts for the first time.
func (k *Keeper) Configure(now time.Time, limits []Limit, terms Terms) {
	k.observe(now)
	previous := k.limits
	if !k.isConfigured {
		k.startsFirst = terms.FirstStart
	}
	startsFull := !k.isConfigured && terms.FirstStart || k.isConfigured && now.Sub(k.configuredAt) >= terms.Window
	k.terms = terms
	k.limits = make(map[string]Limit, len(limits))
	for _, l := range limits {
		k.limits[l.Organisation] = l
	}
	for organisation, b := range k.buckets {
		l, ok := k.limits[organisation]
		if !ok {
			delete(k.buckets, organisation)
			continue
		}
		k.advance(now, b)
		b.limit, b.share = l, terms.shareOf(&l)
		b.level = min(b.level, b.share.capacity)
	}
	for organisation := range k.usage {
		if _, ok := k.limits[organisation]; !ok {
			delete(k.usage, organisation)
		}
	}
	k.assignRanks(now)
	for organisation, b := range k.buckets {
		if previous[organisation].Rate == 0 && startsFull && b.rank == 0 {
			b.level = b.share.capacity
		}
	}
	k.configuredAt, k.isConfigured = now, true
}

// Tick applies changed ranks and notices suspensions. inContact is whether the instance knows that its list of instances is current, or that it reaches most of its zone.
func (k *Keeper) Tick(now time.Time, inContact bool) {
	k.observe(now)
	k.roster.Expire(now)
	if inContact != k.inContact {
		for _, b := range k.buckets {
			k.advance(now, b)
		}
		k.inContact = inContact
	}
	if k.revision != k.roster.revision {
		k.assignRanks(now)
	}
	for organisation, b := range k.buckets {
		if b.rank == keeperRanks && now.Sub(b.unrankedSince) >= forgetDelay {
			delete(k.buckets, organisation)
		}
	}
}

// observe notices that the process was suspended. Another instance may have kept the tokens meanwhile, so it continues like one that has started.
func (k *Keeper) observe(now time.Time) {
	if now.Sub(k.lastEvent) > suspensionLimit {
		for _, b := range k.buckets {
			b.level = min(b.level, b.share.start)
			b.advancedAt = now
			if b.rank == 0 {
				b.firstSince = now
			}
		}
	}
	if now.After(k.lastEvent) {
		k.lastEvent = now
	}
}

// assignRanks updates the ranks of this instance, and adds a bucket with start tokens where it has none.
func (k *Keeper) assignRanks(now time.Time) {
	k.revision = k.roster.revision
	for organisation, l := range k.limits {
		rank := keeperRanks
		if l.Rate > 0 {
			rank = k.roster.ownRank(organisation)
		}
		b, ok := k.buckets[organisation]
		if !ok {
			if rank == keeperRanks {
				continue
			}
			b = k.newBucket(now, &l)
			k.buckets[organisation] = b
		}
		k.setRank(now, b, rank)
	}
}

func (k *Keeper) newBucket(now time.Time, l *Limit) *bucket {
	s := k.terms.shareOf(l)
	return &bucket{
		limit:       *l,
		share:       s,
		level:       s.start,
		advancedAt:  now,
		rank:        keeperRanks,
		askLenderAt: map[string]time.Time{},
	}
}

func (k *Keeper) setRank(now time.Time, b *bucket, rank int) {
	k.advance(now, b)
	if rank == 0 && b.firstSince.IsZero() {
		b.firstSince = now
		if k.terms.FirstStart && !k.isConfigured {
			// Nothing can have been granted before, so nobody's rate is earned twice.
			b.firstSince = now.Add(-takeoverDelay)
		}
	}
	if rank != 0 {
		b.firstSince = time.Time{}
	}
	if rank == keeperRanks && b.rank != keeperRanks {
		b.unrankedSince = now
	}
	b.rank = rank
}

// isFirst reports whether the bucket earns the zone's rate.
func (k *Keeper) isFirst(now time.Time, b *bucket) bool {
	return k.inContact && b.rank == 0 && now.Sub(b.firstSince) >= takeoverDelay
}

// advance adds the tokens earned since the last call. Borrowed tokens may exceed the capacity while it is below one.
func (k *Keeper) advance(now time.Time, b *bucket) {
	elapsed := now.Sub(b.advancedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.advancedAt = now
	capacity := b.share.start
	if k.isFirst(now, b) {
		capacity = b.share.capacity
	}
	if b.level < capacity {
		b.level = min(capacity, b.level+k.rateOf(now, b)*elapsed)
	}
	b.level = min(b.level, max(b.share.capacity, 1))
}

// rateOf returns how many tokens the bucket earns per second.
func (k *Keeper) rateOf(now time.Time, b *bucket) float64 {
	switch {
	case !k.isFirst(now, b):
		return b.share.backupRate
	case b.isCut:
		return b.share.cutRate
	default:
		return b.share.rate
	}
}

// Keeps reports whether this instance may grant tokens of the organisation.
func (k *Keeper) Keeps(now time.Time, organisation string) bool {
	b := k.buckets[organisation]
	if b == nil || b.rank == keeperRanks || !k.roster.IsKnown() {
		return false
	}
	return k.startsFirst || now.Sub(k.roster.knownSince) >= settleDelay
}

// Allot grants whole tokens out of the bucket. If there is less than one, the grant says what is missing, so that the owner may borrow it and ask once more.
func (k *Keeper) Allot(now time.Time, organisation string, wanted float64) Grant {
	k.observe(now)
	b := k.buckets[organisation]
	if b == nil {
		return Grant{
			IsUnknown: true,
		}
	}
	k.advance(now, b)
	// A demand beyond one request gets at most half of the bucket, so that one instance does not keep others waiting for tokens that it may not need.
	granted := math.Floor(min(wanted, max(1, b.level/2)))
	const epsilon = 1e-9
	if granted < 1 || b.level+epsilon < granted {
		return k.deny(now, b)
	}
	b.level = max(0, b.level-granted)
	b.grants.add(now, grantMemory, granted)
	return Grant{
		Tokens: granted,
	}
}

// deny returns the answer to a request without a token.
func (k *Keeper) deny(now time.Time, b *bucket) Grant {
	b.isCut = now.Sub(b.lenderSeenAt) > cutDelay
	return Grant{
		Missing:    1 - b.level + min(b.grants.perSecond(now, grantMemory)*demandSpan.Seconds(), max(0, b.share.capacity/2-1)),
		RetryAfter: k.waitFor(now, b),
		IsUnknown:  !k.isFirst(now, b) && now.Sub(b.lenderSeenAt) > lendRetry,
	}
}

// waitFor returns when the bucket will have a token.
func (k *Keeper) waitFor(now time.Time, b *bucket) time.Duration {
	wait := time.Duration((1 - b.level) / max(k.rateOf(now, b), minPromiseRate) * float64(time.Second))
	if lender := b.lenderRetryAt.Sub(now); lender > 0 {
		wait = min(wait, lender)
	}
	return max(wait, time.Millisecond)
}

// Promise returns the retry time for a caller that is refused. Callers refused in succession get successive times, at the rate at which the zone earns and borrows tokens.
func (k *Keeper) Promise(now time.Time, organisation string, g Grant) time.Duration {
	b := k.buckets[organisation]
	if b == nil {
		return g.RetryAfter
	}
	earliest := now.Add(g.RetryAfter)
	interval := time.Duration(float64(time.Second) / max(k.rateOf(now, b)+b.borrowed.perSecond(now, grantMemory), minPromiseRate))
	at := b.promisedUntil.Add(interval)
	if at.Before(earliest) {
		at = earliest
	}
	if latest := earliest.Add(maxQueue); at.After(latest) {
		at = latest
	}
	b.promisedUntil = at
	return at.Sub(now)
}

// Lenders returns whom to ask for missing tokens: the keepers of the other zones, for a backup the keeper of its own, which other instances may only have found slow, and for a new keeper the previous one. A lender that had nothing is left out until it expects a token.
func (k *Keeper) Lenders(now time.Time, organisation string) []Member {
	b := k.buckets[organisation]
	if b == nil {
		return nil
	}
	ownZoneFrom := 0
	if b.rank == 0 {
		ownZoneFrom = keeperRanks
		if now.Sub(b.firstSince) < removalDelay {
			ownZoneFrom = 1
		}
	}
	var lenders []Member
	for _, m := range k.roster.Lenders(now, organisation, ownZoneFrom) {
		if !now.Before(b.askLenderAt[m.Instance]) {
			lenders = append(lenders, m)
		}
	}
	return lenders
}

// Lend takes up to the given number of tokens out of the bucket for the keeper of another zone. The tokens are gone whether or not the answer arrives.
func (k *Keeper) Lend(now time.Time, organisation string, wanted float64) Loan {
	k.observe(now)
	b := k.buckets[organisation]
	if b == nil || !(wanted > 0) {
		return Loan{
			RetryAfter: lendRetry,
		}
	}
	k.advance(now, b)
	lent := min(wanted, b.level)
	b.level -= lent
	loan := Loan{
		Tokens: lent,
	}
	if lent < wanted {
		loan.RetryAfter = k.waitFor(now, b)
	}
	return loan
}

// Borrowed adds what a lender has lent.
func (k *Keeper) Borrowed(now time.Time, organisation, lender string, wanted float64, loan Loan) {
	b := k.buckets[organisation]
	if b == nil {
		return
	}
	k.advance(now, b)
	b.lenderSeenAt = now
	b.isCut = false
	accepted := max(0, min(loan.Tokens, wanted))
	b.level = min(b.level+accepted, max(b.share.capacity, 1))
	b.borrowed.add(now, grantMemory, accepted)
	if loan.Tokens >= wanted {
		delete(b.askLenderAt, lender)
		return
	}
	b.askLenderAt[lender] = now.Add(min(loan.RetryAfter, lendRetry))
	if at := now.Add(loan.RetryAfter); b.lenderRetryAt.Before(now) || at.Before(b.lenderRetryAt) {
		b.lenderRetryAt = at
	}
}

// Return takes back the tokens of requests that have not run.
func (k *Keeper) Return(now time.Time, organisation string, tokens float64) {
	k.observe(now)
	if b := k.buckets[organisation]; b != nil && tokens > 0 {
		k.advance(now, b)
		b.level = max(b.level, min(b.level+tokens, b.share.capacity))
	}
}
