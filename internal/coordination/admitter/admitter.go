package admitter

import "time"

const (
	// ratePerSecond is how many states of unitBytes are sent each second. They take some 15 % of half a core and
	// most of a link of 50 Mbit/s.
	ratePerSecond = 100.0
	// electionRatePerSecond is the rate while there is no leader, when votes need the processor and the link.
	electionRatePerSecond = 50.0
	// burst is how many states are sent at once to the first callers. Small deployments are served by it.
	burst = 12.0
	// maxRunning and maxRunningInElection bound the calls that are being answered. They bound the memory of the
	// responses, and the rate where the link is slower than assumed.
	maxRunning           = 12
	maxRunningInElection = 6
	// unitBytes is the size of a state that counts as one. A larger one counts in proportion.
	unitBytes = 64 << 10
	// plainCost is how many encoded states the processor time of a state in the old form equals, which is encoded
	// and compressed for each caller (5 ms against less than 1 ms).
	plainCost = 5.0
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to call again.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// maxPeers is how many entry instances a refusal names.
	maxPeers = 3
	// holderTTL is how long an entry instance is named after its last call that showed that it holds the state.
	holderTTL = 5 * time.Second
	// maxHoldersPerZone bounds the entry instances kept to be named.
	maxHoldersPerZone = 128
)

// Peer is an entry instance that holds the state.
type Peer struct {
	Instance string
	Zone     string
	Address  string
}

// Call is a call for the whole state.
type Call struct {
	Instance string
	Zone     string
	// Bytes is the size of the encoded state, 0 if it is not known yet.
	Bytes int
	// IsPlain is set if the caller can't read the encoded state.
	IsPlain bool
	// HasLeader reports whether this control instance is in contact with a leader.
	HasLeader bool
}

// Decision is whether a call is admitted and, if it is refused, when the caller is to call again and which
// entry instances it can ask instead.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
	Peers      []Peer
}

// Admitter admits calls for the whole state. It is not safe for concurrent use.
type Admitter struct {
	// tokens is the number of states that may be sent now, as of filledAt. It is negative after a large one.
	tokens   float64
	filledAt time.Time
	running  int
	// returnAt is when the caller that was refused last is to return.
	returnAt time.Time
	zones    map[string]*zone
	// zoneNames holds the keys of zones in the order of their first holder, for an order that is the same in each run.
	zoneNames []string
}

// zone holds the entry instances of an availability zone that hold the state. They are named in turn, so that
// each gets a few callers.
type zone struct {
	holders []holder
	next    int
}

// holder is an entry instance that held the state at its last call.
type holder struct {
	Peer

	lastSeen time.Time
}

// New returns an admitter.
func New(now time.Time) *Admitter {
	return &Admitter{
		tokens:   burst,
		filledAt: now,
		zones:    map[string]*zone{},
	}
}

// Ask decides on a call. If it is admitted, Finish must be called once it has been answered.
func (a *Admitter) Ask(now time.Time, call Call) Decision {
	rate, limit := ratePerSecond, maxRunning
	if !call.HasLeader {
		rate, limit = electionRatePerSecond, maxRunningInElection
	}
	a.fill(now, rate)
	cost := costOf(call)
	if a.tokens >= 1 && a.running < limit {
		a.tokens -= cost
		a.running++
		return Decision{
			Admitted: true,
		}
	}
	return Decision{
		RetryAfter: a.retryAfter(now, time.Duration(cost/rate*float64(time.Second))),
		Peers:      a.peersFor(now, call),
	}
}

// Finish ends an admitted call.
func (a *Admitter) Finish() { a.running-- }

// RecordHolder records that an entry instance holds the state.
func (a *Admitter) RecordHolder(now time.Time, peer Peer) {
	if peer.Address == "" {
		return
	}
	z := a.zones[peer.Zone]
	if z == nil {
		z = &zone{}
		a.zones[peer.Zone] = z
		a.zoneNames = append(a.zoneNames, peer.Zone)
	}
	z.record(now, peer)
}

// fill adds the tokens of the time since the last call.
func (a *Admitter) fill(now time.Time, rate float64) {
	elapsed := max(0, now.Sub(a.filledAt).Seconds())
	a.tokens = min(burst, a.tokens+elapsed*rate)
	a.filledAt = now
}

// retryAfter returns when the refused caller is to return: after the one refused before it, by the time that its
// own answer takes. Once the last place is taken, the places are given again from the first.
func (a *Admitter) retryAfter(now time.Time, spacing time.Duration) time.Duration {
	first := now.Add(minRetryAfter)
	a.returnAt = a.returnAt.Add(spacing)
	if a.returnAt.Before(first) || a.returnAt.Sub(now) > maxRetryAfter {
		a.returnAt = first
	}
	return a.returnAt.Sub(now)
}

// peersFor returns up to maxPeers instances that hold the state, those in the caller's zone first.
func (a *Admitter) peersFor(now time.Time, call Call) []Peer {
	var peers []Peer
	if own := a.zones[call.Zone]; own != nil {
		peers = own.appendPeers(now, peers, call.Instance)
	}
	for _, name := range a.zoneNames {
		if name != call.Zone && len(peers) < maxPeers {
			peers = a.zones[name].appendPeers(now, peers, call.Instance)
		}
	}
	return peers
}

func costOf(call Call) float64 {
	cost := max(1, float64(call.Bytes)/unitBytes)
	if call.IsPlain {
		cost *= plainCost
	}
	return cost
}

func (z *zone) record(now time.Time, peer Peer) {
	oldest := 0
	for i := range z.holders {
		if z.holders[i].Instance == peer.Instance {
			z.holders[i].Peer = peer
			z.holders[i].lastSeen = now
			return
		}
		if z.holders[i].lastSeen.Before(z.holders[oldest].lastSeen) {
			oldest = i
		}
	}
	added := holder{
		Peer:     peer,
		lastSeen: now,
	}
	if len(z.holders) == maxHoldersPerZone {
		z.holders[oldest] = added
		return
	}
	z.holders = append(z.holders, added)
}

// appendPeers appends holders until there are maxPeers, in turn from the one after the last that was named.
func (z *zone) appendPeers(now time.Time, peers []Peer, caller string) []Peer {
	for range len(z.holders) {
		if len(peers) == maxPeers {
			break
		}
		h := z.holders[z.next%len(z.holders)]
		z.next = (z.next + 1) % len(z.holders)
		if h.Instance != caller && now.Sub(h.lastSeen) <= holderTTL {
			peers = append(peers, h.Peer)
		}
	}
	return peers
}
