package screener

import (
	"time"

	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// proofDelay is how long control must have been heard after a response of a crashed incarnation for the response to refute the crash. The response may come from a process that has started anew at the address, of which control tells within a heartbeat and a poll.
	proofDelay = 2 * time.Second
	// maxCrashed bounds the incarnations whose crashes can be refuted here, at some 100 bytes each.
	maxCrashed = 4096
	// pruneInterval is how often incarnations are removed whose crashes are no longer in the table.
	pruneInterval = 10 * time.Second
)

// crashIndex finds out which crashes in the table are refuted by later responses.
type crashIndex struct {
	// knownAt is when this instance learned of a crash. An attempt sent later was sent after the crash.
	knownAt map[Incarnation]time.Time
	// respondedAt is when an incarnation first responded to such an attempt.
	respondedAt map[Incarnation]time.Time
	prunedAt    time.Time
}

func newCrashIndex() *crashIndex {
	return &crashIndex{
		knownAt:     map[Incarnation]time.Time{},
		respondedAt: map[Incarnation]time.Time{},
	}
}

func (c *crashIndex) has(incarnation Incarnation) bool { return !c.knownAt[incarnation].IsZero() }

func (c *crashIndex) add(now time.Time, incarnation Incarnation) {
	if !c.has(incarnation) && len(c.knownAt) < maxCrashed {
		c.knownAt[incarnation] = now
	}
}

// addAll adds the crashes of a record.
func (c *crashIndex) addAll(now time.Time, suspect *wire.SuspectRequest) {
	for _, crash := range suspect.GetCrashes() {
		c.add(now, incarnationOf(crash))
	}
}

func incarnationOf(crash *wire.ReplicaCrash) Incarnation {
	return Incarnation{
		Replica: crash.GetReplica(),
		BornMs:  crash.GetBornMs(),
	}
}

func (c *crashIndex) recordResponse(now, sentAt time.Time, incarnation Incarnation) {
	if !c.has(incarnation) || !sentAt.After(c.knownAt[incarnation]) {
		return
	}
	if _, ok := c.respondedAt[incarnation]; !ok {
		c.respondedAt[incarnation] = now
	}
}

// removeProofs drops the responses of earlier incarnations of the replica: they came from the newer one.
func (c *crashIndex) removeProofs(current Incarnation) {
	for incarnation := range c.respondedAt {
		if incarnation.Replica == current.Replica && incarnation.BornMs < current.BornMs {
			delete(c.respondedAt, incarnation)
		}
	}
}

// takeProven removes and returns the incarnations that are alive.
func (c *crashIndex) takeProven(controlAt time.Time) []Incarnation {
	var proven []Incarnation
	for incarnation, respondedAt := range c.respondedAt {
		if controlAt.Sub(respondedAt) >= proofDelay {
			proven = append(proven, incarnation)
			delete(c.respondedAt, incarnation)
			delete(c.knownAt, incarnation)
		}
	}
	return proven
}

// prune removes incarnations whose crashes are no longer in the table.
func (c *crashIndex) prune(now time.Time, table *quarantiner.Quarantiner) {
	if now.Sub(c.prunedAt) < pruneInterval || len(c.knownAt) == 0 {
		return
	}
	c.prunedAt = now
	known := map[Incarnation]time.Time{}
	responded := map[Incarnation]time.Time{}
	for _, suspect := range table.Suspects(0) {
		for _, crash := range suspect.GetCrashes() {
			incarnation := incarnationOf(crash)
			if c.has(incarnation) {
				known[incarnation] = c.knownAt[incarnation]
			}
			if at, ok := c.respondedAt[incarnation]; ok {
				responded[incarnation] = at
			}
		}
	}
	c.knownAt, c.respondedAt = known, responded
}
