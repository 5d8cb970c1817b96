package forwarder

import (
	"context"
	"errors"
	"strings"
	"time"

	"connectrpc.com/connect"

	"pimentogate.example/pimentogate/internal/coordination/matcher"
	"pimentogate.example/pimentogate/internal/coordination/merger"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
	"pimentogate.example/pimentogate/internal/transport/exchanger"
	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/pkg/wire"
)

var (
	errIsolated    = errors.New("this entry instance reaches no replica")
	errOlderConfig = errors.New("this entry instance has no configuration as new as the sender's")
	errNoRoute     = errors.New("no route of this entry instance matches the request")
)

// Divert answers a caller's request in place of an entry instance that reaches no replica. An error of code failed-precondition says that nothing was done.
func (s *relayService) Divert(ctx context.Context, request *connect.Request[wire.DivertRequest]) (*connect.Response[wire.DivertResponse], error) {
	f := s.forwarder
	if err := f.unavailability(); err != nil {
		return nil, err
	}
	msg := request.Msg
	table := f.RoutingTable()
	if table == nil || table.Version < msg.GetVersion() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errOlderConfig)
	}
	path, _, _ := strings.Cut(msg.GetPath(), "?")
	route := table.Match(msg.GetHost(), path)
	if route == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoRoute)
	}
	if !listener.LeaseOf(ctx).TryGrow(attemptsCost(len(route.Shards))) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &listener.OverloadError{})
	}
	defer f.peers.startCall()()
	call := &exchanger.Call{
		ID:         msg.GetRequestId(),
		Method:     msg.GetMethod(),
		Host:       msg.GetHost(),
		Path:       msg.GetPath(),
		Caller:     msg.GetCaller(),
		Header:     headersFromWire(msg.GetHeaders()),
		Body:       msg.GetBody(),
		AtMostOnce: !route.Idempotent,
	}
	now := time.Now()
	diverted := scatterer.Request{
		ID:          call.ID,
		Fingerprint: call.Fingerprint(),
		Route:       route,
		ArrivedAt:   now.Add(-time.Duration(msg.GetElapsedUs())*time.Microsecond - diversionHop),
		Runs:        map[string]int{},
	}
	if table.Keyring != nil {
		diverted.Organisation = table.Keyring.FindByName(call.Caller)
	}
	if msg.GetDeadlineUs() > 0 {
		diverted.Deadline = now.Add(time.Duration(msg.GetDeadlineUs())*time.Microsecond - diversionHop)
	}
	for _, sent := range msg.GetRuns() {
		diverted.Runs[sent.GetService()] = int(sent.GetRuns())
	}
	answer := f.serveHere(ctx, call, diverted, table.Version)
	if answer.Decision.Reason == scatterer.ReasonIsolated {
		return nil, connect.NewError(connect.CodeUnavailable, errIsolated)
	}
	answer.record()
	return connect.NewResponse(newDivertResponse(&answer)), nil
}

// unavailability returns an error of code failed-precondition if this instance does nothing for peers, and nil if it does.
func (f *Forwarder) unavailability() error {
	if f.stopping.Load() {
		return connect.NewError(connect.CodeFailedPrecondition, errStopping)
	}
	if !f.isolation.isIsolated() {
		return nil
	}
	err := connect.NewError(connect.CodeFailedPrecondition, errIsolated)
	if detail, detailErr := connect.NewErrorDetail(&wire.Isolated{}); detailErr == nil {
		err.AddDetail(detail)
	}
	return err
}

func newDivertResponse(answer *Answer) *wire.DivertResponse {
	d := &answer.Decision
	response := &wire.DivertResponse{
		Kind:          uint32(d.Kind),
		Reason:        string(d.Reason),
		MissingShards: uint32(d.MissingShards),
		RetryAfterUs:  uint64(d.RetryAfter.Microseconds()),
		TopK:          uint32(answer.Route.TopK),
	}
	if d.Kind == scatterer.Gathered {
		response.Replies = mergedReplies(d.Replies, answer.Route)
		return response
	}
	for _, reply := range d.Replies {
		response.Replies = append(response.Replies, replyToWire(reply))
	}
	return response
}

// mergedReplies returns the stamps of the shards' replies, with the merged records in the first one.
func mergedReplies(replies []*scatterer.Reply, route *matcher.Route) []*wire.DivertReply {
	var bodies [][]byte
	var merged []*wire.DivertReply
	for _, reply := range replies {
		bodies = append(bodies, reply.Body)
		merged = append(merged, &wire.DivertReply{
			Status: uint32(reply.Status),
			Stamp:  reply.Stamp,
		})
	}
	if len(merged) > 0 {
		merged[0].Body = merger.TopRecords(bodies, route.TopK)
	}
	return merged
}

func replyToWire(reply *scatterer.Reply) *wire.DivertReply {
	message := &wire.DivertReply{
		Status: uint32(reply.Status),
		Stamp:  reply.Stamp,
		Body:   reply.Body,
	}
	for _, field := range reply.Fields {
		message.Fields = append(message.Fields, &wire.RelayHeader{
			Name:   field.Name,
			Values: []string{strings.ToValidUTF8(field.Value, "?")},
		})
	}
	return message
}
