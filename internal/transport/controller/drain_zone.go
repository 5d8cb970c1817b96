package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// DrainZone commits the drain of an availability zone, or its end, if this instance is the leader.
func (s *fleetService) DrainZone(ctx context.Context, request *connect.Request[wire.DrainZoneRequest]) (*connect.Response[wire.DrainZoneResponse], error) {
	result, err := s.controller.command(ctx, drainZoneCommand(request.Msg))
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(result.Drain), nil
}

// DrainZone drains an availability zone or ends its drain, and returns once a quorum has stored the command. A repetition is committed as well: this instance's state may lack a later command that a repetition must follow.
func (c *Controller) DrainZone(ctx context.Context, zone string, drained bool) error {
	request := &wire.DrainZoneRequest{
		Zone:    zone,
		Drained: drained,
	}
	result, err := c.execute(ctx, drainZoneCommand(request), c.drainCall(request, func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		response, err := client.DrainZone(ctx, connect.NewRequest(request))
		if err != nil {
			return applier.Result{}, err
		}
		return applier.Result{
			Drain: response.Msg,
		}, nil
	}))
	c.log.Info("zone drain requested", "drained-zone", zone, "drained", drained, "revision", result.Drain.GetRevision(), "acknowledged", err == nil)
	return err
}

// leaderCall sends a command to the leader.
type leaderCall func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error)

// drainCall returns the call by which the request is sent to the leader, with a way for leaders of older builds.
func (c *Controller) drainCall(request *wire.DrainZoneRequest, call leaderCall) leaderCall {
	return func(ctx context.Context, client wireconnect.FleetServiceClient) (applier.Result, error) {
		result, err := call(ctx, client)
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			return c.confirmDrain(ctx, request)
		}
		return result, err
	}
}

// confirmDrain has a leader of an older build make the change as that of a confirmed plan, which all builds apply. If the configuration changes meanwhile the leader rejects it, and the command is tried again.
func (c *Controller) confirmDrain(ctx context.Context, request *wire.DrainZoneRequest) (applier.Result, error) {
	leader, revision := "", uint64(0)
	err := c.runInLoop(ctx, func(time.Time) {
		leader = c.addresses.find(c.machine.Leader())
		revision = c.state.Catalog.Config().GetRevision()
	})
	if err != nil {
		return applier.Result{}, err
	}
	intent := &wire.Intent{
		Change: &wire.Intent_SetZoneDrain{
			SetZoneDrain: &wire.ZoneSetting{
				Zone:    request.GetZone(),
				Drained: request.GetDrained(),
			},
		},
	}
	response, err := wireconnect.NewControlServiceClient(c.client, "http://"+leader).Confirm(ctx, connect.NewRequest(&wire.ConfirmRequest{
		ConfirmId: uuid.NewString(),
		Intent:    intent,
		Revision:  revision,
		Digest:    cataloger.Digest(intent, revision),
	}))
	if err != nil {
		return applier.Result{}, err
	}
	if !response.Msg.GetAccepted() {
		return applier.Result{}, errors.New(response.Msg.GetReason())
	}
	return applier.Result{
		Drain: &wire.DrainZoneResponse{
			Revision: response.Msg.GetRevision(),
		},
	}, nil
}

// logDrains logs the drained availability zones if an applied entry or snapshot has changed them. It must be called in the event loop.
func (c *Controller) logDrains() {
	if c.state.Catalog.Config().GetRevision() == c.drainRevision {
		return
	}
	drains := c.state.Catalog.ZoneDrains()
	c.drainRevision = drains.GetRevision()
	if slices.Equal(drains.GetZones(), c.drainedZones) {
		return
	}
	c.log.Info("drained zones changed", "zones", drains.GetZones(), "before", c.drainedZones, "revision", drains.GetRevision())
	c.drainedZones = drains.GetZones()
	c.meter.drainedZones.Update(float64(len(c.drainedZones)))
}

func drainZoneCommand(request *wire.DrainZoneRequest) *wire.Command {
	return &wire.Command{
		Change: &wire.Command_DrainZone{
			DrainZone: request,
		},
	}
}
