package screener

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxReports bounds the ends of attempts that wait to be reported; further ones are dropped.
	maxReports = 512
	// maxChanges bounds the changes that wait to be taken; further ones are dropped.
	maxChanges = 512
)

// Verdict says how a request may be sent.
type Verdict struct {
	// IsSuspect is set if the request may be the cause of crashes, so that it must not be sent to many replicas at once.
	IsSuspect bool
	// QuarantinedFor is how much longer the request is quarantined, 0 if it is not.
	QuarantinedFor time.Duration
}

// Attempt is an attempt of a request at one incarnation of a replica.
type Attempt struct {
	Fingerprint uint64
	Service     string
	Replica     string
	BornMs      int64
	// Zone is the replica's availability zone.
	Zone string
	// Round is the result of NextRound when the attempt was sent.
	Round uint32
}

// Incarnation returns the incarnation that the attempt was sent to.
func (a *Attempt) Incarnation() Incarnation {
	return Incarnation{
		Replica: a.Replica,
		BornMs:  a.BornMs,
	}
}

// Incarnation is one process of a replica, from its start to its end.
type Incarnation struct {
	Replica string
	BornMs  int64
}

// Report is the end of an attempt that control has to know.
type Report struct {
	Attempt

	Crashed bool
	// IsProofOfLife is set if the replica has responded after its supposed crash. Only the incarnation of the attempt is then set.
	IsProofOfLife bool
	EndedAt       time.Time
}

// Change says that the quarantine of a request has begun or ended.
type Change struct {
	Fingerprint   uint64
	IsQuarantined bool
	Crashes       int
}

// Screener holds the suspect requests that this instance has seen or that control has told it of; it is not safe for concurrent use.
type Screener struct {
	table *quarantiner.Quarantiner
	// epoch is the origin of the table's times.
	epoch time.Time
	// quarantined holds the requests whose quarantine was reported as a change.
	quarantined map[uint64]bool
	// suspicions holds the crashes that are not confirmed. They are not reported.
	suspicions *suspicions
	// crashed holds the incarnations whose crashes are in the table.
	crashed *crashIndex
	reports []Report
	changes []Change
}

// New returns a screener that knows no suspect request.
func New(now time.Time) *Screener {
	return &Screener{
		table:       quarantiner.New(nil),
		epoch:       now,
		quarantined: map[uint64]bool{},
		suspicions:  newSuspicions(),
		crashed:     newCrashIndex(),
	}
}

// Check returns how the request may be sent now.
func (s *Screener) Check(now time.Time, fingerprint uint64) Verdict {
	return Verdict{
		IsSuspect:      quarantiner.IsSuspect(s.view(fingerprint)),
		QuarantinedFor: s.remaining(now, fingerprint),
	}
}

// remaining returns how much longer the request is quarantined. If that depends on crashes that are not confirmed, it is at most until the first of them expires.
func (s *Screener) remaining(now time.Time, fingerprint uint64) time.Duration {
	if confirmed := quarantiner.Remaining(s.table.Find(fingerprint), s.toMs(now)); confirmed > 0 {
		return confirmed
	}
	if quarantiner.Remaining(s.view(fingerprint), s.toMs(now)) == 0 {
		return 0
	}
	return max(0, s.suspicions.expiry(fingerprint).Sub(now))
}

// view returns the record of the request with the crashes that are not confirmed, or nil if there is neither.
func (s *Screener) view(fingerprint uint64) *wire.SuspectRequest {
	confirmed := s.table.Find(fingerprint)
	pending := s.suspicions.byRequest[fingerprint]
	if len(pending) == 0 {
		return confirmed
	}
	view := &wire.SuspectRequest{
		Fingerprint: fingerprint,
		Crashes:     slices.Clone(confirmed.GetCrashes()),
		LastCrashMs: confirmed.GetLastCrashMs(),
	}
	for _, p := range pending {
		view.Crashes = append(view.Crashes, &wire.ReplicaCrash{
			Service: p.Service,
			Replica: p.Replica,
			BornMs:  p.BornMs,
			Round:   min(p.Round, quarantiner.NextRound(view)),
		})
		view.LastCrashMs = max(view.GetLastCrashMs(), s.toMs(p.EndedAt))
	}
	return view
}

// IsShardQuarantined reports whether the request over shards is kept from the shard.
func (s *Screener) IsShardQuarantined(now time.Time, fingerprint uint64, service string) bool {
	return s.remaining(now, fingerprint) > 0 && quarantiner.AffectsShard(s.view(fingerprint), service)
}

// HasCrashed reports whether replicas of the service have crashed under the request and not answered it since.
func (s *Screener) HasCrashed(fingerprint uint64, service string) bool {
	return quarantiner.HasCrashed(s.view(fingerprint), service)
}

// NextRound returns the round of an attempt of the request that is sent now.
func (s *Screener) NextRound(fingerprint uint64) uint32 {
	return quarantiner.NextRound(s.view(fingerprint))
}

// RecordCrash records that the replica crashed while it ran the attempt.
func (s *Screener) RecordCrash(now time.Time, a Attempt) {
	s.record(now, &Report{
		Attempt: a,
		Crashed: true,
		EndedAt: now,
	})
}

// RecordAnswer records that the replica answered the attempt.
func (s *Screener) RecordAnswer(now time.Time, a Attempt) {
	s.suspicions.removeAnswered(&a)
	if s.table.Find(a.Fingerprint) == nil {
		// Nothing is known of the request that an answer could change.
		return
	}
	s.record(now, &Report{
		Attempt: a,
		EndedAt: now,
	})
}

func (s *Screener) record(now time.Time, report *Report) {
	index := s.table.Find(report.Fingerprint).GetIndex()
	if !s.table.Report(s.toMs(now), report.ToWire(now), index) {
		return
	}
	if len(s.reports) < maxReports {
		s.reports = append(s.reports, *report)
	}
	if report.Crashed {
		s.crashed.add(now, report.Incarnation())
	}
	s.noteChange(now, report.Fingerprint)
}

// Update takes over the records of control that are newer than those known; controlNowMs is the time to which their times relate.
func (s *Screener) Update(now time.Time, records []*wire.SuspectRequest, controlNowMs int64) {
	shift := s.toMs(now) - controlNowMs
	for _, record := range records {
		if record.GetIndex() <= s.table.Find(record.GetFingerprint()).GetIndex() {
			continue
		}
		suspect := proto.CloneOf(record)
		suspect.LastCrashMs += shift
		s.table.Put(suspect)
		s.crashed.addAll(now, suspect)
		s.noteChange(now, suspect.GetFingerprint())
	}
}

// noteChange adds a change if the quarantine of the request has begun or ended.
func (s *Screener) noteChange(now time.Time, fingerprint uint64) {
	isQuarantined := quarantiner.Remaining(s.table.Find(fingerprint), s.toMs(now)) > 0
	if isQuarantined == s.quarantined[fingerprint] {
		return
	}
	if isQuarantined {
		s.quarantined[fingerprint] = true
	} else {
		delete(s.quarantined, fingerprint)
	}
	if len(s.changes) >= maxChanges {
		return
	}
	s.changes = append(s.changes, Change{
		Fingerprint:   fingerprint,
		IsQuarantined: isQuarantined,
		Crashes:       len(s.table.Find(fingerprint).GetCrashes()),
	})
}

// TakeReports removes and returns up to limit reports, oldest first.
func (s *Screener) TakeReports(limit int) []Report {
	count := min(limit, len(s.reports))
	taken := s.reports[:count:count]
	s.reports = s.reports[count:]
	return taken
}

// TakeChanges removes and returns the changes since the last call.
func (s *Screener) TakeChanges() []Change {
	changes := s.changes
	s.changes = nil
	return changes
}

// QuarantinedCount returns how many requests are quarantined.
func (s *Screener) QuarantinedCount(now time.Time) int {
	count := 0
	for fingerprint := range s.quarantined {
		if quarantiner.Remaining(s.table.Find(fingerprint), s.toMs(now)) > 0 {
			count++
		} else {
			delete(s.quarantined, fingerprint)
		}
	}
	return count
}

func (s *Screener) toMs(t time.Time) int64 { return t.Sub(s.epoch).Milliseconds() }

// ToWire returns the report as it is sent at the given time.
func (r *Report) ToWire(now time.Time) *wire.AttemptEnd {
	if r.IsProofOfLife {
		return quarantiner.NewProofOfLife(r.Replica, r.BornMs)
	}
	return &wire.AttemptEnd{
		Fingerprint: r.Fingerprint,
		Service:     r.Service,
		Replica:     r.Replica,
		BornMs:      r.BornMs,
		Crashed:     r.Crashed,
		Round:       r.Round,
		EndedMsAgo:  uint32(max(0, now.Sub(r.EndedAt).Milliseconds())),
	}
}
