package quarantiner

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

// NewProofOfLife returns the report that an incarnation of a replica has responded to an attempt sent after its supposed crash, which refutes the crash for all requests. Its round is 0, which no attempt has: an ordinary answer may belong to an attempt sent before a crash. Older builds ignore it.
func NewProofOfLife(replica string, bornMs int64) *wire.AttemptEnd {
	return &wire.AttemptEnd{
		Replica: replica,
		BornMs:  bornMs,
	}
}

func isProofOfLife(attempt *wire.AttemptEnd) bool {
	return !attempt.GetCrashed() && attempt.GetRound() == 0 && attempt.GetReplica() != ""
}

// refute removes the crashes of an incarnation that is alive from all records.
func (q *Quarantiner) refute(proof *wire.AttemptEnd, index uint64) {
	for fingerprint, suspect := range q.suspects {
		if !hasCrashOf(suspect, proof) {
			continue
		}
		remaining := proto.CloneOf(suspect)
		remaining.Crashes = slices.DeleteFunc(remaining.GetCrashes(), func(c *wire.ReplicaCrash) bool { return isSameReplica(c, proof) })
		remaining.Index = max(remaining.GetIndex(), index)
		q.suspects[fingerprint] = remaining
	}
}

// isRefutable reports whether a record has a crash of the incarnation.
func (q *Quarantiner) isRefutable(proof *wire.AttemptEnd) bool {
	for _, suspect := range q.suspects {
		if hasCrashOf(suspect, proof) {
			return true
		}
	}
	return false
}

func hasCrashOf(suspect *wire.SuspectRequest, attempt *wire.AttemptEnd) bool {
	return slices.ContainsFunc(suspect.GetCrashes(), func(c *wire.ReplicaCrash) bool { return isSameReplica(c, attempt) })
}
