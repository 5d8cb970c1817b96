package refuter

import "time"

const (
	// Delay is how long after a crash a heartbeat counts. An earlier one may have been sent before the crash.
	Delay = 2 * time.Second
	// minInterval is the time between the two heartbeats that are needed. Heartbeats that were held up on the way arrive together.
	minInterval = time.Second
	// maxInterval is the time after which the first of them no longer counts.
	maxInterval = 10 * time.Second
	// maxReplicas bounds the replicas that are observed; further ones are observed once others are not.
	maxReplicas = 4096
)

// Incarnation is one process of a replica.
type Incarnation struct {
	Replica string
	// BornMs is its start time in Unix milliseconds, 0 if it is not known.
	BornMs int64
}

// Heartbeat is a heartbeat of an incarnation under which a request is suspected of a crash.
type Heartbeat struct {
	Incarnation

	Sequence uint64
	// SinceCrash is the time since the last crash under that request.
	SinceCrash time.Duration
}

// Refuter holds the first heartbeats of replicas after their supposed crashes; it is not safe for concurrent use.
type Refuter struct {
	first map[Incarnation]sighting
}

// sighting is a heartbeat and the time at which it arrived.
type sighting struct {
	at       time.Time
	sequence uint64
}

// New returns a refuter that has observed nothing.
func New() *Refuter {
	return &Refuter{
		first: map[Incarnation]sighting{},
	}
}

// Observe reports whether the heartbeat refutes the crash: it is the second one after Delay, and was sent after the first. Without a start time a heartbeat may be of the next incarnation.
func (r *Refuter) Observe(now time.Time, h Heartbeat) bool {
	if h.BornMs == 0 || h.SinceCrash < Delay {
		return false
	}
	first, known := r.first[h.Incarnation]
	if !known || now.Sub(first.at) > maxInterval {
		r.remember(now, h)
		return false
	}
	if now.Sub(first.at) < minInterval || h.Sequence <= first.sequence {
		return false
	}
	delete(r.first, h.Incarnation)
	return true
}

func (r *Refuter) remember(now time.Time, h Heartbeat) {
	if len(r.first) >= maxReplicas {
		r.removeOld(now)
	}
	if len(r.first) >= maxReplicas {
		return
	}
	r.first[h.Incarnation] = sighting{
		at:       now,
		sequence: h.Sequence,
	}
}

func (r *Refuter) removeOld(now time.Time) {
	for incarnation, first := range r.first {
		if now.Sub(first.at) > maxInterval {
			delete(r.first, incarnation)
		}
	}
}
