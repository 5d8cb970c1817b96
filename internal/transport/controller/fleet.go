package controller

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

const (
	// mostHold bounds how long a call of Follow is held.
	mostHold = 5 * time.Second
	// leaderAgain is the pause before a command is tried again while no leader is known.
	leaderAgain = 50 * time.Millisecond
	// gatherNews is how long a change waits for others to be told with, as when many replicas start; it is far below the seconds in which a change is to be known everywhere.
	gatherNews = 30 * time.Millisecond
	// forwardTimeout bounds one call to the leader, which may have been lost, within the second that replicas wait.
	forwardTimeout = 700 * time.Millisecond
)

// fleetService serves routes and replicas to entry instances, and the leader's part of commands to the other control instances.
type fleetService struct {
	controller *Controller
}

// Publish commits a publication where this instance leads.
func (s *fleetService) Publish(ctx context.Context, request *connect.Request[wire.PublishRequest]) (*connect.Response[wire.PublishResponse], error) {
	result, err := s.controller.command(ctx, publishCommand(request.Msg.GetPublication()))
	if err != nil {
		return nil, s.controller.refusal(err)
	}
	return connect.NewResponse(result.Publish), nil
}

// Enroll commits an announcement where this instance leads.
func (s *fleetService) Enroll(ctx context.Context, request *connect.Request[wire.EnrollRequest]) (*connect.Response[wire.EnrollResponse], error) {
	if _, err := s.controller.command(ctx, enrollCommand(request.Msg.GetReplica())); err != nil {
		return nil, s.controller.refusal(err)
	}
	return connect.NewResponse(&wire.EnrollResponse{}), nil
}

// Read commits a place in the journal behind everything acknowledged before, and answers with what is in force there.
func (s *fleetService) Read(ctx context.Context, _ *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	result, err := s.controller.command(ctx, readCommand())
	if err != nil {
		return nil, s.controller.refusal(err)
	}
	return connect.NewResponse(result.Read), nil
}

// Document returns the publication in force here.
func (s *fleetService) Document(ctx context.Context, _ *connect.Request[wire.DocumentRequest]) (*connect.Response[wire.DocumentResponse], error) {
	response := &wire.DocumentResponse{}
	err := s.controller.ask(ctx, func(time.Time) {
		response.Publication = s.controller.state.Publisher.Publication()
	})
	if err != nil {
		return nil, s.controller.refusal(err)
	}
	return connect.NewResponse(response), nil
}

// Follow answers once something has changed behind the place that the caller names, or its hold is over; only a call that is held is told of the entry instances.
func (s *fleetService) Follow(ctx context.Context, request *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	c := s.controller
	asked := request.Msg
	hold := min(time.Duration(asked.GetHoldMs())*time.Millisecond, mostHold)
	over := time.NewTimer(hold)
	defer over.Stop()
	count := c.followers.note(time.Now(), &wire.EntryInstance{
		Instance: asked.GetInstance(),
		Zone:     asked.GetZone(),
		Address:  asked.GetAddress(),
	})
	for held := hold > 0; ; {
		changed := c.followers.wait()
		response, err := c.changes(ctx, asked)
		if err != nil {
			return nil, c.refusal(err)
		}
		response.Followers = uint32(count)
		if hold > 0 && count > 0 {
			response.Entries = c.followers.entries()
		}
		response.Roster = digest(response.GetMembers(), response.GetEntries())
		if response.GetRoster() == asked.GetRoster() {
			response.Members = nil
			response.Entries = nil
		}
		news := len(response.GetReplicas()) > 0 || response.GetWhole() || response.GetVersion() > asked.GetVersion()
		if news || !held {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
			time.Sleep(gatherNews)
		case <-over.C:
			held = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-c.done:
			return nil, c.refusal(errClosed)
		}
	}
}

// changes returns what lies behind the place that a follower names.
func (c *Controller) changes(ctx context.Context, asked *wire.FollowRequest) (*wire.FollowResponse, error) {
	response := &wire.FollowResponse{}
	err := c.ask(ctx, func(now time.Time) {
		from := asked.GetSince() + 1
		if !asked.GetHeard() {
			from = 0
			response.Whole = c.applied > 0
		}
		response.Index = c.applied
		response.Version = c.state.Publisher.Publication().GetVersion()
		response.Replicas = c.state.Enroller.Replicas(from)
		response.Members = c.machine.Members()
		response.Confirmed = c.machine.InContact(now)
	})
	return response, err
}

// PublishDocument puts a whole routing configuration in force if its version is the highest, and returns once that is decided for good.
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

// ReadDocument returns the publication in force at a moment after the call began.
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

// Announce takes a replica's heartbeat; one that says something new is acknowledged once a quorum holds it.
func (c *Controller) Announce(ctx context.Context, heard *wire.Replica) error {
	now := time.Now()
	c.heartbeats.note(now, heard.GetId())
	news := false
	err := c.ask(ctx, func(time.Time) {
		news = c.state.Enroller.IsUpdate(heard)
	})
	if err != nil || !news {
		return err
	}
	c.meter.announcements.Inc(1)
	_, err = c.execute(ctx, enrollCommand(heard), func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		_, err := client.Enroll(ctx, connect.NewRequest(&wire.EnrollRequest{
			Replica: heard,
		}))
		return applier.Result{}, err
	})
	c.log.Info("replica announced", "replica", heard.GetId(), "service", heard.GetService(), "address", heard.GetAddress(),
		"state", wire.StateName(heard.GetState()), "born-ms", heard.GetBornMs(), "sequence", heard.GetSequence(), "acknowledged", err == nil)
	return err
}

// FindReplica returns what is known of the replica, or nil.
func (c *Controller) FindReplica(ctx context.Context, id string) (*wire.Replica, error) {
	var known *wire.Replica
	err := c.ask(ctx, func(time.Time) {
		known = c.state.Enroller.Find(id)
	})
	return known, err
}

// execute commits a command here or at the leader, and goes on until the context ends: each command of this service may be committed twice without harm.
func (c *Controller) execute(ctx context.Context, command *wire.Command, forward func(context.Context, wireconnect.FleetServiceClient) (applier.Result, error)) (applier.Result, error) {
	for {
		result, err := c.command(ctx, command)
		var notLeader *journaler.NotLeaderError
		if err == nil || errors.Is(err, errClosed) {
			return result, err
		}
		if errors.As(err, &notLeader) {
			if address := c.addresses.of(notLeader.Leader); address != "" {
				result, err = c.forward(ctx, address, forward)
			}
		}
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return applier.Result{}, err
		case <-c.done:
			return applier.Result{}, errClosed
		case <-time.After(leaderAgain):
		}
	}
}

func (c *Controller) forward(ctx context.Context, address string, forward func(context.Context, wireconnect.FleetServiceClient) (applier.Result, error)) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return forward(ctx, wireconnect.NewFleetServiceClient(c.client, "http://"+address))
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

func readCommand() *wire.Command {
	return &wire.Command{
		Change: &wire.Command_Read{
			Read: &wire.ReadRequest{},
		},
	}
}
