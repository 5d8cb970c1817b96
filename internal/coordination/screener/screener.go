package screener

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/state/quarantiner"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// maxReports bounds the ends of attempts that wait to be reported; further ones are dropped.
	maxReports = 512
	// reportTime is how long a crash that this instance has seen may take to be part of what control says.
	reportTime = time.Second
	// maxLosses bounds the incarnations that have ended a connection; the oldest are dropped first.
	maxLosses = 1024
)

// Verdict says how a request may be sent.
type Verdict struct {
	// IsSuspect is set if the request may be the cause of crashes, so that it must not be sent to many replicas at once.
	IsSuspect bool
	// QuarantinedFor is how much longer the request is quarantined, 0 if it is not.
	QuarantinedFor time.Duration
	// RetryAfter is when the caller of a quarantined request may come again.
	RetryAfter time.Duration
}

// Attempt is an attempt of a request at one incarnation of a replica.
type Attempt struct {
	Fingerprint uint64
	Service     string
	Replica     string
	BornMs      int64
	// Round is the result of NextRound when the attempt was sent.
	Round uint32
}

// Report is the end of an attempt that control has to know.
type Report struct {
	Attempt

	Crashed bool
	// IsLifeSign is set if the replica has run on after its supposed crash. Only the replica and its start time are then set.
	IsLifeSign bool
	EndedAt    time.Time
}

// Delivery says when a response was asked for, and over which connection.
type Delivery struct {
	SentAt time.Time
	// ConnectedAt is when the connection was opened; zero if that is not known.
	ConnectedAt time.Time
}

// incarnation is one process of a replica.
type incarnation struct {
	replica string
	bornMs  int64
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
	// lostAt holds when an incarnation has last ended a connection of this instance under an attempt.
	lostAt  map[incarnation]time.Time
	reports []Report
	changes []Change
}

// New returns a screener that knows no suspect request.
func New(now time.Time) *Screener {
	return &Screener{
		table:       quarantiner.New(nil),
		epoch:       now,
		quarantined: map[uint64]bool{},
		lostAt:      map[incarnation]time.Time{},
	}
}

// Check returns how the request may be sent now.
func (s *Screener) Check(now time.Time, fingerprint uint64) Verdict {
	suspect := s.table.Find(fingerprint)
	return Verdict{
		IsSuspect:      quarantiner.IsSuspect(suspect),
		QuarantinedFor: quarantiner.Remaining(suspect, s.toMs(now)),
		RetryAfter:     quarantiner.RetryAfter(suspect, s.toMs(now)),
	}
}

// IsShardQuarantined reports whether the request over shards is kept from the shard.
func (s *Screener) IsShardQuarantined(now time.Time, fingerprint uint64, service string) bool {
	suspect := s.table.Find(fingerprint)
	return quarantiner.Remaining(suspect, s.toMs(now)) > 0 && quarantiner.AffectsShard(suspect, service)
}

// HasCrashed reports whether replicas of the service have crashed under the request and not answered it since.
func (s *Screener) HasCrashed(fingerprint uint64, service string) bool {
	return quarantiner.HasCrashed(s.table.Find(fingerprint), service)
}

// NextRound returns the round of an attempt of the request that is sent now.
func (s *Screener) NextRound(fingerprint uint64) uint32 {
	return quarantiner.NextRound(s.table.Find(fingerprint))
}

// RecordCrash records that the replica crashed while it ran the attempt.
func (s *Screener) RecordCrash(now time.Time, a Attempt) {
	s.rememberLoss(now, incarnation{
		replica: a.Replica,
		bornMs:  a.BornMs,
	})
	s.record(now, a, true)
}

// RecordAnswer records that the replica answered the attempt.
func (s *Screener) RecordAnswer(now time.Time, a Attempt) { s.record(now, a, false) }

// RecordResponse refutes the crashes of the attempt's replica if it has responded, to a request sent since, over a connection that it had before: the process is the same.
func (s *Screener) RecordResponse(now time.Time, a Attempt, d Delivery) {
	key := incarnation{
		replica: a.Replica,
		bornMs:  a.BornMs,
	}
	lostAt, isKnown := s.lostAt[key]
	if !isKnown || d.ConnectedAt.IsZero() || !d.ConnectedAt.Before(lostAt) || !d.SentAt.After(lostAt) {
		return
	}
	delete(s.lostAt, key)
	changed := s.table.Refute(key.replica, key.bornMs)
	if len(changed) == 0 {
		return
	}
	s.addReport(Report{
		Attempt: Attempt{
			Replica: a.Replica,
			BornMs:  a.BornMs,
		},
		IsLifeSign: true,
		EndedAt:    now,
	})
	for _, fingerprint := range changed {
		s.noteChange(now, fingerprint)
	}
}

func (s *Screener) rememberLoss(now time.Time, key incarnation) {
	s.lostAt[key] = now
	if len(s.lostAt) <= maxLosses {
		return
	}
	oldest := key
	for other, at := range s.lostAt {
		if at.Before(s.lostAt[oldest]) {
			oldest = other
		}
	}
	delete(s.lostAt, oldest)
}

func (s *Screener) addReport(report Report) {
	if len(s.reports) < maxReports {
		s.reports = append(s.reports, report)
	}
}

func (s *Screener) record(now time.Time, a Attempt, crashed bool) {
	if !crashed && s.table.Find(a.Fingerprint) == nil {
		// Nothing is known of the request that an answer could change.
		return
	}
	report := Report{
		Attempt: a,
		Crashed: crashed,
		EndedAt: now,
	}
	index := s.table.Find(a.Fingerprint).GetIndex()
	if !s.table.Report(s.toMs(now), report.ToWire(now), index) {
		return
	}
	s.addReport(report)
	s.noteChange(now, a.Fingerprint)
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
		before := s.table.Find(record.GetFingerprint())
		s.table.Put(suspect)
		s.addUnreported(now, before)
		s.noteChange(now, suspect.GetFingerprint())
	}
}

// addUnreported adds the crashes of a record, which was replaced by that of control, that control can't know of yet.
func (s *Screener) addUnreported(now time.Time, before *wire.SuspectRequest) {
	index := s.table.Find(before.GetFingerprint()).GetIndex()
	for _, crash := range before.GetCrashes() {
		lostAt, isOwn := s.lostAt[incarnation{
			replica: crash.GetReplica(),
			bornMs:  crash.GetBornMs(),
		}]
		if !isOwn || now.Sub(lostAt) >= reportTime {
			continue
		}
		s.table.Report(s.toMs(lostAt), &wire.AttemptEnd{
			Fingerprint: before.GetFingerprint(),
			Service:     crash.GetService(),
			Replica:     crash.GetReplica(),
			BornMs:      crash.GetBornMs(),
			Crashed:     true,
			Round:       crash.GetRound(),
		}, index)
	}
}

// noteChange adds a change if the quarantine of the request has begun or ended.
func (s *Screener) noteChange(now time.Time, fingerprint uint64) {
	isQuarantined := s.Check(now, fingerprint).QuarantinedFor > 0
	if isQuarantined == s.quarantined[fingerprint] {
		return
	}
	if isQuarantined {
		s.quarantined[fingerprint] = true
	} else {
		delete(s.quarantined, fingerprint)
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
		if s.Check(now, fingerprint).QuarantinedFor > 0 {
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
	if r.IsLifeSign {
		return quarantiner.NewLifeSign(r.Replica, r.BornMs)
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
