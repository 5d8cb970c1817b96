package forwarder

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"pimentogate.example/pimentogate/internal/coordination/screener"
	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// settleDelay is the time between a lost connection and the dial, so that a process that is ending has closed its listener.
	settleDelay = 20 * time.Millisecond
	// checkTimeout limits one dial. A process that runs accepts a connection within a round trip, also while it is paused.
	checkTimeout = 200 * time.Millisecond
	// maxChecks is how many replicas are dialed at once.
	maxChecks = 16
	// maxUnaffected is how many replicas are dialed that have lost no connection, to find out whether the path to their availability zone works. One of them may be down.
	maxUnaffected = 3
)

// crashVerifier finds out whether replicas that have ended a connection have crashed. It dials their addresses and sends nothing.
type crashVerifier struct {
	forwarder *Forwarder
	dialer    net.Dialer
	woken     chan struct{}
	// summary is guarded by the forwarder's mutex.
	summary checkSummary
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

// checkSummary counts checks since the last log line.
type checkSummary struct {
	confirmed  int
	alive      int
	unanswered int
	pathFailed int
}

func newCrashVerifier(f *Forwarder) *crashVerifier {
	v := &crashVerifier{
		forwarder: f,
		dialer: net.Dialer{
			Timeout: checkTimeout,
		},
		woken: make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v
}

// wakeIfNeeded has lost connections checked; the forwarder's mutex must be held.
func (v *crashVerifier) wakeIfNeeded() {
	if !v.forwarder.screener.HasUnchecked() {
		return
	}
	select {
	case v.woken <- struct{}{}:
	default:
	}
}

func (v *crashVerifier) run() {
	defer close(v.done)
	for {
		select {
		case <-v.woken:
		case <-v.ctx.Done():
			return
		}
		select {
		case <-time.After(settleDelay):
		case <-v.ctx.Done():
			return
		}
		for v.hasUnchecked() && v.ctx.Err() == nil {
			v.verify(v.take())
		}
	}
}

func (v *crashVerifier) close() {
	v.cancel()
	<-v.done
}

func (v *crashVerifier) hasUnchecked() bool {
	v.forwarder.mutex.Lock()
	defer v.forwarder.mutex.Unlock()
	return v.forwarder.screener.HasUnchecked()
}

// take returns the checks that are due. The crash of an incarnation that was replaced before its attempts ended is confirmed without one.
func (v *crashVerifier) take() []*crashCheck {
	f := v.forwarder
	f.mutex.Lock()
	incarnations := f.screener.TakeUnchecked(maxChecks)
	f.mutex.Unlock()
	checks := make([]*crashCheck, 0, len(incarnations))
	for _, incarnation := range incarnations {
		if f.directory.isReplaced(incarnation) {
			f.recordReplaced(incarnation)
			continue
		}
		address, zone := f.directory.locate(incarnation)
		checks = append(checks, v.newCheck(incarnation, address, zone))
	}
	return checks
}

func (v *crashVerifier) newCheck(incarnation screener.Incarnation, address, zone string) *crashCheck {
	return &crashCheck{
		verifier:    v,
		incarnation: incarnation,
		address:     address,
		zone:        zone,
		done:        make(chan struct{}),
	}
}

// verify dials the addresses and records the results in the order of the losses. A refusal counts only if the path to the replica's availability zone works.
func (v *crashVerifier) verify(checks []*crashCheck) {
	dialAll(checks)
	isPathUsable := map[string]bool{}
	for _, c := range checks {
		if c.result != screener.DialRefused {
			continue
		}
		if _, known := isPathUsable[c.zone]; !known {
			isPathUsable[c.zone] = v.isPathUsable(c.zone)
		}
		if !isPathUsable[c.zone] {
			c.result = screener.DialPathFailed
		}
	}
	f := v.forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range checks {
		confirmed := f.screener.RecordDial(time.Now(), c.incarnation, c.result)
		v.summary.add(c.result, confirmed)
		f.meter.recordCrashCheck(c.result, confirmed)
	}
}

// isPathUsable reports whether any replica of the availability zone that has lost no connection accepts one. Without such a replica nothing points to the path.
func (v *crashVerifier) isPathUsable(zone string) bool {
	unaffected := v.forwarder.directory.unaffected(zone)
	if len(unaffected) == 0 {
		return true
	}
	checks := make([]*crashCheck, 0, len(unaffected))
	for _, address := range unaffected {
		checks = append(checks, v.newCheck(screener.Incarnation{}, address, zone))
	}
	dialAll(checks)
	for _, c := range checks {
		if c.result == screener.DialAccepted {
			return true
		}
	}
	return false
}

// dialAll runs the checks at once and waits for their results.
func dialAll(checks []*crashCheck) {
	for _, c := range checks {
		go c.run()
	}
	for _, c := range checks {
		<-c.done
	}
}

// crashCheck is one dial.
type crashCheck struct {
	verifier    *crashVerifier
	incarnation screener.Incarnation
	// address is empty if the incarnation is not known any more.
	address string
	zone    string
	result  screener.DialResult
	done    chan struct{}
}

func (c *crashCheck) run() {
	defer close(c.done)
	if c.address == "" {
		return
	}
	conn, err := c.verifier.dialer.DialContext(c.verifier.ctx, "tcp", c.address)
	switch {
	case err == nil:
		c.result = screener.DialAccepted
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		c.result = screener.DialRefused
	}
}

// add counts a check.
func (s *checkSummary) add(result screener.DialResult, confirmed bool) {
	switch {
	case confirmed:
		s.confirmed++
	case result == screener.DialAccepted:
		s.alive++
	case result == screener.DialPathFailed:
		s.pathFailed++
	default:
		s.unanswered++
	}
}

// takeSummary returns the counts since the last call.
func (v *crashVerifier) takeSummary() checkSummary {
	v.forwarder.mutex.Lock()
	defer v.forwarder.mutex.Unlock()
	summary := v.summary
	v.summary = checkSummary{}
	return summary
}

// locate returns the address and the availability zone of the incarnation, empty if it is not the current one.
func (d *directory) locate(incarnation screener.Incarnation) (string, string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record := d.replicas[incarnation.Replica]
	if record == nil || record.GetBornMs() != incarnation.BornMs {
		return "", ""
	}
	return record.GetAddress(), record.GetZone()
}

// isReplaced reports whether control has told of a newer incarnation of the replica.
func (d *directory) isReplaced(incarnation screener.Incarnation) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.replicas[incarnation.Replica].GetBornMs() > incarnation.BornMs
}

// unaffected returns the addresses of some replicas of the availability zone that have lost no connection.
func (d *directory) unaffected(zone string) []string {
	f := d.forwarder
	d.mutex.Lock()
	defer d.mutex.Unlock()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var addresses []string
	for id, record := range d.replicas {
		isCandidate := record.GetZone() == zone && record.GetState() == wire.ReplicaState_REPLICA_STATE_READY
		if !isCandidate || f.screener.IsSuspected(incarnationOf(id, record)) {
			continue
		}
		addresses = append(addresses, record.GetAddress())
		if len(addresses) == maxUnaffected {
			break
		}
	}
	return addresses
}

func incarnationOf(id string, record *wire.Replica) screener.Incarnation {
	return screener.Incarnation{
		Replica: id,
		BornMs:  record.GetBornMs(),
	}
}

// heardAt returns when control was last heard.
func (d *directory) heardAt() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lastAppliedAt
}

// recordReplaced records that a newer incarnation has taken the place of one.
func (f *Forwarder) recordReplaced(incarnation screener.Incarnation) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.screener.RecordEnd(time.Now(), incarnation)
	f.crashes.verifier.summary.confirmed++
	f.meter.recordCrashCheck(screener.DialUnanswered, true)
}

// updateIncarnation has the record of a replica confirm or refute crashes.
func (f *Forwarder) updateIncarnation(record *wire.Replica) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	isLost := record.GetState() == wire.ReplicaState_REPLICA_STATE_LOST
	f.screener.UpdateReplica(time.Now(), incarnationOf(record.GetId(), record), isLost)
}
