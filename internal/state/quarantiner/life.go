package quarantiner

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// NewLifeSign returns the report that an incarnation of a replica has run on after crashes of it were reported. It has no round, unlike the ends of attempts, so that earlier builds ignore it.
func NewLifeSign(replica string, bornMs int64) *wire.AttemptEnd {
	return &wire.AttemptEnd{
		Replica: replica,
		BornMs:  bornMs,
	}
}

func isLifeSign(attempt *wire.AttemptEnd) bool {
	return !attempt.GetCrashed() && attempt.GetRound() == 0 && attempt.GetReplica() != ""
}

func signOf(attempt *wire.AttemptEnd) incarnation {
	return incarnation{
		replica: attempt.GetReplica(),
		bornMs:  attempt.GetBornMs(),
	}
}

// SinceCrash returns the time since the last crash under the requests that are suspected of a crash of the incarnation, and whether there are any.
func (q *Quarantiner) SinceCrash(nowMs int64, replica string, bornMs int64) (time.Duration, bool) {
	key := incarnation{
		replica: replica,
		bornMs:  bornMs,
	}
	if q.crashed[key] == 0 {
		return 0, false
	}
	lastMs := int64(0)
	for _, suspect := range q.suspects {
		if hasCrashOf(suspect, key) {
			lastMs = max(lastMs, suspect.GetLastCrashMs())
		}
	}
	return time.Duration(max(0, nowMs-lastMs)) * time.Millisecond, true
}

// Refute removes the crashes of the incarnation and returns the fingerprints of the requests that were suspected of them. Their records keep their indexes, as before control knows of it.
func (q *Quarantiner) Refute(replica string, bornMs int64) []uint64 {
	return q.refute(incarnation{
		replica: replica,
		bornMs:  bornMs,
	}, 0)
}

// refute removes the crashes of the incarnation. An index of 0 leaves those of the records.
func (q *Quarantiner) refute(key incarnation, index uint64) []uint64 {
	var fingerprints []uint64
	for fingerprint, suspect := range q.suspects {
		if hasCrashOf(suspect, key) {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	slices.Sort(fingerprints)
	for _, fingerprint := range fingerprints {
		suspect := proto.CloneOf(q.suspects[fingerprint])
		suspect.Crashes = slices.DeleteFunc(suspect.GetCrashes(), func(c *wire.ReplicaCrash) bool { return incarnationOf(c) == key })
		if index > 0 {
			suspect.Index = index
		}
		q.store(suspect)
	}
	return fingerprints
}

func hasCrashOf(suspect *wire.SuspectRequest, key incarnation) bool {
	return slices.ContainsFunc(suspect.GetCrashes(), func(c *wire.ReplicaCrash) bool { return incarnationOf(c) == key })
}
