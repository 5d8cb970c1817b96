package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/admitter"
	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/internal/transport/packer"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// maxHold bounds how long a Follow call is held.
	maxHold = 5 * time.Second
	// commandRetryDelay is the delay before a failed command is retried, for example while no leader is known.
	commandRetryDelay = 50 * time.Millisecond
	// leaderWait is the longest time that a command waits to be woken by a change of leader before it is retried.
	leaderWait = 400 * time.Millisecond
	// forwardTimeout bounds a call to the leader, which may be down. It is shorter than the second that replicas wait for a response.
	forwardTimeout = 700 * time.Millisecond
)

// fleetService serves the routing configuration and the replicas to entry instances, and commits the commands that other control instances forward to the leader.
type fleetService struct {
	wireconnect.UnimplementedFleetServiceHandler

	controller *Controller
}

// Publish commits a publication if this instance is the leader.
func (s *fleetService) Publish(ctx context.Context, request *connect.Request[wire.PublishRequest]) (*connect.Response[wire.PublishResponse], error) {
	result, err := s.controller.command(ctx, publishCommand(request.Msg.GetPublication()))
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(result.Publish), nil
}

// ReportAttempts commits the ends of attempts of suspect requests, here or at the leader. A forwarded request is committed here or not at all.
func (s *fleetService) ReportAttempts(ctx context.Context, request *connect.Request[wire.ReportAttemptsRequest]) (*connect.Response[wire.ReportAttemptsResponse], error) {
	var err error
	if request.Msg.GetForwarded() {
		_, err = s.controller.command(ctx, reportAttemptsCommand(request.Msg))
	} else {
		err = s.controller.reportAttempts(ctx, request.Msg)
	}
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(&wire.ReportAttemptsResponse{}), nil
}

// Read commits an entry after everything acknowledged before, and returns the publication that is current at that index.
func (s *fleetService) Read(ctx context.Context, _ *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	result, err := s.controller.command(ctx, readCommand())
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(result.Read), nil
}

// Document returns the current publication of this instance, which may be out of date.
func (s *fleetService) Document(ctx context.Context, _ *connect.Request[wire.DocumentRequest]) (*connect.Response[wire.DocumentResponse], error) {
	response := &wire.DocumentResponse{}
	err := s.controller.runInLoop(ctx, func(time.Time) {
		response.Publication = s.controller.state.Publisher.Publication()
	})
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(response), nil
}

// Follow returns once something has changed after the caller's index, or once the hold time has passed. Only calls with a hold time receive the entry instances.
func (s *fleetService) Follow(ctx context.Context, request *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	c := s.controller
	follow := request.Msg
	hold := min(time.Duration(follow.GetHoldMs())*time.Millisecond, maxHold)
	holdTimer := time.NewTimer(hold)
	defer holdTimer.Stop()
	caller := &wire.EntryInstance{
		Instance: follow.GetInstance(),
		Zone:     follow.GetZone(),
		Address:  follow.GetAddress(),
	}
	followerCount := c.followers.record(time.Now(), caller)
	if follow.GetHeard() {
		c.admission.recordHolder(caller)
	} else if err := c.admitWhole(ctx, follow); err != nil {
		return nil, err
	}
	for waiting := hold > 0; ; {
		changed := c.followers.changeSignal()
		response, err := c.respond(ctx, follow)
		if err != nil {
			return nil, c.connectError(err)
		}
		response.Followers = uint32(followerCount)
		if hold > 0 {
			response.Entries = c.followers.entries(time.Now())
		}
		response.Roster = rosterDigest(response.GetMembers(), response.GetEntries())
		if response.GetRoster() == follow.GetRoster() {
			response.Members = nil
			response.Entries = nil
		}
		hasChanges := len(response.GetReplicas()) > 0 || len(response.GetSuspects()) > 0 || response.GetWhole() || response.GetVersion() > follow.GetVersion()
		if hasChanges || !waiting {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
			time.Sleep(c.followers.batchDelay())
		case <-holdTimer.C:
			waiting = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-c.done:
			return nil, c.connectError(errClosed)
		}
	}
}

// admitWhole returns an error if a call for the whole state is refused. An instance without a state has nothing large to send and refuses none.
func (c *Controller) admitWhole(ctx context.Context, follow *wire.FollowRequest) error {
	if !c.followers.hasState() {
		return nil
	}
	return c.admission.admit(ctx, admitter.Call{
		Instance:  follow.GetInstance(),
		Zone:      follow.GetZone(),
		Bytes:     c.tables.size(),
		IsPlain:   !follow.GetAcceptsTable(),
		HasLeader: c.hasLeader.Load(),
	})
}

// respond returns what has changed after the index of the request, or the whole state if the follower has none yet.
func (c *Controller) respond(ctx context.Context, follow *wire.FollowRequest) (*wire.FollowResponse, error) {
	if follow.GetHeard() || !c.followers.hasState() {
		return c.changesSince(ctx, follow.GetSince()+1)
	}
	table, err := c.tables.get(ctx)
	if err != nil {
		return nil, err
	}
	response, err := c.changesSince(ctx, table.GetIndex()+1)
	if err != nil {
		return nil, err
	}
	c.tables.recordChanges(table, len(response.GetReplicas())+len(response.GetSuspects()))
	response.Whole = true
	if follow.GetAcceptsTable() {
		response.Table = table.data
		return response, nil
	}
	response.Replicas = packer.MergeReplicas(table.GetReplicas(), response.GetReplicas())
	response.Suspects = packer.MergeSuspects(table.GetSuspects(), response.GetSuspects())
	return response, nil
}

// changesSince returns what has changed at the index or later.
func (c *Controller) changesSince(ctx context.Context, fromIndex uint64) (*wire.FollowResponse, error) {
	response := &wire.FollowResponse{}
	err := c.runInLoop(ctx, func(now time.Time) {
		response.Index = c.appliedIndex
		response.Version = c.state.Publisher.Publication().GetVersion()
		response.Replicas, response.Suspects = c.changesFrom(fromIndex)
		response.TimeMs = time.Now().UnixMilli()
		response.Members = c.machine.Members()
		response.Confirmed = c.machine.IsCurrent(now, c.appliedIndex)
		response.Drains = c.state.Catalog.ZoneDrains()
	})
	return response, err
}

// PublishDocument publishes a complete routing configuration, which becomes the current one if its version is the highest. It returns the current version once the command is committed.
func (c *Controller) PublishDocument(ctx context.Context, publication *wire.Publication) (uint64, error) {
	c.meter.publications.Inc(1)
	result, err := c.execute(ctx, publishCommand(publication), func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		response, err := client.Publish(ctx, connect.NewRequest(&wire.PublishRequest{
			Publication: publication,
		}))
		if err != nil {
			return applier.Result{}, err
		}
		return applier.Result{
			Publish: response.Msg,
		}, nil
	})
	return result.Publish.GetVersion(), err
}

// ReadDocument returns the publication that was current at some point after the call began.
func (c *Controller) ReadDocument(ctx context.Context) (*wire.Publication, error) {
	result, err := c.execute(ctx, readCommand(), func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		response, err := client.Read(ctx, connect.NewRequest(&wire.ReadRequest{}))
		if err != nil {
			return applier.Result{}, err
		}
		return applier.Result{
			Read: response.Msg,
		}, nil
	})
	return result.Read.GetPublication(), err
}

// reportAttempts records the ends of attempts that change what is known of suspect requests, once a quorum has stored them.
func (c *Controller) reportAttempts(ctx context.Context, report *wire.ReportAttemptsRequest) error {
	news := &wire.ReportAttemptsRequest{
		Forwarded: true,
	}
	err := c.runInLoop(ctx, func(time.Time) {
		for _, attempt := range report.GetAttempts() {
			if c.state.Quarantiner.IsUpdate(attempt) {
				news.Attempts = append(news.Attempts, attempt)
			}
		}
	})
	if err != nil || len(news.GetAttempts()) == 0 {
		return err
	}
	_, err = c.execute(ctx, reportAttemptsCommand(news), func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		_, err := client.ReportAttempts(ctx, connect.NewRequest(news))
		return applier.Result{}, err
	})
	c.log.Info("crashes reported", "attempts", len(news.GetAttempts()), "fingerprint", fmt.Sprintf("%016x", news.GetAttempts()[0].GetFingerprint()), "acknowledged", err == nil)
	return err
}

// FindReplica returns the record of the replica, or nil if there is none.
func (c *Controller) FindReplica(ctx context.Context, id string) (*wire.Replica, error) {
	var replica *wire.Replica
	err := c.runInLoop(ctx, func(time.Time) {
		replica = c.state.Enroller.Find(id)
	})
	return replica, err
}

// execute commits a command here or at the leader, and retries until the context ends. Retries are safe because all commands of this service are idempotent.
func (c *Controller) execute(ctx context.Context, command *wire.Command, call func(context.Context, wireconnect.FleetServiceClient) (applier.Result, error)) (applier.Result, error) {
	return c.executeAt(ctx, func(ctx context.Context) (applier.Result, error) {
		return c.command(ctx, command)
	}, call)
}

// executeAt is execute with a function that commits the command if this instance is the leader, and otherwise returns a *journaler.NotLeaderError.
func (c *Controller) executeAt(ctx context.Context, commit func(context.Context) (applier.Result, error), call func(context.Context, wireconnect.FleetServiceClient) (applier.Result, error)) (applier.Result, error) {
	for {
		leaderChanged := c.leaderChange.wait()
		delay := commandRetryDelay
		result, err := commit(ctx)
		var notLeader *journaler.NotLeaderError
		if err == nil || errors.Is(err, errClosed) || isRefusal(err) {
			return result, err
		}
		if errors.As(err, &notLeader) {
			if notLeader.Leader == "" {
				// Without a leader, a thousand replicas that announce themselves would keep the event loop busy with retries.
				delay = leaderWait
			}
			if address := c.addresses.find(notLeader.Leader); address != "" {
				result, err = c.forward(ctx, address, call)
			}
		}
		if err == nil || isRefusal(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return applier.Result{}, err
		case <-c.done:
			return applier.Result{}, errClosed
		case <-leaderChanged:
		case <-time.After(delay):
		}
	}
}

func (c *Controller) forward(ctx context.Context, address string, call func(context.Context, wireconnect.FleetServiceClient) (applier.Result, error)) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return call(ctx, wireconnect.NewFleetServiceClient(c.client, "http://"+address))
}

func publishCommand(publication *wire.Publication) *wire.Command {
	return &wire.Command{
		Change: &wire.Command_Publish{
			Publish: &wire.PublishRequest{
				Publication: publication,
			},
		},
	}
}

func enrollCommand(replica *wire.Replica) *wire.Command {
	return &wire.Command{
		Change: &wire.Command_Enroll{
			Enroll: &wire.EnrollRequest{
				Replica: replica,
			},
		},
	}
}

func reportAttemptsCommand(report *wire.ReportAttemptsRequest) *wire.Command {
	return &wire.Command{
		Change: &wire.Command_ReportAttempts{
			ReportAttempts: report,
		},
	}
}

func readCommand() *wire.Command {
	return &wire.Command{
		Change: &wire.Command_Read{
			Read: &wire.ReadRequest{},
		},
	}
}
