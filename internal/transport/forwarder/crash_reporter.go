package forwarder

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// reportInterval is the interval of the reports to control. With maxReportBatch it bounds them to about 40 KB/s.
	reportInterval = 100 * time.Millisecond
	// maxReportBatch limits the attempts in one report.
	maxReportBatch = 64
	// reportTimeout limits one call.
	reportTimeout = time.Second
	// maxReportAge is how long a report is tried.
	maxReportAge = 10 * time.Second
)

// crashReporter tells control under which requests replicas have crashed or answered again, and logs the quarantines that result.
type crashReporter struct {
	forwarder *Forwarder
	// unsent holds the reports of the last call that failed.
	unsent []screener.Report
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newCrashReporter(f *Forwarder) *crashReporter {
	r := &crashReporter{
		forwarder: f,
		done:      make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *crashReporter) run() {
	defer close(r.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.report(time.Now())
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *crashReporter) close() {
	r.cancel()
	<-r.done
}

// report sends the oldest reports to the primary. They are kept for the next call if this one fails.
func (r *crashReporter) report(now time.Time) {
	f := r.forwarder
	f.mutex.Lock()
	if len(r.unsent) == 0 {
		r.unsent = f.screener.TakeReports(maxReportBatch)
	}
	changes := f.screener.TakeChanges()
	f.mutex.Unlock()
	r.logChanges(changes)
	if len(r.unsent) == 0 {
		return
	}
	if r.send(now) || now.Sub(r.unsent[0].EndedAt) > maxReportAge {
		r.unsent = nil
	}
}

// send reports whether control has taken the reports.
func (r *crashReporter) send(now time.Time) bool {
	addresses := r.forwarder.directory.primaryAddresses()
	if len(addresses) == 0 {
		return false
	}
	request := &wire.ReportAttemptsRequest{}
	for i := range r.unsent {
		request.Attempts = append(request.Attempts, r.unsent[i].ToWire(now))
	}
	ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
	defer cancel()
	client := wireconnect.NewFleetServiceClient(r.forwarder.peers.client, "http://"+addresses[0])
	_, err := client.ReportAttempts(ctx, connect.NewRequest(request))
	if err != nil {
		r.forwarder.log.Info("crashes not reported", "control", addresses[0], "attempts", len(r.unsent), "cause", err.Error())
	}
	return err == nil
}

func (r *crashReporter) logChanges(changes []screener.Change) {
	for _, change := range changes {
		message := "request released from quarantine"
		if change.IsQuarantined {
			message = "request quarantined"
		}
		r.forwarder.log.Info(message, "fingerprint", formatFingerprint(change.Fingerprint), "replicas-crashed", change.Crashes)
	}
}

// updateSuspects takes over the suspect requests of a response of control.
func (f *Forwarder) updateSuspects(response *wire.FollowResponse) {
	if len(response.GetSuspects()) == 0 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.screener.Update(time.Now(), response.GetSuspects(), response.GetTimeMs())
}
