package forwarder

import (
	"time"

	"pimentogate.example/pimentogate/internal/coordination/screener"
)

const (
	// maxChangeLines is how many changes of quarantines are logged in a changeLogInterval; the others are counted.
	maxChangeLines    = 10
	changeLogInterval = time.Second
)

// crashLog bounds the log lines on crashes and quarantines; it is not safe for concurrent use.
type crashLog struct {
	forwarder *Forwarder
	// since is the start of the interval, lines the number of its lines, and omitted the changes that were not logged.
	since   time.Time
	lines   int
	omitted int
	// isReportFailing is set after a report that control has not taken.
	isReportFailing bool
}

// add logs changes and, once in an interval, what the checks of lost connections have shown.
func (l *crashLog) add(now time.Time, changes []screener.Change, takeSummary func() checkSummary) {
	if now.Sub(l.since) >= changeLogInterval {
		l.startInterval(now, takeSummary())
	}
	for _, change := range changes {
		if l.lines >= maxChangeLines {
			l.omitted++
			continue
		}
		l.lines++
		message := "request released from quarantine"
		if change.IsQuarantined {
			message = "request quarantined"
		}
		l.forwarder.log.Info(message, "fingerprint", formatFingerprint(change.Fingerprint), "replicas-crashed", change.Crashes)
	}
}

func (l *crashLog) startInterval(now time.Time, summary checkSummary) {
	if summary != (checkSummary{}) {
		l.forwarder.log.Info("lost connections checked", "crashed", summary.confirmed, "alive", summary.alive, "unanswered", summary.unanswered, "path-failed", summary.pathFailed)
	}
	if l.omitted > 0 {
		l.forwarder.log.Info("quarantine changes not logged", "changes", l.omitted)
	}
	l.since = now
	l.lines = 0
	l.omitted = 0
}

// addReport logs the first failure of a series, so that a control that is away causes one line.
func (l *crashLog) addReport(address string, attempts int, err error) {
	if err != nil && !l.isReportFailing {
		l.forwarder.log.Info("crashes not reported", "control", address, "attempts", attempts, "cause", err.Error())
	}
	l.isReportFailing = err != nil
}
