package controller

import (
	"time"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// saveBuckets reach from a quick sync to a stalled disk.
var saveBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 14)

// meter is the metrics of a control instance.
type meter struct {
	commits       tally.Counter
	elections     tally.Counter
	saves         tally.Histogram
	failedSaves   tally.Counter
	announcements tally.Counter
	publications  tally.Counter
	leads         tally.Gauge
	contact       tally.Gauge
	votes         tally.Gauge
	version       tally.Gauge
	index         tally.Gauge
	replicas      tally.Gauge
	followers     tally.Gauge
	logSize       tally.Gauge
}

func newMeter(scope tally.Scope) *meter {
	return &meter{
		commits:       scope.Counter("journal_commits"),
		elections:     scope.Counter("journal_elections"),
		saves:         scope.Histogram("journal_save_seconds", saveBuckets),
		failedSaves:   scope.Counter("journal_saves_failed"),
		announcements: scope.Counter("replica_announcements"),
		publications:  scope.Counter("publications"),
		leads:         scope.Gauge("journal_leads"),
		contact:       scope.Gauge("journal_in_contact"),
		votes:         scope.Gauge("journal_votes"),
		version:       scope.Gauge("control_configuration_version"),
		index:         scope.Gauge("journal_applied_index"),
		replicas:      scope.Gauge("replicas_enrolled"),
		followers:     scope.Gauge("followers"),
		logSize:       scope.Gauge("journal_entries_held"),
	}
}

// standing is the leadership as this instance sees it.
type standing struct {
	role   journaler.Role
	term   uint64
	leader string
}

// noteStanding writes a line when the leadership has changed as this instance sees it.
func (c *Controller) noteStanding() {
	now := standing{
		role:   c.machine.Role(),
		term:   c.machine.Term(),
		leader: c.machine.Leader(),
	}
	if now == c.standing {
		return
	}
	if now.role == journaler.Leader && c.standing.role != journaler.Leader {
		c.meter.elections.Inc(1)
	}
	if now.leader != c.standing.leader || now.role == journaler.Leader != (c.standing.role == journaler.Leader) {
		c.log.Info("leader changed", "leader", now.leader, "term", now.term, "leads", now.role == journaler.Leader,
			"before", c.standing.leader, "committed", c.machine.CommitIndex(), "last-index", c.machine.LastIndex(), "votes", c.machine.Members().VoterCount())
	}
	c.standing = now
}

// measure takes what the instance holds; it is called in the loop.
func (c *Controller) measure(now time.Time) {
	m := c.meter
	m.leads.Update(flag(c.machine.Role() == journaler.Leader))
	m.contact.Update(flag(c.machine.InContact(now)))
	m.votes.Update(float64(c.machine.Members().VoterCount()))
	m.version.Update(float64(c.state.Publisher.Publication().GetVersion()))
	m.index.Update(float64(c.applied))
	m.logSize.Update(float64(c.machine.LogLength()))
	m.followers.Update(float64(c.followers.count(now)))
	ready := 0
	for _, replica := range c.state.Enroller.Replicas(0) {
		if replica.GetState() == wire.ReplicaState_REPLICA_STATE_READY {
			ready++
		}
	}
	m.replicas.Update(float64(ready))
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
