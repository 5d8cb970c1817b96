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

// keepAlive is the period of a watch's messages while nothing changes.
const keepAlive = 500 * time.Millisecond

var (
	errClosed         = errors.New("this control instance is stopping")
	errLeadershipLost = errors.New("this control instance lost its leadership; whether the command is committed is not known, send it again under the same id")
	errOverwritten    = errors.New("another leader took this place in the journal; the command was not committed")
)

type journalService struct {
	controller *Controller
}

// Deliver takes messages of another control instance.
func (s *journalService) Deliver(ctx context.Context, request *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	for _, message := range request.Msg.GetMessages() {
		err := s.controller.push(ctx, event{
			message: message,
		})
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
	}
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

type controlService struct {
	wireconnect.UnimplementedControlServiceHandler

	controller *Controller
}

// Plan says what an intent would do and changes nothing.
func (s *controlService) Plan(ctx context.Context, request *connect.Request[wire.PlanRequest]) (*connect.Response[wire.PlanResponse], error) {
	c := s.controller
	config, members, err := c.leaderConfig(ctx)
	if err != nil {
		return nil, c.refusal(err)
	}
	plan, err := planner.New(config, members, planner.NewFleet(c.upstreams(ctx, members)), request.Msg.GetIntent())
	if err != nil {
		return nil, c.refusal(err)
	}
	return connect.NewResponse(&wire.PlanResponse{
		Plan: plan,
	}), nil
}

// Confirm puts a plan in force if its revision still holds.
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
		return nil, s.controller.refusal(err)
	}
	answer := result.Confirm
	s.controller.log.Info("confirm decided", "confirm-id", request.Msg.GetConfirmId(), "change", cataloger.Summary(request.Msg.GetIntent()),
		"accepted", answer.GetAccepted(), "revision", answer.GetRevision(), "reason", answer.GetReason())
	return connect.NewResponse(answer), nil
}

// Claim asks for the sole right to dispatch a non-idempotent request.
func (s *controlService) Claim(ctx context.Context, request *connect.Request[wire.ClaimRequest]) (*connect.Response[wire.ClaimResponse], error) {
	result, err := s.controller.command(ctx, &wire.Command{
		Change: &wire.Command_Claim{
			Claim: request.Msg,
		},
	})
	if err != nil {
		return nil, s.controller.refusal(err)
	}
	return connect.NewResponse(result.Claim), nil
}

// Record ends a claim with its outcome.
func (s *controlService) Record(ctx context.Context, request *connect.Request[wire.RecordRequest]) (*connect.Response[wire.RecordResponse], error) {
	result, err := s.controller.command(ctx, &wire.Command{
		Change: &wire.Command_Record{
			Record: request.Msg,
		},
	})
	if err != nil {
		return nil, s.controller.refusal(err)
	}
	return connect.NewResponse(result.Record), nil
}

// Status says where this instance and the configuration stand.
func (s *controlService) Status(ctx context.Context, _ *connect.Request[wire.StatusRequest]) (*connect.Response[wire.StatusResponse], error) {
	c := s.controller
	status := &wire.StatusResponse{
		Instance:  c.id,
		Instances: c.watchers.statuses(),
	}
	err := c.ask(ctx, func(time.Time) {
		status.Leader = c.machine.Leader()
		status.Term = c.machine.Term()
		status.Commit = c.machine.CommitIndex()
		status.Applied = c.applied
		status.Revision = c.state.Catalog.Config().GetRevision()
		status.Members = c.machine.Members()
	})
	if err != nil {
		return nil, c.refusal(err)
	}
	return connect.NewResponse(status), nil
}

// Watch streams each new revision, and a sign of life in between.
func (s *controlService) Watch(ctx context.Context, stream *connect.BidiStream[wire.WatchRequest, wire.WatchResponse]) error {
	received := make(chan error, 1)
	w := &watch{
		controller: s.controller,
		stream:     stream,
		received:   received,
	}
	go w.loop()
	return w.send(ctx)
}

// watch is one entry instance's stream.
type watch struct {
	controller *Controller
	stream     *connect.BidiStream[wire.WatchRequest, wire.WatchResponse]
	received   chan error
}

// loop notes the revisions that the entry instance says it has in force.
func (w *watch) loop() {
	for {
		request, err := w.stream.Receive()
		if err != nil {
			w.received <- err
			return
		}
		w.controller.watchers.note(request)
	}
}

func (w *watch) send(ctx context.Context) error {
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	sent := uint64(0)
	for {
		config, changed, closed := w.controller.watchers.current()
		if closed {
			return connect.NewError(connect.CodeUnavailable, errClosed)
		}
		confirmed, err := w.controller.inContact(ctx)
		if err != nil {
			return w.controller.refusal(err)
		}
		if !confirmed {
			return connect.NewError(connect.CodeUnavailable, errors.New("this control instance has lost its quorum"))
		}
		response := &wire.WatchResponse{
			Revision: config.GetRevision(),
		}
		if config.GetRevision() > sent {
			response.Config = config
			sent = config.GetRevision()
		}
		if err := w.stream.Send(response); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ticker.C:
		case err := <-w.received:
			return endOf(err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endOf passes on why a stream ended, where that is not just its end.
func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// inContact reports whether this instance leads with a lease or has heard its leader lately.
func (c *Controller) inContact(ctx context.Context) (bool, error) {
	contact := false
	err := c.ask(ctx, func(now time.Time) {
		contact = c.machine.InContact(now)
	})
	return contact, err
}

// leaderConfig returns what is in force behind a place in the journal that was committed after the call began; a lease would not do, since a machine that was suspended does not know how long.
func (c *Controller) leaderConfig(ctx context.Context) (*wire.Config, journaler.Members, error) {
	if _, err := c.command(ctx, readCommand()); err != nil {
		return nil, nil, err
	}
	var config *wire.Config
	var members journaler.Members
	err := c.ask(ctx, func(time.Time) {
		config = c.state.Catalog.Config()
		members = c.machine.Members()
	})
	return config, members, err
}

// command commits a command to the journal and returns what it came to.
func (c *Controller) command(ctx context.Context, command *wire.Command) (applier.Result, error) {
	if !c.pending.begin() {
		return applier.Result{}, errClosed
	}
	defer c.pending.end()
	command.TimeMs = time.Now().UnixMilli()
	payload, err := proto.Marshal(command)
	if err != nil {
		return applier.Result{}, err
	}
	p := &proposal{
		kind:    wire.EntryKind_ENTRY_KIND_COMMAND,
		payload: payload,
		answer:  make(chan outcome, 1),
	}
	err = c.push(ctx, event{
		propose: p,
	})
	if err != nil {
		return applier.Result{}, err
	}
	select {
	case o := <-p.answer:
		return o.result, o.err
	case <-ctx.Done():
		return applier.Result{}, ctx.Err()
	case <-c.done:
		return applier.Result{}, errClosed
	}
}

// ask runs a question inside the loop and waits for it.
func (c *Controller) ask(ctx context.Context, question func(now time.Time)) error {
	answered := make(chan struct{})
	err := c.push(ctx, event{
		ask: func(now time.Time) {
			question(now)
			close(answered)
		},
	})
	if err != nil {
		return err
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

func (c *Controller) push(ctx context.Context, e event) error {
	select {
	case c.events <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return errClosed
	}
}

// refusal turns an error into what a client sees, with the leader's address where it is known.
func (c *Controller) refusal(err error) error {
	var notLeader *journaler.NotLeaderError
	var intent *cataloger.IntentError
	var busy *journaler.BusyError
	var join *journaler.JoinError
	var pending *journaler.ChangePendingError
	switch {
	case errors.As(err, &notLeader):
		return c.redirect(notLeader)
	case errors.As(err, &intent):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &busy), errors.As(err, &pending):
		return connect.NewError(connect.CodeResourceExhausted, err)
	case errors.As(err, &join):
		return connect.NewError(connect.CodePermissionDenied, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

func (c *Controller) redirect(notLeader *journaler.NotLeaderError) error {
	refusal := connect.NewError(connect.CodeFailedPrecondition, notLeader)
	detail, err := connect.NewErrorDetail(&wire.NotLeader{
		LeaderAddress: c.addresses.of(notLeader.Leader),
	})
	if err == nil {
		refusal.AddDetail(detail)
	}
	return refusal
}
