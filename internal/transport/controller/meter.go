package controller

import (
	"time"

	"github.com/uber-go/tally/v4"

	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
)

// saveDurationBuckets range from a fast sync to a stalled disk.
var saveDurationBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 14)

// meter holds the metrics of a control instance.
type meter struct {
	commits       tally.Counter
	elections     tally.Counter
	saves         tally.Histogram
	failedSaves   tally.Counter
	announcements tally.Counter
	publications  tally.Counter
	isLeader      tally.Gauge
	inContact     tally.Gauge
	voters        tally.Gauge
	configVersion tally.Gauge
	appliedIndex  tally.Gauge
	lag           tally.Gauge
	readyReplicas tally.Gauge
	followers     tally.Gauge
	logLength     tally.Gauge
	// staleMessages counts messages of the journal that were dropped unsent because of their age.
	staleMessages tally.Counter
	statesSent    tally.Counter
	statesRefused tally.Counter
	tablesBuilt   tally.Counter
	// countedIndex is the journal index as of which readyReplicas was counted.
	countedIndex uint64
	drainedZones tally.Gauge
}

func newMeter(scope tally.Scope) *meter {
	return &meter{
		commits:       scope.Counter("journal_commits"),
		elections:     scope.Counter("journal_elections"),
		saves:         scope.Histogram("journal_save_seconds", saveDurationBuckets),
		failedSaves:   scope.Counter("journal_saves_failed"),
		announcements: scope.Counter("replica_announcements"),
		publications:  scope.Counter("publications"),
		isLeader:      scope.Gauge("journal_leads"),
		inContact:     scope.Gauge("journal_in_contact"),
		voters:        scope.Gauge("journal_votes"),
		configVersion: scope.Gauge("control_configuration_version"),
		appliedIndex:  scope.Gauge("journal_applied_index"),
		lag:           scope.Gauge("journal_lag_seconds"),
		readyReplicas: scope.Gauge("replicas_enrolled"),
		followers:     scope.Gauge("followers"),
		logLength:     scope.Gauge("journal_entries_held"),
		staleMessages: scope.Counter("journal_messages_stale"),
		statesSent:    scope.Counter("states_sent"),
		statesRefused: scope.Counter("states_refused"),
		tablesBuilt:   scope.Counter("state_tables_built"),
		drainedZones:  scope.Gauge("zones_drained"),
	}
}

// leadership is the current leadership as seen by this instance.
type leadership struct {
	role   journaler.Role
	term   uint64
	leader string
	// lostElections counts the elections that this instance has lost.
	lostElections uint64
}

// updateLeadership stores the current leadership, logs a change of leader and counts elections that this instance has won.
func (c *Controller) updateLeadership() {
	current := leadership{
		role:   c.machine.Role(),
		term:   c.machine.Term(),
		leader: c.machine.Leader(),

		lostElections: c.machine.LostElection().Count,
	}
	if current == c.leadership {
		return
	}
	if lost := c.machine.LostElection(); lost.Count != c.leadership.lostElections {
		c.log.Info("election lost", "term", lost.Term, "pre-vote", lost.IsPreVote, "granted-by", lost.GrantedBy, "quorum", lost.Quorum, "last-index", c.machine.LastIndex())
	}
	if current.role == journaler.Leader && c.leadership.role != journaler.Leader {
		c.meter.elections.Inc(1)
	}
	if current.leader != c.leadership.leader || current.role == journaler.Leader != (c.leadership.role == journaler.Leader) {
		c.log.Info("leader changed", "leader", current.leader, "term", current.term, "leads", current.role == journaler.Leader,
			"before", c.leadership.leader, "committed", c.machine.CommitIndex(), "last-index", c.machine.LastIndex(), "votes", c.machine.Members().VoterCount())
		c.leaderChange.notify()
	}
	c.leadership = current
}

// updateMembers logs the membership if it has changed, whether or not the change is committed.
func (c *Controller) updateMembers() {
	members := c.machine.Members()
	if members.Equal(c.members) {
		return
	}
	c.members = members
	c.log.Info("members changed", "voters", members.VoterIDs(), "learners", members.LearnerIDs(), "quorum", members.QuorumSize(), "last-index", c.machine.LastIndex())
}

// updateLag logs when this instance falls behind what its leader has committed for longer than an election timeout, and when it has caught up.
func (c *Controller) updateLag(now time.Time) {
	lag := c.machine.Lag(now, c.appliedIndex)
	isLagging := lag >= c.electionTimeout()
	if isLagging == c.isLagging {
		return
	}
	c.isLagging = isLagging
	c.log.Info("lag behind the leader changed", "lags", isLagging, "applied", c.appliedIndex, "committed", c.machine.CommitIndex(), "leader", c.machine.Leader(), "saving", c.isSaving,
		"version", c.state.Publisher.Publication().GetVersion())
}

// updateGauges updates all gauges. It must be called from the event loop.
func (c *Controller) updateGauges(now time.Time) {
	m := c.meter
	m.isLeader.Update(boolToFloat(c.machine.Role() == journaler.Leader))
	m.inContact.Update(boolToFloat(c.machine.InContact(now)))
	m.voters.Update(float64(c.machine.Members().VoterCount()))
	m.configVersion.Update(float64(c.state.Publisher.Publication().GetVersion()))
	m.appliedIndex.Update(float64(c.appliedIndex))
	m.lag.Update(c.machine.Lag(now, c.appliedIndex).Seconds())
	m.logLength.Update(float64(c.machine.LogLength()))
	m.followers.Update(float64(c.followers.count(now)))
	if sent, refused := c.admission.takeCounts(); refused > 0 {
		c.log.Info("whole states refused", "refused", refused, "sent", sent, "in-contact", c.machine.InContact(now), "table-bytes", c.tables.size())
	}
	// Counting the replicas takes milliseconds in the event loop, so it is left out while nothing has changed.
	if c.appliedIndex == m.countedIndex {
		return
	}
	m.countedIndex = c.appliedIndex
	ready := 0
	for _, replica := range c.state.Enroller.Replicas(0) {
		if replica.GetState() == wire.ReplicaState_REPLICA_STATE_READY {
			ready++
		}
	}
	m.readyReplicas.Update(float64(ready))
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
