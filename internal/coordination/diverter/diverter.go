package diverter

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// silenceDelay is how long replicas must have been silent at least for this instance to count as isolated. It covers a pause of a replica.
	silenceDelay = 250 * time.Millisecond
	// patienceFactor is how many times the expected latency a response may take.
	patienceFactor = 3
	// maxCheckGap is the longest time between two checks that counts as silence of replicas. After a longer one this process itself may have stood still.
	maxCheckGap = 500 * time.Millisecond
	// minUnreachableReplicas is how many replicas must have taken no connection since the last one that was opened. A single shard's replicas may have failed themselves.
	minUnreachableReplicas = 3
	// minSilentReplicas is how many replicas must be silent. A single one may have failed itself.
	minSilentReplicas = 2
	// minProvenPeers is how many peers share the requests at least, as far as there are so many.
	minProvenPeers = 3
	// initialBackoff is how long a peer is skipped after its first failure; it doubles with each further failure, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Peer is another entry instance.
type Peer struct {
	Instance string
	Address  string
	// Zone is the peer's availability zone.
	Zone string

	failures     int
	backoffUntil time.Time
	// hasAnswered is set if the peer has answered its last request.
	hasAnswered bool
}

// Diverter tracks whether replicas respond to this instance, and the peers that may answer requests in its place. It is not safe for concurrent use.
type Diverter struct {
	self   string
	random *rand.Rand
	// waits holds the replicas that were sent an attempt since the last contact with any replica.
	waits map[string]wait
	// unreachable holds the replicas that have taken no connection since the last one that was opened.
	unreachable map[string]bool
	lastCheck   time.Time
	isIsolated  bool
	peers       []*Peer
	// nextPeer is the index of the peer that is chosen next if it is healthy.
	nextPeer int
}

// wait is the wait for the response to the first attempt at a replica.
type wait struct {
	since time.Time
	// patience is how long it may take.
	patience time.Duration
}

// New returns a diverter without peers for the entry instance self.
func New(self string, random *rand.Rand) *Diverter {
	return &Diverter{
		self:        self,
		random:      random,
		waits:       map[string]wait{},
		unreachable: map[string]bool{},
	}
}

// RecordSent records that an attempt was sent to the replica directly. Its response usually takes no longer than expected.
func (d *Diverter) RecordSent(now time.Time, replica string, expected time.Duration) {
	if _, ok := d.waits[replica]; !ok {
		d.waits[replica] = wait{
			since:    now,
			patience: max(silenceDelay, patienceFactor*expected),
		}
	}
}

// RecordContact records that a replica has responded.
func (d *Diverter) RecordContact() { clear(d.waits) }

// RecordConnection records that a connection to a replica was opened.
func (d *Diverter) RecordConnection() { clear(d.unreachable) }

// RecordNoConnection records that the replica has not taken a connection.
func (d *Diverter) RecordNoConnection(replica string) { d.unreachable[replica] = true }

// IsSuspect reports whether this instance may be isolated: several replicas have been silent for longer than usual since the last contact with any, or have taken no connection since the last one that was opened. Open connections can go on while new ones fail. It has to be called at short intervals.
func (d *Diverter) IsSuspect(now time.Time) bool {
	gap := now.Sub(d.lastCheck)
	d.lastCheck = now
	if gap > maxCheckGap {
		d.restartSilence(now)
	}
	silent := 0
	for _, w := range d.waits {
		if now.Sub(w.since) >= w.patience {
			silent++
		}
	}
	return silent >= minSilentReplicas || len(d.unreachable) >= minUnreachableReplicas
}

// RecordProbes records whether any of several health checks over new connections, to random replicas, got a response. This decides whether the instance is isolated.
func (d *Diverter) RecordProbes(responded bool) {
	d.isIsolated = !responded
	if responded {
		clear(d.waits)
		clear(d.unreachable)
	}
}

// IsIsolated reports whether this instance reaches no replica.
func (d *Diverter) IsIsolated() bool { return d.isIsolated }

// restartSilence lets the silence of all replicas begin now.
func (d *Diverter) restartSilence(now time.Time) {
	for replica, w := range d.waits {
		w.since = now
		d.waits[replica] = w
	}
}

// Update replaces the list of peers. Peers that were known under the same address keep their state.
func (d *Diverter) Update(peers []Peer) {
	var next []*Peer
	for _, listed := range peers {
		if listed.Instance == d.self || listed.Address == "" {
			continue
		}
		known := &Peer{
			Instance: listed.Instance,
			Address:  listed.Address,
		}
		if i := slices.IndexFunc(d.peers, func(p *Peer) bool { return p.Instance == listed.Instance && p.Address == listed.Address }); i >= 0 {
			known = d.peers[i]
		}
		known.Zone = listed.Zone
		next = append(next, known)
	}
	d.peers = next
	if len(next) > 0 {
		// Instances that are isolated at the same time start at different peers.
		d.nextPeer = d.random.IntN(len(next))
	}
}

// Choose returns the next healthy peer that is not in avoid, or nil if there is none. Successive calls return the peers in turn, which spreads the load. Once enough peers have answered, or another one did not, only those that have answered take turns, since the others may be isolated as well.
func (d *Diverter) Choose(now time.Time, avoid []*Peer) *Peer {
	return d.ChooseAmong(now, avoid, func(*Peer) bool { return true })
}

// ChooseAmong is like Choose, for the peers for which accept returns true.
func (d *Diverter) ChooseAmong(now time.Time, avoid []*Peer, accept func(*Peer) bool) *Peer {
	var healthy, proven []int
	for i := range d.peers {
		// The search starts behind the peer that was chosen last.
		index := (d.nextPeer + 1 + i) % len(d.peers)
		p := d.peers[index]
		if now.Before(p.backoffUntil) || slices.Contains(avoid, p) || !accept(p) {
			continue
		}
		healthy = append(healthy, index)
		if p.hasAnswered {
			proven = append(proven, index)
		}
	}
	if len(proven) >= minProvenPeers || len(proven) > 0 && len(avoid) > 0 {
		healthy = proven
	}
	if len(healthy) == 0 {
		return nil
	}
	d.nextPeer = healthy[0]
	return d.peers[d.nextPeer]
}

// RecordAnswer records that the peer has answered a request.
func (d *Diverter) RecordAnswer(p *Peer) {
	p.failures = 0
	p.hasAnswered = true
}

// RecordFailure records that the peer did not answer a request, and skips it for a while. Requests that were sent before the skip count as one failure.
func (d *Diverter) RecordFailure(now time.Time, p *Peer) {
	if now.Before(p.backoffUntil) {
		return
	}
	p.hasAnswered = false
	p.backoffUntil = now.Add(min(initialBackoff<<min(p.failures, 10), maxBackoff))
	p.failures++
}
