package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/enroller"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// AmbiguousDepartureError reports a departure that may be a late one of an earlier incarnation of the replica in use.
type AmbiguousDepartureError struct {
	Replica string
}

// Error returns the id of the replica.
func (e *AmbiguousDepartureError) Error() string {
	return fmt.Sprintf("replica %s: the departure may be of an earlier incarnation", e.Replica)
}

// OutdatedAnnouncementError reports an announcement of an earlier incarnation than the one in use.
type OutdatedAnnouncementError struct {
	Replica string
	// BornMs and KnownBornMs are the start times of the announcement and of the incarnation in use, in Unix milliseconds.
	BornMs      int64
	KnownBornMs int64
}

// Error returns the id of the replica and the start times.
func (e *OutdatedAnnouncementError) Error() string {
	return fmt.Sprintf("replica %s: born %d is before the incarnation in use, born %d", e.Replica, e.BornMs, e.KnownBornMs)
}

// ForeignAnnouncementError reports that a drain was announced by a writer that does not speak for the replica in use.
type ForeignAnnouncementError struct {
	Replica string
}

// Error returns the id of the replica.
func (e *ForeignAnnouncementError) Error() string {
	return fmt.Sprintf("replica %s: the announcement contradicts a replica that is in use", e.Replica)
}

// Announce records the state of a replica from its heartbeat. New information is acknowledged once a quorum has stored it. A foreign announcement, as of enroller.IsForeign, changes nothing; one of an earlier incarnation than the one in use returns an *OutdatedAnnouncementError.
func (c *Controller) Announce(ctx context.Context, replica *wire.Replica) error {
	check, err := c.checkAnnouncement(ctx, replica)
	if err != nil {
		return err
	}
	if check.outdated != nil {
		return check.outdated
	}
	if check.isForeign {
		return c.ignoreForeign(replica)
	}
	if check.isAlive {
		c.heartbeats.record(time.Now(), replica.GetId())
	}
	if !check.isUpdate {
		return nil
	}
	return c.enroll(ctx, &wire.EnrollRequest{
		Replica: replica,
	})
}

// Deregister announces that a replica has left. The departure has its id, and the start time and sequence of the incarnation where they are known. One that may be late for its incarnation returns an error and changes nothing.
func (c *Controller) Deregister(ctx context.Context, departure *wire.Replica) error {
	known, err := c.FindReplica(ctx, departure.GetId())
	if err != nil {
		return err
	}
	return c.enroll(ctx, &wire.EnrollRequest{
		Replica:        enroller.CompleteDeparture(departure, known),
		AnyIncarnation: departure.GetBornMs() == 0,
	})
}

// Enroll commits an announcement if this instance is the leader.
func (s *fleetService) Enroll(ctx context.Context, request *connect.Request[wire.EnrollRequest]) (*connect.Response[wire.EnrollResponse], error) {
	if _, err := s.controller.commitAnnouncement(ctx, request.Msg); err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(&wire.EnrollResponse{}), nil
}

// enroll commits an announcement here or at the leader.
func (c *Controller) enroll(ctx context.Context, request *wire.EnrollRequest) error {
	c.meter.announcements.Inc(1)
	_, err := c.executeAt(ctx, func(ctx context.Context) (applier.Result, error) {
		return c.commitAnnouncement(ctx, request)
	}, func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		_, err := client.Enroll(ctx, connect.NewRequest(request))
		return applier.Result{}, err
	})
	replica := request.GetReplica()
	c.log.Info("replica announced", "replica", replica.GetId(), "service", replica.GetService(), "address", replica.GetAddress(),
		"state", wire.StateName(replica.GetState()), "born-ms", replica.GetBornMs(), "sequence", replica.GetSequence(), "acknowledged", err == nil)
	return err
}

// commitAnnouncement commits an announcement if this instance is the leader, whose table decides which incarnation is meant and whether the announcement is foreign.
func (c *Controller) commitAnnouncement(ctx context.Context, request *wire.EnrollRequest) (applier.Result, error) {
	if err := c.checkLeader(ctx); err != nil {
		return applier.Result{}, err
	}
	replica := request.GetReplica()
	if request.GetAnyIncarnation() {
		departure, err := c.resolveDeparture(ctx, replica.GetId())
		if err != nil {
			return applier.Result{}, err
		}
		return c.command(ctx, enrollCommand(departure))
	}
	check, err := c.checkAnnouncement(ctx, replica)
	if err != nil {
		return applier.Result{}, err
	}
	if check.outdated != nil {
		return applier.Result{}, check.outdated
	}
	if check.isForeign {
		return applier.Result{}, c.ignoreForeign(replica)
	}
	result, err := c.command(ctx, enrollCommand(replica))
	if err != nil {
		return result, err
	}
	return result, c.checkEffect(ctx, replica)
}

// checkEffect returns a *ForeignAnnouncementError if a replica that has announced its drain or departure may still get requests, so that it is not acknowledged.
func (c *Controller) checkEffect(ctx context.Context, replica *wire.Replica) error {
	if replica.GetState() != wire.ReplicaState_REPLICA_STATE_DRAINING && replica.GetState() != wire.ReplicaState_REPLICA_STATE_LEFT {
		return nil
	}
	mayGetRequests := false
	err := c.runInLoop(ctx, func(time.Time) {
		mayGetRequests = c.state.Enroller.MayGetRequests(replica.GetId())
	})
	if err == nil && mayGetRequests {
		return &ForeignAnnouncementError{
			Replica: replica.GetId(),
		}
	}
	return err
}

// checkLeader returns a *journaler.NotLeaderError if this instance is not the leader.
func (c *Controller) checkLeader(ctx context.Context) error {
	var notLeader *journaler.NotLeaderError
	err := c.runInLoop(ctx, func(time.Time) {
		if c.machine.Role() != journaler.Leader {
			notLeader = &journaler.NotLeaderError{
				Leader: c.machine.Leader(),
			}
		}
	})
	if err == nil && notLeader != nil {
		return notLeader
	}
	return err
}

// errNotCurrent is returned by a leader that may not know all that was committed before its term.
var errNotCurrent = errors.New("the leader has no lease yet")

// resolveDeparture returns the departure of the incarnation in use, or an *AmbiguousDepartureError.
func (c *Controller) resolveDeparture(ctx context.Context, id string) (*wire.Replica, error) {
	var known *wire.Replica
	isAmbiguous, isCurrent := false, false
	err := c.runInLoop(ctx, func(now time.Time) {
		isCurrent = c.machine.HasLease(now) && c.appliedIndex >= c.machine.CommitIndex()
		known = c.state.Enroller.Find(id)
		isAmbiguous = enroller.IsDepartureAmbiguous(known, c.journalTime(time.Now()))
	})
	if err != nil {
		return nil, err
	}
	if !isCurrent {
		return nil, errNotCurrent
	}
	if isAmbiguous {
		c.log.Info("departure refused", "replica", id, "born-ms", known.GetBornMs(), "replaced-ms", known.GetReplacedMs(), "reason", "may be of an earlier incarnation")
		return nil, &AmbiguousDepartureError{
			Replica: id,
		}
	}
	return enroller.CompleteDeparture(&wire.Replica{
		Id: id,
	}, known), nil
}

// announcementCheck is what an announcement would do to the table of replicas.
type announcementCheck struct {
	isUpdate  bool
	isForeign bool
	// outdated is set if the announcement is of an earlier incarnation than the one in use.
	outdated *OutdatedAnnouncementError
	// isAlive is set if the announcement is by the incarnation in the table, or a later one.
	isAlive bool
}

func (c *Controller) checkAnnouncement(ctx context.Context, replica *wire.Replica) (announcementCheck, error) {
	var check announcementCheck
	err := c.runInLoop(ctx, func(time.Time) {
		table := c.state.Enroller
		announcement := enroller.WithTimes(replica, c.journalTime(time.Now()))
		knownBornMs := table.Find(announcement.GetId()).GetBornMs()
		check.isAlive = announcement.GetBornMs() >= knownBornMs
		if table.IsOutdated(announcement) {
			check.outdated = &OutdatedAnnouncementError{
				Replica:     announcement.GetId(),
				BornMs:      announcement.GetBornMs(),
				KnownBornMs: knownBornMs,
			}
		}
		check.isUpdate = table.IsUpdate(announcement) || table.IsOpenDrain(announcement)
		check.isForeign = check.isUpdate && table.IsForeign(replica, func(service string) bool {
			return c.namedServices.contains(c.state.Publisher.Publication(), service)
		})
		if !check.isForeign {
			c.lifeSigns.observe(replica)
		}
	})
	return check, err
}

// ignoreForeign logs an announcement that changes nothing. A ready replica needs no more than that, since it announces itself again. A drain must not be acknowledged, because this instance may be behind and the replica in use elsewhere.
func (c *Controller) ignoreForeign(replica *wire.Replica) error {
	c.log.Info("foreign announcement ignored", "replica", replica.GetId(), "service", replica.GetService(), "address", replica.GetAddress(),
		"state", wire.StateName(replica.GetState()), "born-ms", replica.GetBornMs(), "sequence", replica.GetSequence())
	if replica.GetState() == wire.ReplicaState_REPLICA_STATE_READY {
		return nil
	}
	return &ForeignAnnouncementError{
		Replica: replica.GetId(),
	}
}

// isRefusal reports whether the announcement is refused for what it says, so that no other instance would commit it.
func isRefusal(err error) bool {
	var ambiguous *AmbiguousDepartureError
	var foreign *ForeignAnnouncementError
	var outdated *OutdatedAnnouncementError
	return errors.As(err, &ambiguous) || errors.As(err, &foreign) || errors.As(err, &outdated) || connect.CodeOf(err) == connect.CodeAborted
}
