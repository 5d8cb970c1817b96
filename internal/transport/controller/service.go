package controller

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/internal/coordination/planner"
	"pimentogate.example/pimentogate/internal/state/applier"
	"pimentogate.example/pimentogate/internal/state/cataloger"
	"pimentogate.example/pimentogate/internal/state/journaler"
	"pimentogate.example/pimentogate/pkg/wire"
	"pimentogate.example/pimentogate/pkg/wire/wireconnect"
)

// keepAliveInterval is the interval of the messages of a watch stream while nothing changes.
const keepAliveInterval = 500 * time.Millisecond

var (
	errClosed         = errors.New("this control instance is stopping")
	errLeadershipLost = errors.New("this control instance lost its leadership; whether the command is committed is not known, send it again under the same id")
	errOverwritten    = errors.New("another leader took this place in the journal; the command was not committed")
)

type journalService struct {
	controller *Controller
}

// Deliver queues the messages of another control instance for the event loop.
func (s *journalService) Deliver(ctx context.Context, request *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	for _, message := range request.Msg.GetMessages() {
		if err := s.controller.enqueueMessage(ctx, message); err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
	}
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

type controlService struct {
	wireconnect.UnimplementedControlServiceHandler

	controller *Controller
}

// Plan returns the effects that an intent would have, without changing anything.
func (s *controlService) Plan(ctx context.Context, request *connect.Request[wire.PlanRequest]) (*connect.Response[wire.PlanResponse], error) {
	c := s.controller
	config, members, err := c.leaderConfig(ctx)
	if err != nil {
		return nil, c.connectError(err)
	}
	plan, err := planner.New(config, members, planner.NewFleet(c.upstreamSummaries(ctx, members)), request.Msg.GetIntent())
	if err != nil {
		return nil, c.connectError(err)
	}
	return connect.NewResponse(&wire.PlanResponse{
		Plan: plan,
	}), nil
}

// Confirm applies a plan if the configuration is still at its revision.
func (s *controlService) Confirm(ctx context.Context, request *connect.Request[wire.ConfirmRequest]) (*connect.Response[wire.ConfirmResponse], error) {
	if request.Msg.GetConfirmId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("confirm-id: must not be empty"))
	}
	result, err := s.controller.command(ctx, &wire.Command{
		Change: &wire.Command_Confirm{
			Confirm: request.Msg,
		},
	})
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	confirmation := result.Confirm
	s.controller.log.Info("confirm decided", "confirm-id", request.Msg.GetConfirmId(), "change", cataloger.Summary(request.Msg.GetIntent()),
		"accepted", confirmation.GetAccepted(), "revision", confirmation.GetRevision(), "reason", confirmation.GetReason())
	return connect.NewResponse(confirmation), nil
}

// Claim requests the exclusive right to dispatch a non-idempotent request.
func (s *controlService) Claim(ctx context.Context, request *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	result, err := s.controller.command(ctx, &wire.Command{
		Change: &wire.Command_Claim{
			Claim: request.Msg,
		},
	})
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(result.Claim), nil
}

// Record completes a claim with its outcome.
func (s *controlService) Record(ctx context.Context, request *connect.Request[wire.RecordRequest]) (*connect.Response[wire.RecordResponse], error) {
	result, err := s.controller.command(ctx, &wire.Command{
		Change: &wire.Command_Record{
			Record: request.Msg,
		},
	})
	if err != nil {
		return nil, s.controller.connectError(err)
	}
	return connect.NewResponse(result.Record), nil
}

// Status returns the state of this instance and its journal, and the watching entry instances.
func (s *controlService) Status(ctx context.Context, _ *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	c := s.controller
	status := &wire.StatusResponse{
		Instance:  c.id,
		Instances: c.watchers.statuses(),
	}
	err := c.runInLoop(ctx, func(time.Time) {
		status.Leader = c.machine.Leader()
		status.Term = c.machine.Term()
		status.Commit = c.machine.CommitIndex()
		status.Applied = c.appliedIndex
		status.Revision = c.state.Catalog.Config().GetRevision()
		status.Members = c.machine.Members()
	})
	if err != nil {
		return nil, c.connectError(err)
	}
	return connect.NewResponse(status), nil
}

// Watch streams each new revision, with keep-alive messages in between.
func (s *controlService) Watch(ctx context.Context, stream *connect.BidiStream[wire.WatchRequest, wire.WatchResponse]) error {
	receiveErr := make(chan error, 1)
	w := &watchStream{
		controller: s.controller,
		stream:     stream,
		receiveErr: receiveErr,
	}
	go w.receiveReports()
	return w.sendUpdates(ctx)
}

// watchStream is the stream of one entry instance.
type watchStream struct {
	controller *Controller
	stream     *connect.BidiStream[wire.WatchRequest, wire.WatchResponse]
	receiveErr chan error
}

// receiveReports records the revisions that the entry instance reports as current, and its upstream summaries.
func (w *watchStream) receiveReports() {
	for {
		request, err := w.stream.Receive()
		if err != nil {
			w.receiveErr <- err
			return
		}
		w.controller.watchers.record(request)
	}
}

func (w *watchStream) sendUpdates(ctx context.Context) error {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	sentRevision := uint64(0)
	for {
		config, changed, isClosed := w.controller.watchers.current()
		if isClosed {
			return connect.NewError(connect.CodeUnavailable, errClosed)
		}
		isCurrent, err := w.controller.isCurrent(ctx)
		if err != nil {
			return w.controller.connectError(err)
		}
		if !isCurrent {
			return connect.NewError(connect.CodeUnavailable, errors.New("this control instance has lost its quorum or is behind it"))
		}
		response := &wire.WatchResponse{
			Revision: config.GetRevision(),
		}
		if config.GetRevision() > sentRevision {
			response.Config = config
			sentRevision = config.GetRevision()
		}
		if err := w.stream.Send(response); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ticker.C:
		case err := <-w.receiveErr:
			return streamError(err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// streamError returns the error that ended a stream, or nil for a regular end.
func streamError(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// isCurrent reports whether this instance is in contact with a quorum and is not behind it.
func (c *Controller) isCurrent(ctx context.Context) (bool, error) {
	isCurrent := false
	err := c.runInLoop(ctx, func(now time.Time) {
		isCurrent = c.machine.IsCurrent(now, c.appliedIndex)
	})
	return isCurrent, err
}

// leaderConfig returns the configuration and members as of an entry that is committed after the call began. A lease does not suffice, since a machine cannot tell how long it was suspended.
func (c *Controller) leaderConfig(ctx context.Context) (*wire.Config, journaler.Members, error) {
	if _, err := c.command(ctx, readCommand()); err != nil {
		return nil, nil, err
	}
	var config *wire.Config
	var members journaler.Members
	err := c.runInLoop(ctx, func(time.Time) {
		config = c.state.Catalog.Config()
		members = c.machine.Members()
	})
	return config, members, err
}

// command commits a command to the journal and returns the result of applying it.
func (c *Controller) command(ctx context.Context, command *wire.Command) (applier.Result, error) {
	if !c.inFlight.tryStart() {
		return applier.Result{}, errClosed
	}
	defer c.inFlight.finish()
	command.TimeMs = time.Now().UnixMilli()
	payload, err := proto.Marshal(command)
	if err != nil {
		return applier.Result{}, err
	}
	p := &proposal{
		kind:    wire.EntryKind_ENTRY_KIND_COMMAND,
		payload: payload,
		result:  make(chan commandResult, 1),
	}
	err = c.enqueue(ctx, event{
		proposal: p,
	})
	if err != nil {
		return applier.Result{}, err
	}
	select {
	case r := <-p.result:
		return r.result, r.err
	case <-ctx.Done():
		return applier.Result{}, ctx.Err()
	case <-c.done:
		return applier.Result{}, errClosed
	}
}

// runInLoop runs a function in the event loop and waits for it to return. The function does not run if the context ends before its turn.
func (c *Controller) runInLoop(ctx context.Context, call func(now time.Time)) error {
	done := make(chan struct{})
	var skipErr error
	err := c.enqueue(ctx, event{
		call: func(now time.Time) {
			if skipErr = ctx.Err(); skipErr == nil {
				call(now)
			}
			close(done)
		},
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return skipErr
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

func (c *Controller) enqueue(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

func (c *Controller) enqueueMessage(ctx context.Context, message *wire.JournalMessage) error {
	select {
	case c.messages <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

// connectError maps an error to the RPC error for the client, with the leader's address if this instance is not the leader.
func (c *Controller) connectError(err error) error {
	var notLeader *journaler.NotLeaderError
	var intentErr *cataloger.IntentError
	var busyErr *journaler.BusyError
	var joinErr *journaler.JoinError
	var changePendingErr *journaler.ChangePendingError
	switch {
	case errors.As(err, &notLeader):
		return c.redirect(notLeader)
	case errors.As(err, &intentErr):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &busyErr), errors.As(err, &changePendingErr):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &joinErr):
		return connect.NewError(connect.CodePermissionDenied, err)
	case isRefusal(err):
		return connect.NewError(connect.CodeAborted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

func (c *Controller) redirect(notLeader *journaler.NotLeaderError) error {
	connectErr := connect.NewError(connect.CodeFailedPrecondition, notLeader)
	detail, err := connect.NewErrorDetail(&wire.NotLeader{
		LeaderAddress: c.addresses.find(notLeader.Leader),
	})
	if err == nil {
		connectErr.AddDetail(detail)
	}
	return connectErr
}
